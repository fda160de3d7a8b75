#include "rpc/tcp_transport.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "rpc/asio_loop.h"
#include "rpc/errors.h"

namespace sablelink::rpc {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Delay after a failed accept, most likely for lack of file descriptors; retrying at once would be a busy
// loop.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr size_t kMinCleanupThreshold = 64;
constexpr size_t kMaxPortDigits = 5;

std::optional<uint16_t> parse_port(std::string_view text) {
  if (text.size() > kMaxPortDigits) return std::nullopt;
  uint16_t port = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, port);
  if (error != std::errc() || end != text_end) return std::nullopt;
  return port;
}

// Accepts only numeric hosts and "localhost". Names aren't resolved; the configuration must contain
// addresses.
std::optional<tcp::endpoint> parse_endpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon != std::string::npos) {
    std::string host = address.substr(0, colon);
    if (host == "localhost") host = "127.0.0.1";
    error_code error;
    const asio::ip::address ip = asio::ip::make_address(host, error);
    const std::optional<uint16_t> port = parse_port(std::string_view(address).substr(colon + 1));
    if (!error && port) return tcp::endpoint(ip, *port);
  }
  return std::nullopt;
}

ConnectStatus connect_status(error_code error) {
  if (!error) return ConnectStatus::kConnected;
  if (error == asio::error::connection_refused) return ConnectStatus::kRefused;
  // connect() closes the socket on time-out, which aborts the operation.
  if (error == asio::error::operation_aborted || error == asio::error::timed_out) {
    return ConnectStatus::kTimeout;
  }
  return ConnectStatus::kFailed;
}

Awaitable<void> serve_stream(StreamHandler handler, std::shared_ptr<ByteStream> stream) {
  co_await handler(std::move(stream));
}

}  // namespace

// Accepts connections at one address. Used only on the io_context's thread.
class TcpTransport::Listener : public std::enable_shared_from_this<TcpTransport::Listener> {
 public:
  Listener(TcpTransport& transport, const tcp::endpoint& endpoint, StreamHandler handler)
      : transport_(transport),
        acceptor_(transport.context_.executor->io(), endpoint),
        retry_timer_(transport.context_.executor->io()),
        handler_(std::move(handler)) {}

  int port() const { return acceptor_.local_endpoint().port(); }

  void accept_next() {
    const std::shared_ptr<TcpSocket> socket = transport_.make_socket();
    acceptor_.async_accept(socket->native_socket(), [self = shared_from_this(), socket](error_code error) {
      self->on_accepted(error, socket);
    });
  }

  // Still serves the connections that are waiting to be accepted: their clients may already have sent
  // requests, and closing the acceptor would reset these connections.
  void stop() {
    accept_pending();
    state_ = State::kStopped;
    close_acceptor();
  }

  // After this call, the transport may be destroyed.
  void close() {
    state_ = State::kTransportClosed;
    close_acceptor();
  }

 private:
  enum class State { kAccepting, kStopped, kTransportClosed };

  void on_accepted(error_code error, const std::shared_ptr<TcpSocket>& socket) {
    if (state_ == State::kTransportClosed) return;
    // A connection may have been accepted just before the listener was stopped.
    if (!error) serve(socket);
    if (state_ == State::kStopped) return;
    if (error) {
      retry_later();
    } else {
      accept_next();
    }
  }

  void retry_later() {
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait([self = shared_from_this()](error_code) {
      if (self->state_ == State::kAccepting) self->accept_next();
    });
  }

  void accept_pending() {
    error_code error;
    acceptor_.non_blocking(true, error);
    for (;;) {
      const std::shared_ptr<TcpSocket> socket = transport_.make_socket();
      acceptor_.accept(socket->native_socket(), error);
      if (error) return;
      serve(socket);
    }
  }

  void serve(const std::shared_ptr<TcpSocket>& socket) {
    socket->disable_nagle();
    transport_.register_socket(socket);
    transport_.strand_.post([executor = transport_.strand_.executor, handler = handler_, socket] {
      asio::co_spawn(executor, serve_stream(handler, std::make_shared<OwnedStream>(socket)), asio::detached);
    });
  }

  void close_acceptor() {
    error_code ignored;
    acceptor_.close(ignored);
  }

  TcpTransport& transport_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  const StreamHandler handler_;
  State state_ = State::kAccepting;
};

TcpTransport::TcpTransport(Strand strand)
    : strand_(std::move(strand)),
      context_{std::make_shared<SocketExecutor>(), strand_.post},
      work_guard_(context_.executor->io().get_executor()),
      cleanup_threshold_(kMinCleanupThreshold),
      io_thread_([executor = context_.executor] { executor->io().run(); }) {}

TcpTransport::TcpTransport(AsioLoop& loop)
    : strand_{loop.executor(), [](const std::function<void()>& fn) { fn(); }, loop},
      context_{std::make_shared<SocketExecutor>(loop.context()), strand_.post},
      cleanup_threshold_(kMinCleanupThreshold) {}

TcpTransport::~TcpTransport() {
  if (context_.executor->is_strand()) {
    close_all();
    return;
  }
  // Nothing is started after close_all(), so that every operation completes.
  context_.executor->close();
  asio::post(context_.executor->io(), [this] { close_all(); });
  work_guard_.reset();
  io_thread_.join();
}

void TcpTransport::close_all() {
  for (const auto& listener : listeners_) listener->close();
  for (const auto& weak_socket : sockets_) {
    if (const std::shared_ptr<TcpSocket> socket = weak_socket.lock()) socket->close_on_io();
  }
}

std::shared_ptr<TcpSocket> TcpTransport::make_socket() const { return std::make_shared<TcpSocket>(context_); }

void TcpTransport::register_socket(const std::shared_ptr<TcpSocket>& socket) {
  // Expired pointers are removed only when the number has doubled: doing so for each new socket would take
  // quadratic time.
  if (sockets_.size() >= cleanup_threshold_) {
    std::erase_if(sockets_, [](const auto& weak_socket) { return weak_socket.expired(); });
    cleanup_threshold_ = std::max(kMinCleanupThreshold, 2 * sockets_.size());
  }
  sockets_.push_back(socket);
}

int TcpTransport::listen(const std::string& address, StreamHandler handler) {
  const std::optional<tcp::endpoint> endpoint = parse_endpoint(address);
  if (!endpoint) throw AddressError("'" + address + "' is no address of the form 127.0.0.1:8080");
  std::shared_ptr<Listener> listener;
  try {
    listener = std::make_shared<Listener>(*this, *endpoint, std::move(handler));
  } catch (const boost::system::system_error& e) {
    throw ListenError("can't listen at " + address + ": " + e.code().message());
  }
  const int port = listener->port();
  context_.executor->run([this, listener] {
    listeners_.push_back(listener);
    listener->accept_next();
  });
  return port;
}

void TcpTransport::stop_listening() {
  context_.executor->run([this] {
    for (const auto& listener : listeners_) listener->stop();
  });
}

Awaitable<ConnectResult> TcpTransport::connect(std::string address, TimeUs timeout_us) {
  // Addresses also come from endpoint lists, where an invalid one must not stop the caller.
  const std::optional<tcp::endpoint> endpoint = parse_endpoint(address);
  if (!endpoint) {
    co_await asio::post(strand_.executor, asio::use_awaitable);
    co_return ConnectResult{ConnectStatus::kFailed, nullptr};
  }
  const std::shared_ptr<TcpSocket> socket = make_socket();
  context_.executor->run([this, socket] { register_socket(socket); });
  const auto completed = std::make_shared<bool>(false);
  strand_.clock.call_after(timeout_us, [weak_socket = std::weak_ptr<TcpSocket>(socket), completed] {
    const std::shared_ptr<TcpSocket> pending = weak_socket.lock();
    if (pending && !*completed) pending->close();
  });
  const error_code error = co_await socket->connect(*endpoint);
  *completed = true;
  if (error) co_return ConnectResult{connect_status(error), nullptr};
  context_.executor->run([socket] { socket->disable_nagle(); });
  co_return ConnectResult{ConnectStatus::kConnected, std::make_shared<OwnedStream>(socket)};
}

}  // namespace sablelink::rpc
