// Races on real connections of the platform side: one event waits in the kernel, unread, while the gateway
// handles another. Every byte is held until the other event has happened, so that the order is the same in
// every run.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "dispatch/request_dispatcher.h"
#include "http/message.h"
#include "membership/endpoint_registry.h"
#include "platform/engine_client/engine_client.h"
#include "platform/http_server.h"
#include "rpc/asio_loop.h"
#include "rpc/tcp_transport.h"
#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

size_t occurrences(const std::string& text, const std::string& wanted) {
  size_t n = 0;
  for (size_t at = text.find(wanted); at != std::string::npos; at = text.find(wanted, at + 1)) ++n;
  return n;
}

// A blocking socket of the test's own. Sent bytes are in the peer's receive buffer when send() returns.
class RawSocket {
 public:
  explicit RawSocket(int fd) : fd_(fd) {}
  RawSocket(RawSocket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ~RawSocket() { close(); }
  static RawSocket connect(int port) {
    RawSocket connection(::socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in to = address(port);
    EXPECT_EQ(::connect(connection.fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)), 0);
    return connection;
  }
  static RawSocket listen(int* port) {
    RawSocket listener(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in at = address(0);
    EXPECT_EQ(::bind(listener.fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
    EXPECT_EQ(::listen(listener.fd_, 16), 0);
    socklen_t size = sizeof(at);
    ::getsockname(listener.fd_, reinterpret_cast<sockaddr*>(&at), &size);
    *port = ntohs(at.sin_port);
    return listener;
  }
  // The next connection in the backlog, if there is one.
  std::optional<RawSocket> accept() {
    pollfd listener{fd_, POLLIN, 0};
    if (::poll(&listener, 1, 0) <= 0) return std::nullopt;
    return RawSocket(::accept(fd_, nullptr, nullptr));
  }
  void send(const std::string& bytes) {
    EXPECT_EQ(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  }
  // Appends all bytes that have arrived to `received`; records how the connection ended.
  void receive() {
    char buffer[4096];
    for (;;) {
      const ssize_t n = ::recv(fd_, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (n > 0) {
        received.append(buffer, static_cast<size_t>(n));
        continue;
      }
      if (n == 0) closed = true;
      if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK) reset = true;
      return;
    }
  }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }

  std::string received;
  bool closed = false;  // by the peer, in order
  bool reset = false;

 private:
  static sockaddr_in address(int port) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<uint16_t>(port));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return a;
  }
  int fd_;
};

class HttpServerRace : public testing::Test {
 protected:
  explicit HttpServerRace(size_t connections = 20) {
    engine_listener_ = std::make_unique<RawSocket>(RawSocket::listen(&engine_port_));
    config::EngineConfig engine;
    engine.name = "n";
    engine.address = "127.0.0.1:" + std::to_string(engine_port_);
    endpoint_registry_.replace({engine});
    platform::EngineClientOptions engine_options;
    engine_options.budget.engines = 2;
    engine_options.class_names = {"lookup", "report"};
    engine_client_ =
        std::make_unique<platform::EngineClient>(engine_options, *net_, loop_, endpoint_registry_);
    dispatcher_ = std::make_unique<dispatch::RequestDispatcher>(
        plain_settings(), 7, dispatch::DispatcherLimits{}, loop_, *engine_client_, endpoint_source_, log_);
    engine_client_->set_dispatcher(dispatcher_.get());
    platform::HttpServerOptions server_options;
    server_options.classes = engine_options.class_names;
    server_options.max_timeout_us = {5 * kSecond, 15 * kSecond};
    server_options.max_connections = connections;
    http_server_ = std::make_unique<platform::HttpServer>(server_options, *dispatcher_, *net_, loop_);
    port_ =
        net_->listen("127.0.0.1:0", [this](auto stream) { return http_server_->serve(std::move(stream)); });
    dispatcher_->start();
    engine_client_->on_endpoints_changed();
    dispatcher_->on_endpoints_changed(EndpointUpdateKind::kFull, endpoint_registry_.endpoints());
    loop_.poll();
  }
  ~HttpServerRace() override {
    http_server_.reset();
    engine_client_.reset();
    dispatcher_.reset();
    net_.reset();
    loop_.poll();
  }

  // Runs the gateway until the condition holds; false after 20 s.
  template <typename Condition>
  bool wait_until(Condition condition) {
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > give_up_at) return false;
      loop_.poll();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
  }
  // Whether the client receives a response of that status.
  bool receives_status(RawSocket& client, const std::string& status) {
    return wait_until([&] {
             client.receive();
             return client.received.starts_with("HTTP/1.1 " + status) || client.closed || client.reset;
           }) &&
           client.received.starts_with("HTTP/1.1 " + status);
  }
  // A connection on which one request has been answered.
  RawSocket idle_connection() {
    RawSocket client = RawSocket::connect(port_);
    client.send(health_check());
    EXPECT_TRUE(receives_status(client, "200"));
    client.received.clear();
    return client;
  }
  static std::string health_check() { return http::write_request("GET", "/healthz", "h", {}); }
  static std::string query(int n) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", n);
    return http::write_request("POST", "/v1/lookup", "h", {{"X-Request-Id", id}, {"X-Timeout-Ms", "5000"}},
                               "SELECT 1");
  }
  // How often the text has arrived at the engine so far.
  size_t engine_request_count(const std::string& text) {
    while (auto connection = engine_listener_->accept())
      engine_connections_.push_back(std::move(*connection));
    size_t n = 0;
    for (RawSocket& connection : engine_connections_) {
      connection.receive();
      n += occurrences(connection.received, text);
    }
    return n;
  }

  rpc::AsioLoop loop_{[] { return std::chrono::system_clock::now(); },
                      [] { return std::chrono::steady_clock::now(); }};
  std::unique_ptr<rpc::TcpTransport> net_ = std::make_unique<rpc::TcpTransport>(loop_);
  std::unique_ptr<RawSocket> engine_listener_;
  std::vector<RawSocket> engine_connections_;
  int engine_port_ = 0;
  int port_ = 0;  // of the gateway
  struct StaticEndpointSource : dispatch::EndpointSource {
    void watch(bool) override {}
    void fetch() override {}
  } endpoint_source_;
  NullLog log_;
  membership::EndpointRegistry endpoint_registry_;
  std::unique_ptr<platform::EngineClient> engine_client_;
  std::unique_ptr<dispatch::RequestDispatcher> dispatcher_;
  std::unique_ptr<platform::HttpServer> http_server_;
};

class HttpServerRaceAtLimit : public HttpServerRace {
 protected:
  HttpServerRaceAtLimit() : HttpServerRace(2) {}
};

// Closing the listener would reset connections that have not been accepted.
TEST_F(HttpServerRace, RequestInTheBacklogIsAnsweredAfterTheListenerCloses) {
  std::vector<RawSocket> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(RawSocket::connect(port_));
    clients.back().send(health_check());
  }
  http_server_->start_draining();
  net_->stop_listening();
  for (RawSocket& client : clients) EXPECT_TRUE(receives_status(client, "503"));
}

// The request waits in the kernel: by what has been read so far the connection is idle.
TEST_F(HttpServerRace, UnreadRequestKeepsItsIdleConnectionOpen) {
  RawSocket client = idle_connection();
  client.send(health_check());
  http_server_->start_draining();
  http_server_->close_idle_connections();
  EXPECT_TRUE(receives_status(client, "503"));
}

// The second request arrived before draining began: the connection doesn't close after the first response.
TEST_F(HttpServerRace, PipelinedRequestIsAnsweredThoughDrainingBegins) {
  RawSocket client = RawSocket::connect(port_);
  client.send(health_check() + health_check());
  http_server_->start_draining();
  EXPECT_TRUE(wait_until([&] {
    client.receive();
    return client.closed || client.reset;
  }));
  EXPECT_EQ(occurrences(client.received, "HTTP/1.1 503"), 2u);
  EXPECT_TRUE(client.closed);
}

// The client sees the connection closed in order, not reset.
TEST_F(HttpServerRace, RequestAfterTheHalfCloseIsIgnored) {
  RawSocket client = idle_connection();
  http_server_->start_draining();
  http_server_->close_idle_connections();
  client.send(query(1));
  EXPECT_TRUE(wait_until([&] {
    client.receive();
    return client.closed || client.reset;
  }));
  EXPECT_TRUE(client.closed);
  EXPECT_FALSE(client.reset);
  EXPECT_TRUE(wait_until([&] { return http_server_->is_idle(); }));
  EXPECT_EQ(dispatcher_->counters().accepted, 0u);
}

// The longest idle connection has just sent its next request: another one is evicted.
TEST_F(HttpServerRaceAtLimit, ConnectionWithAnUnreadRequestIsNotEvicted) {
  RawSocket oldest = idle_connection();
  RawSocket other = idle_connection();
  RawSocket fresh = RawSocket::connect(port_);  // the gateway accepts it first
  oldest.send(health_check());
  EXPECT_TRUE(receives_status(oldest, "200"));
  fresh.send(health_check());
  EXPECT_TRUE(receives_status(fresh, "200"));
  EXPECT_TRUE(wait_until([&] {
    other.receive();
    return other.closed;
  }));
  EXPECT_EQ(http_server_->counters().evicted_connections, 1u);
}

// In a burst, no connection has sent its request when the next one is accepted.
TEST_F(HttpServerRaceAtLimit, NewConnectionIsNotEvictedForTheNextOne) {
  RawSocket idle = idle_connection();
  RawSocket first = RawSocket::connect(port_);
  RawSocket second = RawSocket::connect(port_);
  EXPECT_TRUE(wait_until([&] { return http_server_->counters().accepted_connections == 3; }));
  first.send(health_check());
  second.send(health_check());
  EXPECT_TRUE(receives_status(first, "200"));
  EXPECT_TRUE(receives_status(second, "200"));
}

// The attempt waits for a connection to the engine. One becomes free, and the client disconnects, before the
// gateway runs again.
TEST_F(HttpServerRace, QueuedAttemptIsNotSentAfterItsClientDisconnects) {
  std::vector<RawSocket> clients;
  for (int n = 1; n <= 3; ++n) {
    clients.push_back(RawSocket::connect(port_));
    clients.back().send(query(n));
  }
  ASSERT_TRUE(wait_until(
      [&] { return engine_request_count("POST /v2/q ") == 2 && dispatcher_->counters().attempts == 3; }));
  size_t sent = 2;
  uint64_t disconnected = 0;
  for (int round = 0; round < 50 && disconnected == 0; ++round) {
    // The response is read in one turn of the loop. Its connection is reused only some ms later, which pass
    // without a turn.
    engine_connections_[0].send(http::write_response(200, {{"Page-Count", "1"}}, "a\tb\tc\n", true));
    loop_.poll();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    if (engine_request_count("POST /v2/q ") > sent) {  // this thread was suspended meanwhile: try again
      clients.push_back(RawSocket::connect(port_));
      clients.back().send(query(10 + round));
      ++sent;
      const uint64_t expected = dispatcher_->counters().accepted + 1;
      ASSERT_TRUE(wait_until([&] { return dispatcher_->counters().accepted == expected; }));
      continue;
    }
    clients.back().close();
    ASSERT_TRUE(wait_until([&] { return dispatcher_->counters().disconnected == 1; }));
    disconnected = dispatcher_->counters().disconnected;
  }
  EXPECT_EQ(disconnected, 1u);
  EXPECT_EQ(engine_request_count("POST /v2/q "), sent);
}

}  // namespace
}  // namespace sablelink::test
