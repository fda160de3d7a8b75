// Two events that cross on real connections of the platform side: one waits in the kernel, unread, while the
// other is being done. Every byte is held until the other event has happened, so the order is the same each
// time.
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

// A blocking socket of the test's own. What it sends is in the other side's kernel when send() returns.
class RawSocket {
 public:
  explicit RawSocket(int fd) : fd_(fd) {}
  RawSocket(RawSocket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ~RawSocket() { close(); }
  static RawSocket connect(int port) {
    RawSocket s(::socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in to = address(port);
    EXPECT_EQ(::connect(s.fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)), 0);
    return s;
  }
  static RawSocket listen(int* port) {
    RawSocket s(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in at = address(0);
    EXPECT_EQ(::bind(s.fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
    EXPECT_EQ(::listen(s.fd_, 16), 0);
    socklen_t size = sizeof(at);
    ::getsockname(s.fd_, reinterpret_cast<sockaddr*>(&at), &size);
    *port = ntohs(at.sin_port);
    return s;
  }
  // A connection that stands, if there is one.
  std::optional<RawSocket> accept() {
    pollfd one{fd_, POLLIN, 0};
    if (::poll(&one, 1, 0) <= 0) return std::nullopt;
    return RawSocket(::accept(fd_, nullptr, nullptr));
  }
  void send(const std::string& bytes) {
    EXPECT_EQ(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  }
  // Takes what has come; notes how the connection ended.
  void receive() {
    char piece[4096];
    for (;;) {
      const ssize_t n = ::recv(fd_, piece, sizeof(piece), MSG_DONTWAIT);
      if (n > 0) {
        in.append(piece, static_cast<size_t>(n));
        continue;
      }
      if (n == 0) ended = true;
      if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK) broken = true;
      return;
    }
  }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }

  std::string in;
  bool ended = false, broken = false;

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

class PlatformCrossing : public testing::Test {
 protected:
  explicit PlatformCrossing(size_t connections = 20) {
    node_listener_ = std::make_unique<RawSocket>(RawSocket::listen(&node_port_));
    config::EngineConfig node;
    node.name = "n";
    node.address = "127.0.0.1:" + std::to_string(node_port_);
    directory_.replace({node});
    platform::EngineClientOptions to_nodes;
    to_nodes.budget.engines = 2;
    to_nodes.class_names = {"lookup", "report"};
    nodes_ = std::make_unique<platform::EngineClient>(to_nodes, *net_, loop_, directory_);
    dispatcher_ = std::make_unique<dispatch::RequestDispatcher>(
        plain_settings(), 7, dispatch::DispatcherLimits{}, loop_, *nodes_, lists_, log_);
    nodes_->set_dispatcher(dispatcher_.get());
    platform::HttpServerOptions to_clients;
    to_clients.classes = to_nodes.class_names;
    to_clients.max_timeout_us = {5 * kSecond, 15 * kSecond};
    to_clients.max_connections = connections;
    front_ = std::make_unique<platform::HttpServer>(to_clients, *dispatcher_, *net_, loop_);
    port_ = net_->listen("127.0.0.1:0", [this](auto stream) { return front_->serve(std::move(stream)); });
    dispatcher_->start();
    nodes_->on_endpoints_changed();
    dispatcher_->on_endpoints_changed(EndpointUpdateKind::kFull, directory_.endpoints());
    loop_.poll();
  }
  ~PlatformCrossing() override {
    front_.reset();
    nodes_.reset();
    dispatcher_.reset();
    net_.reset();
    loop_.poll();
  }

  // Lets the gateway run until the condition holds; false after 20 s.
  template <typename Holds>
  bool until(Holds holds) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!holds()) {
      if (std::chrono::steady_clock::now() > end) return false;
      loop_.poll();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
  }
  // True once an answer of that status is there.
  bool answered(RawSocket& client, const std::string& status) {
    return until([&] {
             client.receive();
             return client.in.starts_with("HTTP/1.1 " + status) || client.ended || client.broken;
           }) &&
           client.in.starts_with("HTTP/1.1 " + status);
  }
  // A connection that has been served and rests.
  RawSocket resting() {
    RawSocket client = RawSocket::connect(port_);
    client.send(health());
    EXPECT_TRUE(answered(client, "200"));
    client.in.clear();
    return client;
  }
  static std::string health() { return http::write_request("GET", "/healthz", "h", {}); }
  static std::string statement(int n) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", n);
    return http::write_request("POST", "/v1/lookup", "h", {{"X-Request-Id", id}, {"X-Timeout-Ms", "5000"}},
                               "SELECT 1");
  }
  // Takes what the gateway connects and sends to the node.
  size_t node_calls(const std::string& call) {
    while (auto s = node_listener_->accept()) node_side_.push_back(std::move(*s));
    size_t n = 0;
    for (RawSocket& s : node_side_) {
      s.receive();
      for (size_t at = s.in.find(call); at != std::string::npos; at = s.in.find(call, at + 1)) ++n;
    }
    return n;
  }

  rpc::AsioLoop loop_{[] { return std::chrono::system_clock::now(); },
                      [] { return std::chrono::steady_clock::now(); }};
  std::unique_ptr<rpc::TcpTransport> net_ = std::make_unique<rpc::TcpTransport>(loop_);
  std::unique_ptr<RawSocket> node_listener_;
  std::vector<RawSocket> node_side_;
  int node_port_ = 0, port_ = 0;
  struct NoLists : dispatch::EndpointSource {
    void watch(bool) override {}
    void fetch() override {}
  } lists_;
  NullLog log_;
  membership::EndpointRegistry directory_;
  std::unique_ptr<platform::EngineClient> nodes_;
  std::unique_ptr<dispatch::RequestDispatcher> dispatcher_;
  std::unique_ptr<platform::HttpServer> front_;
};

class PlatformCrossingFull : public PlatformCrossing {
 protected:
  PlatformCrossingFull() : PlatformCrossing(2) {}
};

// Connected and sent, not yet accepted: the listener's close would reset it.
TEST_F(PlatformCrossing, ARequestInTheBacklogAsTheListenerClosesIsAnswered) {
  std::vector<RawSocket> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(RawSocket::connect(port_));
    clients.back().send(health());
  }
  front_->start_draining();
  net_->stop_listening();
  for (RawSocket& client : clients) EXPECT_TRUE(answered(client, "503"));
}

// Its bytes wait to be read as the connection, by all that was read of it at rest, is to be closed.
TEST_F(PlatformCrossing, ARequestUnreadAsItsConnectionIsToCloseIsAnswered) {
  RawSocket client = resting();
  client.send(health());
  front_->start_draining();
  front_->close_idle_connections();
  EXPECT_TRUE(answered(client, "503"));
}

// Two calls at once: the second one came before the drain, and isn't dropped with the answer to the first.
TEST_F(PlatformCrossing, ACallBehindAnotherIsAnsweredThoughADrainBegins) {
  RawSocket client = RawSocket::connect(port_);
  client.send(health() + health());
  front_->start_draining();
  EXPECT_TRUE(until([&] {
    client.receive();
    return client.ended || client.broken;
  }));
  size_t answers = 0;
  for (size_t at = client.in.find("HTTP/1.1 503"); at != std::string::npos; ++answers)
    at = client.in.find("HTTP/1.1 503", at + 1);
  EXPECT_EQ(answers, 2u);
  EXPECT_TRUE(client.ended);
}

// The close comes first: the client hears of an end, not of a break, and what it sends then goes nowhere.
TEST_F(PlatformCrossing, ARequestBehindTheCloseOfARestingConnectionIsNotTaken) {
  RawSocket client = resting();
  front_->start_draining();
  front_->close_idle_connections();
  client.send(statement(1));
  EXPECT_TRUE(until([&] {
    client.receive();
    return client.ended || client.broken;
  }));
  EXPECT_TRUE(client.ended);
  EXPECT_FALSE(client.broken);
  EXPECT_TRUE(until([&] { return front_->is_idle(); }));
  EXPECT_EQ(dispatcher_->counters().accepted, 0u);
}

// A new connection needs room as the oldest at rest has just sent its next request: another one goes.
TEST_F(PlatformCrossingFull, ARequestUnreadAsRoomIsMadeKeepsItsConnection) {
  RawSocket oldest = resting();
  RawSocket other = resting();
  RawSocket fresh = RawSocket::connect(port_);  // the gateway hears of it first
  oldest.send(health());
  EXPECT_TRUE(answered(oldest, "200"));
  fresh.send(health());
  EXPECT_TRUE(answered(fresh, "200"));
  EXPECT_TRUE(until([&] {
    other.receive();
    return other.ended;
  }));
  EXPECT_EQ(front_->counters().evicted_connections, 1u);
}

// A burst of new connections, none of which has sent its request when the next one is accepted.
TEST_F(PlatformCrossingFull, ANewConnectionIsNotGivenUpForTheNextOne) {
  RawSocket at_rest = resting();
  RawSocket first = RawSocket::connect(port_);
  RawSocket second = RawSocket::connect(port_);
  EXPECT_TRUE(until([&] { return front_->counters().accepted_connections == 3; }));
  first.send(health());
  second.send(health());
  EXPECT_TRUE(answered(first, "200"));
  EXPECT_TRUE(answered(second, "200"));
}

// Its start waits for a connection. One becomes free, and its client closes, before the gateway looks.
TEST_F(PlatformCrossing, AStartWhoseClientHasJustGoneDoesNotLeave) {
  std::vector<RawSocket> clients;
  for (int n = 1; n <= 3; ++n) {
    clients.push_back(RawSocket::connect(port_));
    clients.back().send(statement(n));
  }
  ASSERT_TRUE(until([&] { return node_calls("POST /v2/q ") == 2 && dispatcher_->counters().attempts == 3; }));
  size_t sent = 2;
  uint64_t left = 0;
  for (int round = 0; round < 50 && left == 0; ++round) {
    // The answer is read in one turn. Its connection rests for some ms, which pass without a turn.
    node_side_[0].send(http::write_response(200, {{"Page-Count", "1"}}, "a\tb\tc\n", true));
    loop_.poll();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    if (node_calls("POST /v2/q ") > sent) {  // this thread stood still for so long: once more
      clients.push_back(RawSocket::connect(port_));
      clients.back().send(statement(10 + round));
      ++sent;
      const uint64_t taken = dispatcher_->counters().accepted + 1;
      ASSERT_TRUE(until([&] { return dispatcher_->counters().accepted == taken; }));
      continue;
    }
    clients.back().close();
    ASSERT_TRUE(until([&] { return dispatcher_->counters().disconnected == 1; }));
    left = dispatcher_->counters().disconnected;
  }
  EXPECT_EQ(left, 1u);
  EXPECT_EQ(node_calls("POST /v2/q "), sent);
}

}  // namespace
}  // namespace sablelink::test
