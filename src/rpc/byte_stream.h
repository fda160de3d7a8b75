// The interface between protocols that work on bytes, such as HTTP, and what carries these: a connection with
// an ordered stream of bytes each way. Boundaries between writes aren't preserved. tcp_socket.h implements it
// on sockets, sim/streams.h in simulated worlds; tests/stream_test.cpp covers both.
//
// Every method is called, and every awaited result arrives, on the strand given at construction. At most one
// read and one write of a stream may be in flight.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "rpc/rpc.h"

namespace sablelink::rpc {

class ByteStream {
 public:
  /// As close().
  virtual ~ByteStream() = default;

  /// Returns 1 to max_bytes bytes as soon as there are any, an empty string at the end of the stream, and
  /// none where the connection is broken or closed.
  virtual Awaitable<std::optional<std::string>> read(size_t max_bytes) = 0;
  /// Writes as many of the first bytes as there is room for and returns their number; 0 where the connection
  /// is broken or closed. The bytes must stay valid until then.
  virtual Awaitable<size_t> write(std::string_view bytes) = 0;
  /// A read would complete at once, with bytes, the end of the stream or an error.
  virtual bool readable() const = 0;
  /// The peer has ended its stream or the connection is broken. Bytes received before may still be unread.
  virtual bool peer_closed() const = 0;
  /// Ends the stream to the peer. What was written before is delivered, and reading goes on.
  virtual void shutdown_write() = 0;
  /// Closes the connection; reads and writes in flight complete. After shutdown_write() what was written is
  /// still delivered; otherwise the peer's connection breaks, and what was written may be lost.
  virtual void close() = 0;
  /// As close(), but the peer's connection always breaks at once, and nothing is kept for it.
  virtual void reset() = 0;
};

/// Writes everything; false where the connection broke before.
inline Awaitable<bool> write_all(ByteStream& stream, std::string bytes) {
  std::string_view remaining = bytes;
  while (!remaining.empty()) {
    const size_t written = co_await stream.write(remaining);
    if (written == 0) co_return false;
    remaining.remove_prefix(written);
  }
  co_return true;
}

enum class ConnectStatus { kConnected, kRefused, kTimeout, kFailed };

struct ConnectResult {
  ConnectStatus status = ConnectStatus::kFailed;
  std::shared_ptr<ByteStream> stream;  // nullptr unless connected
};

/// Makes connections.
class Dialer {
 public:
  virtual ~Dialer() = default;
  /// Of the strand that the streams belong to.
  virtual boost::asio::any_io_executor executor() const = 0;
  /// address: "host:port".
  virtual Awaitable<ConnectResult> connect(std::string address, TimeUs timeout_us) = 0;
};

/// Serves one accepted connection; called on the strand.
using StreamHandler = std::function<Awaitable<void>(std::shared_ptr<ByteStream>)>;

}  // namespace sablelink::rpc
