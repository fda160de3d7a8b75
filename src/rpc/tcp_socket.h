// TCP sockets as byte streams.
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

/// Where the sockets of one transport are waited for, and how results reach the strand that uses their
/// streams.
struct TcpContext {
  boost::asio::io_context& io;
  /// The strand runs on the io_context's own thread, so that nothing has to be handed over between threads.
  bool io_is_strand;
  std::function<void(std::function<void()>)> post_to_strand;

  /// Runs fn on the io_context's thread; at once where that is the strand.
  template <typename Fn>
  void run_on_io(Fn fn) const {
    if (io_is_strand) {
      fn();
    } else {
      boost::asio::post(io, std::move(fn));
    }
  }
};

/// The ByteStream methods and connect() belong on the strand, the others on the io_context's thread.
/// Operations in flight keep the socket alive.
class TcpSocket : public ByteStream, public std::enable_shared_from_this<TcpSocket> {
 public:
  explicit TcpSocket(TcpContext context);

  /// Cancelled by close(), which gives operation_aborted.
  Awaitable<boost::system::error_code> connect(boost::asio::ip::tcp::endpoint endpoint);

  Awaitable<std::optional<std::string>> read(size_t max_bytes) override;
  Awaitable<size_t> write(std::string_view bytes) override;
  bool readable() const override;
  bool peer_closed() const override;
  void shutdown_write() override;
  void close() override;
  void reset() override;

  boost::asio::ip::tcp::socket& native_socket() { return socket_; }
  /// To be called once it is connected.
  void disable_nagle();
  /// As close(), on the io_context's thread.
  void close_on_io();

 private:
  struct Operation;

  std::function<void(boost::system::error_code, size_t)> completion_handler(
      std::shared_ptr<Operation> operation);
  bool poll_now(short events) const;

  const TcpContext context_;
  boost::asio::ip::tcp::socket socket_;
  bool write_shut_down_ = false;  // used on the io_context's thread
  // Used on the strand.
  std::weak_ptr<Operation> pending_read_;
  bool peer_closed_ = false;
};

/// A handle to a socket's stream that closes the socket when it is destroyed. Operations in flight may keep
/// the socket itself alive for longer.
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
