// The seam between protocols that read bytes (HTTP) and what carries them: a connection, bytes in order each
// way, in pieces that nobody may count on. tcp_stream.h implements it on sockets, sim/streams.h in simulated
// worlds; tests/stream_test.cpp holds both to the same.
//
// Threads: every method is called, and every awaited result arrives, on the strand given at construction. At
// most one read and one write of a stream may be awaited at a time.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "rpc/rpc.h"

namespace sablelink::rpc {

class ByteStream {
 public:
  virtual ~ByteStream() = default;  // as close()

  // 1 to most bytes, as few as there are; "" where the other side has ended its part and all of it is read;
  // nothing where the connection is broken or closed.
  virtual Awaitable<std::optional<std::string>> read(size_t most) = 0;
  // Takes the first of the bytes, as many as there is room for; how many: 0 where the connection is broken or
  // closed. The bytes must stay until then.
  virtual Awaitable<size_t> write(std::string_view bytes) = 0;
  // Something waits to be read: bytes, an end or a break.
  virtual bool readable() const = 0;
  // The other side has ended its part, or the connection is broken; bytes from before may wait to be read.
  virtual bool peer_left() const = 0;
  // Nothing more is written from here; what was written arrives, and reading goes on.
  virtual void end() = 0;
  // Whoever waits here hears that it is closed. Without end() before, the other side's connection breaks, and
  // what was written may be lost; after it, what was written still arrives.
  virtual void close() = 0;
  // The same, and the other side's connection breaks at once, also after end(): nothing is kept for it.
  virtual void reset() = 0;
};

// False where the connection broke before all was taken.
inline Awaitable<bool> write_all(ByteStream& stream, std::string bytes) {
  std::string_view left = bytes;
  while (!left.empty()) {
    const size_t taken = co_await stream.write(left);
    if (taken == 0) co_return false;
    left.remove_prefix(taken);
  }
  co_return true;
}

// Why a connection didn't come about.
enum class ConnectEnd { kConnected, kRefused, kTimeout, kFailed };

// Where streams to others come from.
class Dialer {
 public:
  virtual ~Dialer() = default;
  // The strand's.
  virtual boost::asio::any_io_executor executor() const = 0;
  // Nothing where no connection came about within the time; end tells why.
  virtual Awaitable<std::shared_ptr<ByteStream>> connect(std::string address, TimeUs within,
                                                         ConnectEnd* end = nullptr) = 0;
};

// Runs on the strand, once for each connection that comes.
using StreamHandler = std::function<Awaitable<void>(std::shared_ptr<ByteStream>)>;

}  // namespace sablelink::rpc
