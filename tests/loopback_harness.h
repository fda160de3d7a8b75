// Runs a gateway, stand-in nodes and clients on loopback sockets and records the events of nodes and clients
// for the auditor.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <future>
#include <mutex>
#include <random>

#include "audit/auditor.h"
#include "flightsql/client.h"
#include "flightsql/messages.h"
#include "flightsql/protocol.h"
#include "rpc/grpc_client.h"
#include "service/gateway_service.h"
#include "service/node_service.h"

namespace sablelink::test {

using dispatch::RequestStatus;
using flightsql::Client;
using flightsql::ClientOptions;
using flightsql::QueryResult;
using nodes::NodeEvent;
using rpc::Code;

inline constexpr TimeUs kMs = 1000, kSecond = 1'000'000;

inline service::System test_system() {
  service::System s;
  s.wall = [] { return std::chrono::system_clock::now(); };
  s.steady = [] { return std::chrono::steady_clock::now(); };
  s.random = [n = std::make_shared<std::mt19937_64>(11)] { return (*n)(); };
  return s;
}

class MemoryRecorder : public nodes::Recorder {
 public:
  void record(const NodeEvent& event) override {
    const std::lock_guard lock(mutex_);
    events_.push_back(event);
  }
  std::vector<NodeEvent> events() const {
    const std::lock_guard lock(mutex_);
    return events_;
  }
  size_t count(NodeEvent::Kind kind, const std::string& tag = "") const {
    size_t n = 0;
    for (const NodeEvent& e : events()) n += e.kind == kind && (tag.empty() || e.tag == tag);
    return n;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<NodeEvent> events_;
};

inline constexpr const char* kClasses = R"(
[[class]]
name = "safe"
aim = "2s"
deadline = "10s"
late_worth = 0.5
[[class]]
name = "unsafe"
aim = "2s"
deadline = "10s"
late_worth = 0.5
repeat = "unsafe"
[[class]]
name = "ordered"
aim = "2s"
deadline = "10s"
late_worth = 0.5
in_order = true
[[class]]
name = "bound"
aim = "2s"
deadline = "10s"
only_zones = ["far"]
[[zone]]
name = "near"
[[zone]]
name = "far"
[[kind]]
name = "std"
cores = 8
memory = "16GiB"
[[select]]
headers = { "x-class" = "unsafe" }
class = "unsafe"
[[select]]
headers = { "x-class" = "ordered" }
class = "ordered"
[[select]]
headers = { "x-class" = "bound" }
class = "bound"
[[table]]
name = "gallery"
[requests]
key_header = "x-order-key"
[rules]
drain_grace = "250ms"
turn_gap = "300ms"
)";

class Loopback : public testing::Test {
 protected:
  void SetUp() override {
    system_ = test_system();
    loop_ = std::make_unique<rpc::GrpcLoop>(system_.wall, system_.steady);
    channels_ = std::make_unique<rpc::GrpcChannelFactory>(rpc::GrpcClientOptions{}, *loop_);
    config_ = config::parse_gateway_config(kClasses, "test");
    config_.name = "g";
    config_.listen_address = "127.0.0.1:0";
    config_.log_level = "error";
  }
  void TearDown() override {
    client_.reset();
    gateway_.reset();
    nodes_.clear();
    channels_.reset();
    loop_.reset();
  }

  service::NodeService& add_node(nodes::NodeConfig node = {}, int zone = 0) {
    node.name = "n" + std::to_string(config_.engines.size());
    if (node.listen.empty()) node.listen = "127.0.0.1:0";
    nodes_.push_back(std::make_unique<service::NodeService>(node, system_, &recorder_, tables_));
    config::EngineConfig entry;
    entry.name = node.name;
    entry.zone = zone;
    entry.address = "127.0.0.1:" + std::to_string(nodes_.back()->port());
    config_.engines.push_back(entry);
    return *nodes_.back();
  }
  void start() {
    gateway_ = std::make_unique<service::GatewayService>(config_, system_);
    client_ = open_client();
  }
  std::unique_ptr<Client> open_client() {
    return std::make_unique<Client>(channels_->open("127.0.0.1:" + std::to_string(gateway_->port())), *loop_);
  }

  static ClientOptions options(TimeUs timeout, const std::string& cls = "", const std::string& key = "") {
    ClientOptions o;
    o.timeout_us = timeout;
    if (!cls.empty()) o.headers.emplace_back("x-class", cls);
    if (!key.empty()) o.headers.emplace_back("x-order-key", key);
    return o;
  }
  template <typename T>
  std::future<T> spawn(rpc::Awaitable<T> operation) {
    return loop_->spawn(std::move(operation));
  }
  // Sends a statement and records the client's view of it for the auditor.
  std::future<QueryResult> send(const std::string& sql, const std::string& tag, ClientOptions o,
                                bool update = false, Client* client = nullptr) {
    o.headers.emplace_back(std::string(flightsql::kClientTagKey), tag);
    return spawn(run_recorded(client == nullptr ? client_.get() : client, sql, tag, std::move(o), update));
  }
  rpc::Awaitable<QueryResult> run_recorded(Client* client, std::string sql, std::string tag, ClientOptions o,
                                           bool update) {
    audit::ClientRecord r;
    r.tag = tag;
    r.gateway = "g";
    for (const auto& [key, value] : o.headers) {
      if (key == "x-class") r.cls = config_.class_index(value);
      if (key == "x-order-key") r.key = value;
    }
    o.canceller = cancel_;
    r.started_at = wall_time_us();
    r.deadline = r.started_at + (o.timeout_us > 0 ? o.timeout_us : 10 * kSecond);
    QueryResult result;
    if (update)
      result = co_await client->update(std::move(sql), std::move(o));
    else
      result = co_await client->query(std::move(sql), std::move(o));
    r.ended_at = wall_time_us();
    r.responses = 1;
    r.end = audit::end_of(result.verdict);
    const std::lock_guard lock(mutex_);
    records_.clients.push_back(r);
    co_return result;
  }
  // Cancels all calls in flight.
  void cancel_all() {
    loop_->post_and_wait([&] { cancel_->cancel_all(); });
  }
  TimeUs wall_time_us() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(system_.wall().time_since_epoch()).count();
  }
  static void sleep(TimeUs us) { std::this_thread::sleep_for(std::chrono::microseconds(us)); }
  // Waits until the condition holds. Returns false after ten seconds.
  template <typename Condition>
  bool wait_for(Condition condition) {
    for (int i = 0; i < 10'000; ++i) {
      if (condition()) return true;
      sleep(kMs);
    }
    return false;
  }
  size_t open_requests() {
    size_t n = 0;
    gateway_->inspect([&](const dispatch::RequestDispatcher& c, const flightsql::FlightSqlServer&) {
      n = c.tracked_requests();
    });
    return n;
  }

  // Returns the auditor's findings for all events recorded so far, one per line.
  std::string audit_findings() {
    audit::AuditSettings s;
    s.classes = config_.settings.classes;
    s.class_names = config_.class_names;
    s.rules = config_.settings;
    s.slack_us = 200 * kMs;  // tolerates delays on busy machines
    for (const config::EngineConfig& n : config_.engines)
      s.nodes.push_back({n.name, n.zone, n.engine_type, n.cell, 8, 1, 0});
    const std::lock_guard lock(mutex_);
    records_.nodes = recorder_.events();
    std::string findings;
    for (const audit::Finding& f : audit::audit(s, records_).findings) findings += f.what + "\n";
    return findings;
  }

  service::System system_;
  std::unique_ptr<rpc::GrpcLoop> loop_;
  std::unique_ptr<rpc::GrpcChannelFactory> channels_;
  config::GatewayConfig config_;
  std::shared_ptr<nodes::TableCatalog> tables_ = std::make_shared<nodes::TableCatalog>();
  MemoryRecorder recorder_;
  std::vector<std::unique_ptr<service::NodeService>> nodes_;
  std::unique_ptr<service::GatewayService> gateway_;
  std::unique_ptr<Client> client_;
  std::shared_ptr<flightsql::CallCanceller> cancel_ = std::make_shared<flightsql::CallCanceller>();
  std::mutex mutex_;
  audit::Records records_;
};

}  // namespace sablelink::test
