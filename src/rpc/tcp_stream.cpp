#include "rpc/tcp_stream.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "base/async_event.h"
#include "rpc/asio_loop.h"
#include "rpc/errors.h"

namespace sablelink::rpc {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr size_t kPiece = 64 << 10;                           // most bytes of one read or write
constexpr auto kAcceptPause = std::chrono::milliseconds(20);  // after an accept that failed: no busy loop

// Numbers alone: names are resolved by whoever configures addresses.
tcp::endpoint endpoint_of(const std::string& address) {
  const size_t colon = address.rfind(':');
  error_code error;
  tcp::endpoint out;
  if (colon != std::string::npos) {
    std::string host = address.substr(0, colon);
    if (host == "localhost") host = "127.0.0.1";
    const std::string port = address.substr(colon + 1);
    const bool digits = !port.empty() && port.size() <= 5 &&
                        std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; });
    const auto ip = asio::ip::make_address(host, error);
    if (!error && digits && std::stoi(port) <= 65535)
      return {ip, static_cast<unsigned short>(std::stoi(port))};
  }
  throw AddressError("'" + address + "' is no address of the form 127.0.0.1:8080");
}

}  // namespace

// One socket, on the context's thread; its end on the strand holds it, and so does each operation.
class TcpNet::Socket : public ByteStream, public std::enable_shared_from_this<TcpNet::Socket> {
 public:
  // direct: the strand is the context's own thread, so that nothing needs handing over.
  Socket(asio::io_context& context, bool direct, std::function<void(std::function<void()>)> post)
      : context_(context), direct_(direct), post_(std::move(post)), socket_(context) {}

  // What an operation comes to; done is given on the strand.
  struct Operation {
    std::string bytes;
    error_code error;
    size_t count = 0;
    bool over = false;
    AsyncEvent done;
  };

  Awaitable<std::optional<std::string>> read(size_t most) override {
    const auto op = std::make_shared<Operation>();
    op->bytes.resize(std::clamp<size_t>(most, 1, kPiece));
    on_context([self = shared_from_this(), op] {
      self->socket_.async_read_some(asio::buffer(op->bytes), self->over(op));
    });
    reading_ = op;
    co_await op->done.wait();
    reading_.reset();
    if (op->error == asio::error::eof) peer_left_ = true;
    if (op->error == asio::error::eof) co_return std::string();
    if (op->error) co_return std::nullopt;
    op->bytes.resize(op->count);
    co_return std::move(op->bytes);
  }

  Awaitable<size_t> write(std::string_view bytes) override {
    const auto op = std::make_shared<Operation>();
    op->bytes = bytes.substr(0, kPiece);
    on_context([self = shared_from_this(), op] {
      self->socket_.async_write_some(asio::buffer(op->bytes), self->over(op));
    });
    co_await op->done.wait();
    co_return op->error ? 0 : op->count;
  }

  bool readable() const override {
    const std::shared_ptr<Operation> op = reading_.lock();
    return (op && op->over) || polled(POLLIN);
  }
  bool peer_left() const override { return peer_left_ || polled(POLLRDHUP); }

  void end() override {
    on_context([self = shared_from_this()] {
      error_code ignored;
      self->ended_ = true;
      self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
    });
  }

  void close() override {
    on_context([self = shared_from_this()] { self->shut(); });
  }

  void reset() override {
    on_context([self = shared_from_this()] {
      self->ended_ = false;
      self->shut();
    });
  }

  // ---- On the context's thread
  // -----------------------------------------------------------------------------
  void shut() {
    error_code ignored;
    // Without an end before, the other side is to hear of a break, not of an end.
    if (!ended_) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }
  void connect(const tcp::endpoint& to, const std::shared_ptr<Operation>& op) {
    socket_.async_connect(to, [finish = over(op)](error_code error) mutable { finish(error, 0); });
  }
  tcp::socket& raw() { return socket_; }
  void set_up() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

 private:
  std::function<void(error_code, size_t)> over(std::shared_ptr<Operation> op) {
    return [self = shared_from_this(), op = std::move(op)](error_code error, size_t count) {
      op->error = error;
      op->count = count;
      self->post_([op] {
        op->over = true;
        op->done.set();
      });
    };
  }

  // What the system knows of the socket, at once. Where another thread may close it, nothing is asked.
  bool polled(short events) const {
    if (!direct_ || !socket_.is_open()) return false;
    pollfd one{const_cast<tcp::socket&>(socket_).native_handle(), events, 0};
    return ::poll(&one, 1, 0) > 0 && (one.revents & (events | POLLERR | POLLHUP)) != 0;
  }

  template <typename Fn>
  void on_context(Fn fn) {
    if (direct_)
      fn();
    else
      asio::post(context_, std::move(fn));
  }

  asio::io_context& context_;
  const bool direct_;
  const std::function<void(std::function<void()>)> post_;
  tcp::socket socket_;
  bool ended_ = false;
  std::weak_ptr<Operation> reading_;  // the read that is awaited
  bool peer_left_ = false;
};

namespace {

// What the strand's code holds: letting go of it closes the socket, which its operations may still hold.
class Held : public ByteStream {
 public:
  explicit Held(std::shared_ptr<ByteStream> socket) : socket_(std::move(socket)) {}
  ~Held() override { socket_->close(); }
  Awaitable<std::optional<std::string>> read(size_t most) override { return socket_->read(most); }
  Awaitable<size_t> write(std::string_view bytes) override { return socket_->write(bytes); }
  bool readable() const override { return socket_->readable(); }
  bool peer_left() const override { return socket_->peer_left(); }
  void end() override { socket_->end(); }
  void close() override { socket_->close(); }
  void reset() override { socket_->reset(); }

 private:
  const std::shared_ptr<ByteStream> socket_;
};

}  // namespace

class TcpNet::Acceptor : public std::enable_shared_from_this<TcpNet::Acceptor> {
 public:
  Acceptor(TcpNet& net, const tcp::endpoint& at, StreamHandler handler)
      : net_(net), acceptor_(net.context_, at), pause_(net.context_), handler_(std::move(handler)) {}
  int port() const { return acceptor_.local_endpoint().port(); }
  // From here on the net may be gone.
  void close() {
    error_code ignored;
    closed_ = true;
    acceptor_.close(ignored);
  }
  // Whoever is connected already may have sent a request, which a close of the listener would reset.
  void stop() {
    accept_pending();
    error_code ignored;
    stopped_ = true;
    acceptor_.close(ignored);
  }
  void accept_pending() {
    error_code error;
    acceptor_.non_blocking(true, error);
    for (;;) {
      const auto socket = std::make_shared<Socket>(net_.context_, !net_.own_, net_.strand_.post);
      acceptor_.accept(socket->raw(), error);
      if (error) return;
      serve(socket);
    }
  }
  void accept() {
    const auto socket = std::make_shared<Socket>(net_.context_, !net_.own_, net_.strand_.post);
    acceptor_.async_accept(socket->raw(), [self = shared_from_this(), socket](error_code error) {
      if (self->closed_) return;
      if (!error) self->serve(socket);  // also where it was accepted in the turn in which the listener stops
      if (self->stopped_) return;
      if (!error) {
        self->accept();
        return;
      }
      // Out of descriptors, most likely: who waits to be accepted keeps waiting until there are some.
      self->pause_.expires_after(kAcceptPause);
      self->pause_.async_wait([self](error_code) {
        if (!self->closed_ && !self->stopped_) self->accept();
      });
    });
  }

 private:
  void serve(const std::shared_ptr<Socket>& socket) {
    socket->set_up();
    net_.keep(socket);
    net_.strand_.post([executor = net_.strand_.executor, handler = handler_, socket] {
      asio::co_spawn(
          executor,
          [](StreamHandler run, std::shared_ptr<ByteStream> stream) -> Awaitable<void> {
            co_await run(std::move(stream));
          }(handler, std::make_shared<Held>(socket)),
          asio::detached);
    });
  }

  TcpNet& net_;
  tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  bool closed_ = false;   // with the net
  bool stopped_ = false;  // before it
  const StreamHandler handler_;
};

TcpNet::TcpNet(Strand strand)
    : strand_(std::move(strand)),
      own_(std::make_unique<asio::io_context>()),
      context_(*own_),
      guard_(context_.get_executor()),
      thread_([this] { context_.run(); }) {}

TcpNet::TcpNet(AsioLoop& loop)
    : strand_{loop.executor(), [](const std::function<void()>& fn) { fn(); }, loop},
      context_(loop.context()) {}

TcpNet::~TcpNet() {
  if (!own_) {
    close_all();
    return;
  }
  asio::post(context_, [this] { close_all(); });
  guard_.reset();
  thread_.join();
}

// On the context's thread; on an AsioLoop the caller is that.
void TcpNet::on_context(std::function<void()> fn) {
  if (own_)
    asio::post(context_, std::move(fn));
  else
    fn();
}

void TcpNet::close_all() {
  for (const auto& acceptor : acceptors_) acceptor->close();
  for (const auto& weak : sockets_)
    if (const std::shared_ptr<Socket> socket = weak.lock()) socket->shut();
}

void TcpNet::stop_listening() {
  on_context([this] {
    for (const auto& acceptor : acceptors_) acceptor->stop();
  });
}

void TcpNet::keep(const std::shared_ptr<Socket>& socket) {
  // Looked through once it has doubled: at each new socket would be the square of their number.
  if (sockets_.size() >= swept_at_) {
    std::erase_if(sockets_, [](const auto& weak) { return weak.expired(); });
    swept_at_ = std::max<size_t>(64, 2 * sockets_.size());
  }
  sockets_.push_back(socket);
}

int TcpNet::listen(const std::string& address, StreamHandler handler) {
  const tcp::endpoint at = endpoint_of(address);
  std::shared_ptr<Acceptor> acceptor;
  try {
    acceptor = std::make_shared<Acceptor>(*this, at, std::move(handler));
  } catch (const boost::system::system_error& e) {
    throw ListenError("can't listen at " + address + ": " + e.code().message());
  }
  const int port = acceptor->port();
  on_context([this, acceptor] {
    acceptors_.push_back(acceptor);
    acceptor->accept();
  });
  return port;
}

Awaitable<std::shared_ptr<ByteStream>> TcpNet::connect(std::string address, TimeUs within, ConnectEnd* end) {
  tcp::endpoint to;
  try {
    to = endpoint_of(address);
  } catch (const AddressError&) {
    // An address comes from outside, too: a list that names a wrong one must not end whoever dials.
    if (end != nullptr) *end = ConnectEnd::kFailed;
    co_return nullptr;
  }
  const auto socket = std::make_shared<Socket>(context_, !own_, strand_.post);
  const auto op = std::make_shared<Socket::Operation>();
  const auto over = std::make_shared<bool>(false);
  on_context([this, socket, op, to] {
    keep(socket);
    socket->connect(to, op);
  });
  strand_.clock.call_after(within, [weak = std::weak_ptr<Socket>(socket), over] {
    const std::shared_ptr<Socket> s = weak.lock();
    if (s && !*over) s->close();
  });
  co_await op->done.wait();
  *over = true;
  if (end != nullptr)
    *end = !op->error                                     ? ConnectEnd::kConnected
           : op->error == asio::error::connection_refused ? ConnectEnd::kRefused
           : op->error == asio::error::operation_aborted || op->error == asio::error::timed_out
               ? ConnectEnd::kTimeout
               : ConnectEnd::kFailed;
  if (op->error) co_return nullptr;
  on_context([socket] { socket->set_up(); });
  co_return std::make_shared<Held>(socket);
}

}  // namespace sablelink::rpc
