// ByteStream on TCP sockets.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "rpc/byte_stream.h"

namespace sablelink::rpc {

/// The io_context on which the sockets of a transport run. Shared by the sockets, since streams may be used
/// and destroyed after their transport.
class SocketExecutor {
 public:
  /// Creates an io_context, which the owner must run on a thread of its own.
  SocketExecutor() : own_io_(std::make_unique<boost::asio::io_context>()), io_(*own_io_) {}
  /// Uses the io_context on whose thread the strand runs. It must outlive this object.
  explicit SocketExecutor(boost::asio::io_context& strand_io) : io_(strand_io) {}

  boost::asio::io_context& io() { return io_; }
  /// Whether the strand runs on the io_context's thread, so that nothing has to be passed between threads.
  bool is_strand() const { return !own_io_; }

  /// Runs fn on the io_context's thread: immediately if the strand runs there, else later. Returns false and
  /// does not run fn after close().
  template <typename Fn>
  bool run(Fn fn) {
    if (is_strand()) {
      fn();
      return true;
    }
    const std::lock_guard lock(mutex_);
    if (closed_) return false;
    boost::asio::post(io_, std::move(fn));
    return true;
  }

  /// Ends run() where the io_context has a thread of its own, which is about to end.
  void close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
  }

 private:
  const std::unique_ptr<boost::asio::io_context> own_io_;  // null: the strand's io_context is used
  boost::asio::io_context& io_;
  std::mutex mutex_;  // for closed_, and the order of run() and close()
  bool closed_ = false;
};

/// Where the sockets of a transport run, and the way in which results are passed to the strand that uses
/// their streams.
struct TcpContext {
  std::shared_ptr<SocketExecutor> executor;
  std::function<void(std::function<void()>)> post_to_strand;
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
