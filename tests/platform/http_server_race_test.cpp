// Races on real sockets: one event waits unread in the kernel while the gateway handles another event. Each
// test controls when bytes are sent and when the event loop runs, so the order is the same in every run.
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

size_t count_occurrences(const std::string& text, const std::string& wanted) {
  size_t n = 0;
  for (size_t at = text.find(wanted); at != std::string::npos; at = text.find(wanted, at + 1)) ++n;
  return n;
}

// A blocking socket outside the event loop. When send() returns, the peer's receive buffer has the bytes.
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
  // The next connection in the backlog; empty if there is none.
  std::optional<RawSocket> accept() {
    pollfd listener{fd_, POLLIN, 0};
    if (::poll(&listener, 1, 0) <= 0) return std::nullopt;
    return RawSocket(::accept(fd_, nullptr, nullptr));
  }
  void send(const std::string& bytes) {
    EXPECT_EQ(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  }
  // Appends all bytes that have arrived to `received` and records the end of the connection.
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
  bool closed = false;  // by the peer, without a reset
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
        std::make_unique<platform::EngineClient>(engine_options, *network_, loop_, endpoint_registry_, log_);
    dispatcher_ = std::make_unique<dispatch::RequestDispatcher>(
        plain_settings(), 7, dispatch::DispatcherLimits{}, loop_, *engine_client_, endpoint_source_, log_);
    engine_client_->set_dispatcher(dispatcher_.get());
    platform::HttpServerOptions server_options;
    server_options.class_names = engine_options.class_names;
    server_options.max_timeout_us = {5 * kSecond, 15 * kSecond};
    server_options.max_connections = connections;
    http_server_ = std::make_unique<platform::HttpServer>(
        server_options, std::make_shared<platform::MemoryBudget>(4 << 20), *dispatcher_, *network_, loop_);
    gateway_port_ = network_->listen("127.0.0.1:0",
                                     [this](auto stream) { return http_server_->serve(std::move(stream)); });
    dispatcher_->start();
    engine_client_->on_endpoints_changed();
    dispatcher_->on_endpoints_changed(EndpointUpdateKind::kFull, endpoint_registry_.endpoints());
    loop_.poll();
  }
  ~HttpServerRace() override {
    http_server_.reset();
    engine_client_.reset();
    dispatcher_.reset();
    network_.reset();
    loop_.poll();
  }

  // Runs the gateway until the condition is true. Returns false after 20 s.
  template <typename Condition>
  bool wait_until(Condition condition) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) return false;
      loop_.poll();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
  }
  // Runs the gateway until the client has a response or the connection ends. Returns whether there is a
  // response with the status.
  bool wait_for_status(RawSocket& client, const std::string& status) {
    return wait_until([&] {
             client.receive();
             return client.received.starts_with("HTTP/1.1 " + status) || client.closed || client.reset;
           }) &&
           client.received.starts_with("HTTP/1.1 " + status);
  }
  // Returns a connection on which one request has received its response.
  RawSocket open_idle_connection() {
    RawSocket client = RawSocket::connect(gateway_port_);
    client.send(health_check());
    EXPECT_TRUE(wait_for_status(client, "200"));
    client.received.clear();
    return client;
  }
  static std::string health_check() { return http::serialize_request("GET", "/healthz", "h", {}); }
  static std::string query(int n) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", n);
    return http::serialize_request("POST", "/v1/lookup", "h",
                                   {{"X-Request-Id", id}, {"X-Timeout-Ms", "5000"}}, "SELECT 1");
  }
  // The number of occurrences of the text in the bytes that the engine has received.
  size_t engine_request_count(const std::string& text) {
    while (auto connection = engine_listener_->accept())
      engine_connections_.push_back(std::move(*connection));
    size_t n = 0;
    for (RawSocket& connection : engine_connections_) {
      connection.receive();
      n += count_occurrences(connection.received, text);
    }
    return n;
  }

  rpc::AsioLoop loop_{[] { return std::chrono::system_clock::now(); },
                      [] { return std::chrono::steady_clock::now(); }};
  std::unique_ptr<rpc::TcpTransport> network_ = std::make_unique<rpc::TcpTransport>(loop_);
  std::unique_ptr<RawSocket> engine_listener_;
  std::vector<RawSocket> engine_connections_;
  int engine_port_ = 0;
  int gateway_port_ = 0;  // of the gateway
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

// A listener that closes before it has accepted all connections would reset those in its backlog.
TEST_F(HttpServerRace, RequestInTheBacklogReceivesAResponseAfterTheListenerCloses) {
  std::vector<RawSocket> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(RawSocket::connect(gateway_port_));
    clients.back().send(health_check());
  }
  http_server_->start_draining();
  network_->stop_listening();
  for (RawSocket& client : clients) EXPECT_TRUE(wait_for_status(client, "503"));
}

// The request waits in the kernel. According to the bytes read so far, the connection is idle.
TEST_F(HttpServerRace, UnreadRequestKeepsItsIdleConnectionOpen) {
  RawSocket client = open_idle_connection();
  client.send(health_check());
  http_server_->start_draining();
  http_server_->close_idle_connections();
  EXPECT_TRUE(wait_for_status(client, "503"));
}

// The second request arrives before draining begins, so the connection stays open after the first response.
TEST_F(HttpServerRace, PipelinedRequestReceivesAResponseAlthoughDrainingBegins) {
  RawSocket client = RawSocket::connect(gateway_port_);
  client.send(health_check() + health_check());
  http_server_->start_draining();
  EXPECT_TRUE(wait_until([&] {
    client.receive();
    return client.closed || client.reset;
  }));
  EXPECT_EQ(count_occurrences(client.received, "HTTP/1.1 503"), 2u);
  EXPECT_TRUE(client.closed);
}

// The connection is closed without a reset.
TEST_F(HttpServerRace, RequestAfterTheHalfCloseIsIgnored) {
  RawSocket client = open_idle_connection();
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

// The longest idle connection has an unread request, so another one is evicted.
TEST_F(HttpServerRaceAtLimit, ConnectionWithAnUnreadRequestIsNotEvicted) {
  RawSocket oldest = open_idle_connection();
  RawSocket other = open_idle_connection();
  RawSocket newest = RawSocket::connect(gateway_port_);  // the gateway accepts it first
  oldest.send(health_check());
  EXPECT_TRUE(wait_for_status(oldest, "200"));
  newest.send(health_check());
  EXPECT_TRUE(wait_for_status(newest, "200"));
  EXPECT_TRUE(wait_until([&] {
    other.receive();
    return other.closed;
  }));
  EXPECT_EQ(http_server_->counters().evicted_connections, 1u);
}

// In a burst of new connections, none has sent its request when the next one is accepted.
TEST_F(HttpServerRaceAtLimit, NewConnectionIsNotEvictedForTheNextOne) {
  RawSocket idle = open_idle_connection();
  RawSocket first = RawSocket::connect(gateway_port_);
  RawSocket second = RawSocket::connect(gateway_port_);
  EXPECT_TRUE(wait_until([&] { return http_server_->counters().accepted_connections == 3; }));
  first.send(health_check());
  second.send(health_check());
  EXPECT_TRUE(wait_for_status(first, "200"));
  EXPECT_TRUE(wait_for_status(second, "200"));
}

// An attempt waits for a connection to the engine. A connection becomes idle and the attempt's client
// disconnects before the gateway's event loop runs again.
TEST_F(HttpServerRace, QueuedAttemptIsNotSentAfterItsClientDisconnects) {
  std::vector<RawSocket> clients;
  for (int n = 1; n <= 3; ++n) {
    clients.push_back(RawSocket::connect(gateway_port_));
    clients.back().send(query(n));
  }
  ASSERT_TRUE(wait_until(
      [&] { return engine_request_count("POST /v2/q ") == 2 && dispatcher_->counters().attempts == 3; }));
  size_t sent = 2;
  uint64_t disconnected = 0;
  for (int round = 0; round < 50 && disconnected == 0; ++round) {
    // One run of the event loop reads the response. Its connection may be reused only some milliseconds
    // later, when the loop does not run.
    engine_connections_[0].send(http::serialize_response(200, {{"Page-Count", "1"}}, "a\tb\tc\n", true));
    loop_.poll();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    if (engine_request_count("POST /v2/q ") >
        sent) {  // the test's thread was suspended meanwhile: repeat the round
      clients.push_back(RawSocket::connect(gateway_port_));
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
