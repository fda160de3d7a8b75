// Interface of connections with an ordered stream of bytes in each direction, for protocols on byte streams
// such as HTTP. Boundaries between writes aren't preserved. tcp_socket.h implements it on TCP sockets,
// sim/streams.h in the simulation; tests/stream_test.cpp covers both.
//
// Every method must be called on the strand given at construction, and coroutines are resumed there. At most
// one read and one write of a stream may be in flight.
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
  /// Does the same as close().
  virtual ~ByteStream() = default;

  /// Waits for data and returns 1 to max_bytes bytes. Returns an empty string at the end of the stream, and
  /// nullopt where the connection is broken or closed.
  virtual Awaitable<std::optional<std::string>> read(size_t max_bytes) = 0;
  /// Waits until some of the bytes can be written, from the first on, and returns their number. Returns 0
  /// where the connection is broken or closed. The bytes must stay valid until it returns.
  virtual Awaitable<size_t> write(std::string_view bytes) = 0;
  /// Whether a read would complete at once, with data, the end of the stream or an error.
  virtual bool readable() const = 0;
  /// Whether the peer has ended its stream or the connection is broken. Data received before may still be
  /// unread.
  virtual bool peer_closed() const = 0;
  /// Ends the stream to the peer. Data written before is still delivered, and reads continue to work.
  virtual void shutdown_write() = 0;
  /// Closes the connection; reads and writes in flight complete. After shutdown_write() the data written is
  /// still delivered; otherwise the connection is reset, and data written may be lost.
  virtual void close() = 0;
  /// Like close(), but always resets the connection at once and discards data that isn't delivered.
  virtual void reset() = 0;
};

/// Writes all bytes; false where the connection breaks before.
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
  std::shared_ptr<ByteStream> stream;  // nullptr unless the status is kConnected
};

/// Opens connections.
class Dialer {
 public:
  virtual ~Dialer() = default;
  /// The executor of the strand to which the streams belong.
  virtual boost::asio::any_io_executor executor() const = 0;
  /// address: "host:port". Completes only after the call has returned, also where it fails at once: callers
  /// count the dials in progress before they start another one.
  virtual Awaitable<ConnectResult> connect(std::string address, TimeUs timeout_us) = 0;
};

/// Serves one accepted connection. Called on the strand.
using StreamHandler = std::function<Awaitable<void>(std::shared_ptr<ByteStream>)>;

}  // namespace sablelink::rpc
