// The platform side on a virtual clock and simulated streams: a gateway's front, dispatcher and node client,
// with scripted nodes and clients.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/signal.h"
#include "dispatch/request_dispatcher.h"
#include "http/reader.h"
#include "membership/endpoint_registry.h"
#include "platform/engine_client/engine_client.h"
#include "platform/http_server.h"
#include "sim/streams.h"
#include "sim/world.h"
#include "tests/sim_harness.h"
#include "tests/workload/harness.h"

namespace sablelink::test {

inline std::string id_number(int n) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", n);
  return id;
}

class SimDialer : public rpc::Dialer {
 public:
  SimDialer(sim::World& world, sim::Streams& streams, std::shared_ptr<sim::Actor> from)
      : world_(world), streams_(streams), from_(std::move(from)) {}
  boost::asio::any_io_executor executor() const override { return world_.executor(); }
  rpc::Awaitable<std::shared_ptr<rpc::ByteStream>> connect(std::string address, TimeUs within,
                                                           rpc::ConnectEnd* end) override {
    return streams_.connect(from_, std::move(address), within, end);
  }

 private:
  sim::World& world_;
  sim::Streams& streams_;
  const std::shared_ptr<sim::Actor> from_;
};

// What a scripted node does with a call.
struct NodeReply {
  std::string bytes;
  TimeUs after = 0;
  bool breaks = false;  // the connection, after the bytes
  bool silent = false;  // nothing is answered, the connection stands
  std::string then{};   // comes 2 ms after the answer
  bool unread = false;  // the call hasn't reached the node
};

// A node that works off queries by the protocol, unless its script says otherwise for a call.
class ScriptedNode {
 public:
  struct Seen {
    TimeUs at = 0;
    int connection = 0;
    http::Request request;
    std::string call() const { return request.method + " " + request.target; }
  };

  ScriptedNode(sim::World& world, sim::Streams& streams, std::string address)
      : world_(world), actor_(sim::Actor::make(world, "node/" + address)), address_(std::move(address)) {
    streams.listen(address_, actor_,
                   [this](std::shared_ptr<rpc::ByteStream> s) { return serve(std::move(s)); });
  }

  TimeUs work_us = 100'000;
  std::vector<std::string> pages = {"a\t1\tx\n"};
  std::function<std::optional<NodeReply>(const Seen& seen)> script;
  std::vector<Seen> seen;

  const std::string& address() const { return address_; }
  size_t count(std::string_view call) const {
    size_t n = 0;
    for (const Seen& s : seen) n += s.call().starts_with(call);
    return n;
  }
  const Seen* first(std::string_view call) const {
    for (const Seen& s : seen)
      if (s.call().starts_with(call)) return &s;
    return nullptr;
  }
  int connections() const { return connections_; }
  // The good end of a query, or page `number`.
  std::string page(size_t number) const {
    http::Fields fields = {{"Page-No", std::to_string(number)}};
    if (number == 0)
      fields = {{"Page-Count", std::to_string(pages.size())},
                {"Work-Ms", "90"},
                {"Peak-Mb", "12"},
                {"X-Meter", "concurrent:3;x0:0.5"}};
    return http::write_response(200, fields, pages[number], true);
  }

 private:
  NodeReply usual(const Seen& s) {
    const std::string& target = s.request.target;
    std::string id(http::find(s.request.fields, "x-ticket"));
    std::string part = "0";
    if (s.request.method != "POST") {
      const size_t slash = target.rfind('/');
      id = s.request.method == "GET" ? target.substr(6, slash - 6) : target.substr(6);
      part = target.substr(slash + 1);
    }
    if (s.request.method == "POST") ends_[id] = s.at + work_us;
    if (s.request.method == "DELETE") {
      ends_.erase(id);
      return {http::write_response(204, {}, "", true)};
    }
    const auto it = ends_.find(id);
    if (it == ends_.end()) return {http::write_response(500, {}, "", true)};
    if (part != "0") return {page(std::stoul(part))};
    if (it->second - s.at <= 250'000) return {page(0), std::max<TimeUs>(it->second - s.at, 0)};
    return {http::write_response(202, {{"X-Remark", "done"}, {"Figure", "0.2"}}, "", true), 250'000};
  }

  rpc::Awaitable<void> serve(std::shared_ptr<rpc::ByteStream> stream) {
    const int number = ++connections_;
    http::RequestReader reader{http::ReadLimits{}};
    for (;;) {
      const std::optional<std::string> bytes = co_await stream->read(4096);
      if (!bytes || bytes->empty()) co_return;
      for (auto state = reader.feed(*bytes); state != http::ReadState::kMore; state = reader.feed({})) {
        EXPECT_EQ(state, http::ReadState::kDone) << "a node was sent what can't be read: " << reader.error();
        if (state == http::ReadState::kBad) co_return;
        Seen s{world_.now(), number, reader.take()};
        seen.push_back(s);
        std::optional<NodeReply> reply = script ? script(s) : std::nullopt;
        if (!reply) reply = usual(s);
        if (reply->unread) seen.pop_back();
        if (reply->silent) continue;
        if (reply->after > 0) co_await pause(*actor_, reply->after);
        if (!reply->bytes.empty()) co_await rpc::write_all(*stream, reply->bytes);
        if (!reply->then.empty()) {
          co_await pause(*actor_, 2 * kMs);
          co_await rpc::write_all(*stream, reply->then);
        }
        if (reply->breaks) {
          stream->close();
          co_return;
        }
      }
    }
  }

  sim::World& world_;
  const std::shared_ptr<sim::Actor> actor_;
  const std::string address_;
  std::map<std::string, TimeUs> ends_;
  int connections_ = 0;
};

// Counts records by event.
class CountingLog : public Log {
 public:
  void write(LogLevel, std::string_view event, LogFields) override { ++counts_[std::string(event)]; }
  bool wants(LogLevel level) const override { return level != LogLevel::kDebug; }
  size_t count(const std::string& event) const {
    const auto it = counts_.find(event);
    return it == counts_.end() ? 0 : it->second;
  }

 private:
  std::map<std::string, size_t> counts_;
};

class PlatformBench {
 public:
  explicit PlatformBench(size_t client_connections = 20, size_t node_connections = 40) {
    settings_.max_attempts = 6;
    options_.classes = {"lookup", "report"};
    options_.tenants = {"north", "south"};
    for (const ClassSettings& cls : settings_.classes)
      options_.max_timeout_us.push_back(cls.request_timeout_us);
    options_.max_connections = client_connections;
    platform::EngineClientOptions to_nodes;
    to_nodes.budget.engines = node_connections;
    to_nodes.class_names = options_.classes;
    nodes_ = std::make_unique<platform::EngineClient>(to_nodes, net_, *actor_, directory_);
    dispatcher_ = std::make_unique<dispatch::RequestDispatcher>(settings_, 7, dispatch::DispatcherLimits{},
                                                                *actor_, *nodes_, lists_, log_);
    nodes_->set_dispatcher(dispatcher_.get());
    front_ = std::make_unique<platform::HttpServer>(options_, *dispatcher_, net_, *actor_);
    streams_.listen("gateway", actor_, [this](auto stream) { return front_->serve(std::move(stream)); });
    dispatcher_->start();
  }
  ~PlatformBench() {
    front_.reset();
    nodes_.reset();
    dispatcher_.reset();
    while (world_.step()) continue;  // whoever still waits hears of its end
  }

  ScriptedNode& add_node() {
    const std::string address = "10.0.0." + std::to_string(scripted_.size() + 1) + ":10080";
    scripted_.push_back(std::make_unique<ScriptedNode>(world_, streams_, address));
    return *scripted_.back();
  }
  // Tells the gateway of all nodes, in the states given; those without one are ready.
  void tell(const std::map<std::string, EndpointState>& states = {}) {
    std::vector<config::EngineConfig> list;
    for (const auto& node : scripted_) {
      config::EngineConfig entry;
      entry.name = entry.address = node->address();
      if (const auto it = states.find(entry.address); it != states.end()) entry.state = it->second;
      list.push_back(entry);
    }
    directory_.replace(list);
    nodes_->on_endpoints_changed();
    dispatcher_->on_endpoints_changed(EndpointUpdateKind::kFull, directory_.endpoints());
  }
  EngineId id_of(const ScriptedNode& node) const {
    for (const Endpoint& e : directory_.endpoints())
      if (directory_.address(e.engine) == node.address()) return e.engine;
    return 0;
  }

  static std::string statement(const std::string& id,
                               const std::string& body = "SELECT 1 FROM sales_17.orders",
                               const std::string& cls = "lookup", const std::string& timeout = "2000",
                               const http::Fields& further = {}) {
    http::Fields fields = {{"X-Request-Id", id}, {"X-Timeout-Ms", timeout}};
    fields.insert(fields.end(), further.begin(), further.end());
    return http::write_request("POST", "/v1/" + cls, "service.internal", fields, body);
  }

  // Sends the bytes on a connection of its own and reads so many answers, of which the last counts; status 0
  // where the connection ended before they were whole, -1 where neither came within the time.
  struct Answer {
    int status = -1;
    http::Fields fields;
    std::string body;
    TimeUs took_us = 0;
  };
  rpc::Awaitable<void> ask(std::string bytes, std::shared_ptr<Answer> out, TimeUs patience, int answers) {
    const TimeUs from = world_.now();
    const auto stream = co_await streams_.connect(client_, "gateway", 1'000'000);
    if (!stream) co_return;
    client_->call_after(patience, [weak = std::weak_ptr<rpc::ByteStream>(stream)] {
      if (const auto s = weak.lock()) s->close();
    });
    const bool sent = co_await rpc::write_all(*stream, std::move(bytes));
    http::ResponseReader reader{http::ReadLimits{}};
    for (auto state = http::ReadState::kMore; sent && state == http::ReadState::kMore;) {
      const std::optional<std::string> piece = co_await stream->read(4096);
      if (!piece || piece->empty()) break;
      state = reader.feed(*piece);
      while (state == http::ReadState::kDone) {
        http::Response response = reader.take();
        *out = {response.status, std::move(response.fields), std::move(response.body), world_.now() - from};
        if (--answers == 0) co_return;
        out->status = -1;
        state = reader.feed({});
      }
    }
    out->took_us = world_.now() - from;
    if (out->took_us < patience) out->status = 0;
  }
  std::shared_ptr<Answer> start(std::string bytes, TimeUs patience = 20'000'000, int answers = 1) {
    const auto out = std::make_shared<Answer>();
    boost::asio::co_spawn(world_.executor(), ask(std::move(bytes), out, patience, answers),
                          boost::asio::detached);
    return out;
  }
  void run_for(TimeUs time) {
    world_.settle();
    world_.run_until(world_.now() + time);
  }

  sim::World& world() { return world_; }
  sim::Streams& streams() { return streams_; }
  platform::EngineClient& nodes() { return *nodes_; }
  platform::HttpServer& front() { return *front_; }
  dispatch::RequestDispatcher& dispatcher() { return *dispatcher_; }
  const CountingLog& log() const { return log_; }

 private:
  struct NoLists : dispatch::EndpointSource {
    void watch(bool) override {}
    void fetch() override {}
  };

  sim::Account account_;
  sim::World world_{7, account_};
  sim::Streams streams_{world_, {}};
  std::shared_ptr<sim::Actor> actor_ = sim::Actor::make(world_, "gateway");
  std::shared_ptr<sim::Actor> client_ = sim::Actor::make(world_, "client");
  SimDialer net_{world_, streams_, actor_};
  CountingLog log_;
  NoLists lists_;
  Settings settings_ = plain_settings();
  platform::HttpServerOptions options_;
  membership::EndpointRegistry directory_;
  std::unique_ptr<platform::EngineClient> nodes_;
  std::unique_ptr<dispatch::RequestDispatcher> dispatcher_;
  std::unique_ptr<platform::HttpServer> front_;
  std::vector<std::unique_ptr<ScriptedNode>> scripted_;
};

}  // namespace sablelink::test
