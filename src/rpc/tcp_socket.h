// ByteStream on TCP sockets.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "rpc/byte_stream.h"

namespace sablelink::rpc {

/// The io_context on which the sockets of a transport run, and the way in which results are passed to the
/// strand that uses their streams.
struct TcpContext {
  boost::asio::io_context& io;
  /// Whether the strand runs on the io_context's thread, so that nothing has to be passed between threads.
  bool io_is_strand;
  std::function<void(std::function<void()>)> post_to_strand;

  /// Runs fn on the io_context's thread: immediately if the strand runs there, else later.
  template <typename Fn>
  void run_on_io(Fn fn) const {
    if (io_is_strand) {
      fn();
    } else {
      boost::asio::post(io, std::move(fn));
    }
  }
};

/// connect() and the methods of ByteStream must be called on the strand, the others on the io_context's
/// thread. Operations in flight keep the socket alive.
class TcpSocket : public ByteStream, public std::enable_shared_from_this<TcpSocket> {
 public:
  explicit TcpSocket(TcpContext context);

  /// Returns operation_aborted where close() is called before the connection is established.
  Awaitable<boost::system::error_code> connect(boost::asio::ip::tcp::endpoint endpoint);

  Awaitable<std::optional<std::string>> read(size_t max_bytes) override;
  Awaitable<size_t> write(std::string_view bytes) override;
  bool readable() const override;
  bool peer_closed() const override;
  void shutdown_write() override;
  void close() override;
  void reset() override;

  boost::asio::ip::tcp::socket& native_socket() { return socket_; }
  /// Must be called after the socket is connected.
  void disable_nagle();
  /// Does the same as close(), but is called on the io_context's thread.
  void close_on_io();

 private:
  struct Operation;

  std::function<void(boost::system::error_code, size_t)> completion_handler(
      std::shared_ptr<Operation> operation);
  bool has_pending_event(short events) const;

  const TcpContext context_;
  boost::asio::ip::tcp::socket socket_;
  bool write_shut_down_ = false;  // used only on the io_context's thread
  // The following are used only on the strand.
  std::weak_ptr<Operation> pending_read_;
  bool peer_closed_ = false;
};

/// Owns a socket's stream and closes the socket when it is destroyed. Operations in flight may keep the
/// socket object alive for longer.
class OwnedStream : public ByteStream {
 public:
  explicit OwnedStream(std::shared_ptr<ByteStream> stream) : stream_(std::move(stream)) {}
  ~OwnedStream() override { stream_->close(); }
  OwnedStream(const OwnedStream&) = delete;
  OwnedStream& operator=(const OwnedStream&) = delete;

  Awaitable<std::optional<std::string>> read(size_t max_bytes) override { return stream_->read(max_bytes); }
  Awaitable<size_t> write(std::string_view bytes) override { return stream_->write(bytes); }
  bool readable() const override { return stream_->readable(); }
  bool peer_closed() const override { return stream_->peer_closed(); }
  void shutdown_write() override { stream_->shutdown_write(); }
  void close() override { stream_->close(); }
  void reset() override { stream_->reset(); }

 private:
  const std::shared_ptr<ByteStream> stream_;
};

}  // namespace sablelink::rpc
