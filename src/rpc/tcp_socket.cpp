#include "rpc/tcp_socket.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include "base/async_event.h"

namespace sablelink::rpc {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr size_t kMaxOperationBytes = 64 << 10;

}  // namespace

// A read, write or connect in flight. Its buffer and result are used by the io_context's thread until the
// operation is completed, and by the strand after that.
struct TcpSocket::Operation {
  std::string bytes;
  error_code error;
  size_t transferred_bytes = 0;
  bool completed = false;
  AsyncEvent on_completed;
};

TcpSocket::TcpSocket(TcpContext context) : context_(std::move(context)), socket_(context_.executor->io()) {}

std::function<void(error_code, size_t)> TcpSocket::completion_handler(std::shared_ptr<Operation> operation) {
  return [self = shared_from_this(), operation = std::move(operation)](error_code error,
                                                                       size_t transferred_bytes) {
    operation->error = error;
    operation->transferred_bytes = transferred_bytes;
    self->context_.post_to_strand([operation] {
      operation->completed = true;
      operation->on_completed.set();
    });
  };
}

Awaitable<error_code> TcpSocket::connect(tcp::endpoint endpoint) {
  const auto operation = std::make_shared<Operation>();
  const bool is_started = context_.executor->run([self = shared_from_this(), operation, endpoint] {
    self->socket_.async_connect(endpoint, [on_completed = self->completion_handler(operation)](
                                              error_code error) { on_completed(error, 0); });
  });
  if (!is_started) co_return asio::error::operation_aborted;
  co_await operation->on_completed.wait();
  co_return operation->error;
}

Awaitable<std::optional<std::string>> TcpSocket::read(size_t max_bytes) {
  const auto operation = std::make_shared<Operation>();
  operation->bytes.resize(std::clamp<size_t>(max_bytes, 1, kMaxOperationBytes));
  const bool is_started = context_.executor->run([self = shared_from_this(), operation] {
    self->socket_.async_read_some(asio::buffer(operation->bytes), self->completion_handler(operation));
  });
  if (!is_started) co_return std::nullopt;
  pending_read_ = operation;
  co_await operation->on_completed.wait();
  pending_read_.reset();
  if (operation->error == asio::error::eof) {
    peer_closed_ = true;
    co_return std::string();
  }
  if (operation->error) co_return std::nullopt;
  operation->bytes.resize(operation->transferred_bytes);
  co_return std::move(operation->bytes);
}

Awaitable<size_t> TcpSocket::write(std::string_view bytes) {
  const auto operation = std::make_shared<Operation>();
  operation->bytes = bytes.substr(0, kMaxOperationBytes);
  const bool is_started = context_.executor->run([self = shared_from_this(), operation] {
    self->socket_.async_write_some(asio::buffer(operation->bytes), self->completion_handler(operation));
  });
  if (!is_started) co_return 0;
  co_await operation->on_completed.wait();
  co_return operation->error ? 0 : operation->transferred_bytes;
}

bool TcpSocket::readable() const {
  const std::shared_ptr<Operation> read = pending_read_.lock();
  return (read && read->completed) || has_pending_event(POLLIN);
}

bool TcpSocket::peer_closed() const { return peer_closed_ || has_pending_event(POLLRDHUP); }

void TcpSocket::shutdown_write() {
  context_.executor->run([self = shared_from_this()] {
    error_code ignored;
    self->write_shut_down_ = true;
    self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
  });
}

void TcpSocket::close() {
  context_.executor->run([self = shared_from_this()] { self->close_on_io(); });
}

void TcpSocket::reset() {
  context_.executor->run([self = shared_from_this()] {
    self->write_shut_down_ = false;
    self->close_on_io();
  });
}

void TcpSocket::close_on_io() {
  error_code ignored;
  // Without shutdown_write() before, the connection is reset, so that the peer doesn't mistake this for the
  // end of the stream.
  if (!write_shut_down_) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

void TcpSocket::disable_nagle() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

// Polls the socket for an event without waiting. Always false where another thread may close the socket.
bool TcpSocket::has_pending_event(short events) const {
  if (!context_.executor->is_strand() || !socket_.is_open()) return false;
  pollfd descriptor{const_cast<tcp::socket&>(socket_).native_handle(), events, 0};
  return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (events | POLLERR | POLLHUP)) != 0;
}

}  // namespace sablelink::rpc
