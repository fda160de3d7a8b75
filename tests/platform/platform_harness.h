// Fixture of a gateway's HTTP server, request dispatcher and engine client, with scripted engines and
// clients, on a virtual clock and simulated streams.
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

#include "base/async_event.h"
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

/// Returns a valid X-Request-Id, unique for each number.
inline std::string make_request_id(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", number);
  return id;
}

/// Connects an actor through the simulated network.
class SimulatedDialer : public rpc::Dialer {
 public:
  SimulatedDialer(sim::World& world, sim::Streams& streams, std::shared_ptr<sim::Actor> from)
      : world_(world), streams_(streams), actor_(std::move(from)) {}
  boost::asio::any_io_executor executor() const override { return world_.executor(); }
  rpc::Awaitable<rpc::ConnectResult> connect(std::string address, TimeUs timeout_us) override {
    return streams_.connect(actor_, std::move(address), timeout_us);
  }

 private:
  sim::World& world_;
  sim::Streams& streams_;
  const std::shared_ptr<sim::Actor> actor_;
};

/// A scripted engine's handling of a request.
struct ScriptedResponse {
  std::string bytes;
  TimeUs delay_us = 0;
  bool closes_connection = false;  // after the bytes
  bool is_withheld = false;        // no response is sent, and the connection stays open
  std::string trailing_bytes{};    // sent 2 ms after the response
  bool is_unread = false;          // the request is not recorded, as if it had been lost in transit
  bool ends_stream = false;        // nothing is sent on the connection after the bytes
};

/// An engine that follows the protocol unless its script returns another response to a request.
class ScriptedEngine {
 public:
  struct ReceivedRequest {
    TimeUs received_at = 0;
    int connection_number = 0;  // counted from 1
    http::Request request;
    std::string method_and_target() const { return request.method + " " + request.target; }
  };

  ScriptedEngine(sim::World& world, sim::Streams& streams, std::string address)
      : world_(world), actor_(sim::Actor::make(world, "node/" + address)), address_(std::move(address)) {
    listen(streams);
  }

  /// Accepts connections, again after Streams::unlisten().
  void listen(sim::Streams& streams) {
    streams.listen(address_, actor_,
                   [this](std::shared_ptr<rpc::ByteStream> s) { return serve(std::move(s)); });
  }

  TimeUs execution_time_us = 100'000;
  std::vector<std::string> result_pages = {"a\t1\tx\n"};
  std::function<std::optional<ScriptedResponse>(const ReceivedRequest& received)> script;
  std::vector<ReceivedRequest> received_requests;

  const std::string& address() const { return address_; }
  /// The number of requests whose method and target start with `prefix`.
  size_t request_count(std::string_view prefix) const {
    size_t n = 0;
    for (const ReceivedRequest& received : received_requests)
      n += received.method_and_target().starts_with(prefix);
    return n;
  }
  const ReceivedRequest* first_request(std::string_view prefix) const {
    for (const ReceivedRequest& received : received_requests)
      if (received.method_and_target().starts_with(prefix)) return &received;
    return nullptr;
  }
  int connection_count() const { return connection_count_; }
  /// Executes the statement of a start to which the script responds, so that later calls find its result.
  void execute(const ReceivedRequest& start) {
    const std::string ticket(http::field_value(start.request.fields, "x-ticket"));
    completion_times_by_ticket_[ticket] = start.received_at + execution_time_us;
  }
  /// The response with one page of the result. Page 0 also reports the successful completion of the query.
  std::string page_response(size_t page) const {
    http::Fields fields = {{"Page-No", std::to_string(page)}};
    if (page == 0)
      fields = {{"Page-Count", std::to_string(result_pages.size())},
                {"Work-Ms", "90"},
                {"Peak-Mb", "12"},
                {"X-Meter", "concurrent:3;x0:0.5"}};
    return http::serialize_response(200, fields, result_pages[page], true);
  }

 private:
  ScriptedResponse protocol_response(const ReceivedRequest& received) {
    const std::string& target = received.request.target;
    std::string ticket(http::field_value(received.request.fields, "x-ticket"));
    std::string page = "0";
    if (received.request.method != "POST") {
      const size_t slash = target.rfind('/');
      ticket = received.request.method == "GET" ? target.substr(6, slash - 6) : target.substr(6);
      page = target.substr(slash + 1);
    }
    if (received.request.method == "POST") execute(received);
    if (received.request.method == "DELETE") {
      completion_times_by_ticket_.erase(ticket);
      return {http::serialize_response(204, {}, "", true)};
    }
    const auto it = completion_times_by_ticket_.find(ticket);
    if (it == completion_times_by_ticket_.end()) return {http::serialize_response(500, {}, "", true)};
    if (page != "0") return {page_response(std::stoul(page))};
    const TimeUs remaining = it->second - received.received_at;
    if (remaining <= kLongPollTimeoutUs) return {page_response(0), std::max<TimeUs>(remaining, 0)};
    return {http::serialize_response(202, {{"X-Remark", "done"}, {"Figure", "0.2"}}, "", true),
            kLongPollTimeoutUs};
  }

  rpc::Awaitable<void> serve(std::shared_ptr<rpc::ByteStream> stream) {
    const int connection_number = ++connection_count_;
    http::RequestReader reader{http::MessageLimits{}};
    for (;;) {
      const std::optional<std::string> bytes = co_await stream->read(4096);
      if (!bytes || bytes->empty()) co_return;
      for (auto state = reader.feed(*bytes); state != http::ParseStatus::kNeedMore; state = reader.feed({})) {
        EXPECT_EQ(state, http::ParseStatus::kComplete)
            << "an engine received a malformed request: " << reader.error();
        if (state == http::ParseStatus::kMalformed) co_return;
        ReceivedRequest received{world_.now(), connection_number, reader.take_message()};
        const bool stays_open = co_await respond(*stream, std::move(received));
        if (!stays_open) co_return;
      }
    }
  }

  // Returns false if the connection has been closed.
  rpc::Awaitable<bool> respond(rpc::ByteStream& stream, ReceivedRequest received) {
    received_requests.push_back(received);
    std::optional<ScriptedResponse> response = script ? script(received) : std::nullopt;
    if (!response) response = protocol_response(received);
    if (response->is_unread) received_requests.pop_back();
    if (response->is_withheld) co_return true;
    if (response->delay_us > 0) co_await sleep_for(*actor_, response->delay_us);
    if (!response->bytes.empty()) co_await rpc::write_all(stream, response->bytes);
    if (!response->trailing_bytes.empty()) {
      co_await sleep_for(*actor_, 2 * kMs);
      co_await rpc::write_all(stream, response->trailing_bytes);
    }
    if (response->ends_stream) stream.shutdown_write();
    if (response->closes_connection) stream.close();
    co_return !response->closes_connection;
  }

  static constexpr TimeUs kLongPollTimeoutUs = 250'000;

  sim::World& world_;
  const std::shared_ptr<sim::Actor> actor_;
  const std::string address_;
  std::map<std::string, TimeUs> completion_times_by_ticket_;
  int connection_count_ = 0;
};

/// Counts log records by event.
class CountingLog : public Log {
 public:
  void write(LogLevel, std::string_view event, LogFields) override { ++counts_[std::string(event)]; }
  bool is_enabled(LogLevel level) const override { return level != LogLevel::kDebug; }
  size_t count(const std::string& event) const {
    const auto it = counts_.find(event);
    return it == counts_.end() ? 0 : it->second;
  }

 private:
  std::map<std::string, size_t> counts_;
};

/// One gateway of the platform with its scripted engines and clients.
class PlatformFixture {
 public:
  explicit PlatformFixture(size_t max_client_connections = 20, size_t max_engine_connections = 40,
                           uint64_t seed = 7, size_t request_memory_bytes = 4 << 20,
                           size_t result_memory_bytes = 4 << 20)
      : world_(seed, event_log_),
        memory_(std::make_shared<platform::MemoryBudget>(request_memory_bytes)),
        result_memory_(std::make_shared<platform::MemoryBudget>(result_memory_bytes)) {
    settings_.max_attempts = 6;
    options_.class_names = {"lookup", "report"};
    options_.tenant_names = {"north", "south"};
    for (const ClassSettings& cls : settings_.classes)
      options_.max_timeout_us.push_back(cls.request_timeout_us);
    options_.max_connections = max_client_connections;
    platform::EngineClientOptions engine_options;
    engine_options.budget.engines = max_engine_connections;
    engine_options.class_names = options_.class_names;
    engine_options.memory = memory_;
    engine_options.result_memory = result_memory_;
    engine_client_ =
        std::make_unique<platform::EngineClient>(engine_options, dialer_, *actor_, endpoint_registry_, log_);
    dispatcher_ = std::make_unique<dispatch::RequestDispatcher>(
        settings_, 7, dispatch::DispatcherLimits{}, *actor_, *engine_client_, endpoint_source_, log_);
    engine_client_->set_dispatcher(dispatcher_.get());
    http_server_ = std::make_unique<platform::HttpServer>(options_, memory_, *dispatcher_, dialer_, *actor_);
    streams_.listen("gateway", actor_,
                    [this](auto stream) { return http_server_->serve(std::move(stream)); });
    dispatcher_->start();
  }
  ~PlatformFixture() {
    http_server_.reset();
    engine_client_.reset();
    dispatcher_.reset();
    while (world_.step()) continue;  // lets waiting coroutines detect that their streams are closed
  }

  ScriptedEngine& add_engine() {
    const std::string address = "10.0.0." + std::to_string(engines_.size() + 1) + ":10080";
    engines_.push_back(std::make_unique<ScriptedEngine>(world_, streams_, address));
    return *engines_.back();
  }
  /// Publishes an endpoint list of all engines to the gateway. Engines that are not in `states` are ready.
  void publish_endpoints(const std::map<std::string, EndpointState>& states = {}) {
    std::vector<std::string> addresses;
    for (const auto& engine : engines_) addresses.push_back(engine->address());
    publish_addresses(addresses, states);
  }
  /// Like publish_endpoints(), for engines that the fixture doesn't own.
  void publish_addresses(const std::vector<std::string>& addresses,
                         const std::map<std::string, EndpointState>& states = {}) {
    std::vector<config::EngineConfig> list;
    for (const std::string& address : addresses) {
      config::EngineConfig entry;
      entry.address = address;
      entry.name = address;
      if (const auto it = states.find(entry.address); it != states.end()) entry.state = it->second;
      list.push_back(entry);
    }
    endpoint_registry_.replace(list);
    engine_client_->on_endpoints_changed();
    dispatcher_->on_endpoints_changed(EndpointUpdateKind::kFull, endpoint_registry_.endpoints());
  }
  EngineId engine_id(const ScriptedEngine& engine) const {
    for (const Endpoint& endpoint : endpoint_registry_.endpoints())
      if (endpoint_registry_.address(endpoint.engine) == engine.address()) return endpoint.engine;
    return 0;
  }

  /// Returns the bytes of a client's request.
  static std::string make_query(const std::string& id,
                                const std::string& statement = "SELECT 1 FROM sales_17.orders",
                                const std::string& class_name = "lookup",
                                const std::string& timeout_ms = "2000",
                                const http::Fields& more_fields = {}) {
    http::Fields fields = {{"X-Request-Id", id}, {"X-Timeout-Ms", timeout_ms}};
    fields.insert(fields.end(), more_fields.begin(), more_fields.end());
    return http::serialize_request("POST", "/v1/" + class_name, "service.internal", fields, statement);
  }

  struct ClientResponse {
    int status = -1;  // 0: the connection ended first; -1: no response in time
    http::Fields fields;
    std::string body;
    TimeUs elapsed_us = 0;
  };
  /// Sends the bytes on a new connection, reads `response_count` responses and returns the last one. The
  /// client disconnects after `timeout_us`.
  std::shared_ptr<ClientResponse> send(std::string bytes, TimeUs timeout_us = 20'000'000,
                                       int response_count = 1) {
    auto out = std::make_shared<ClientResponse>();
    boost::asio::co_spawn(world_.executor(), exchange(std::move(bytes), out, timeout_us, response_count),
                          boost::asio::detached);
    return out;
  }
  void run_for(TimeUs time) {
    world_.settle();
    world_.run_until(world_.now() + time);
  }

  sim::World& world() { return world_; }
  sim::Streams& streams() { return streams_; }
  platform::EngineClient& engine_client() { return *engine_client_; }
  const platform::MemoryBudget& memory() const { return *memory_; }
  const platform::MemoryBudget& result_memory() const { return *result_memory_; }
  platform::HttpServer& http_server() { return *http_server_; }
  dispatch::RequestDispatcher& dispatcher() { return *dispatcher_; }
  const CountingLog& log() const { return log_; }

 private:
  struct StaticEndpointSource : dispatch::EndpointSource {
    void watch(bool) override {}
    void fetch() override {}
  };

  rpc::Awaitable<void> exchange(std::string bytes, std::shared_ptr<ClientResponse> out, TimeUs timeout_us,
                                int response_count) {
    const TimeUs started_at = world_.now();
    const rpc::ConnectResult connected = co_await streams_.connect(client_, "gateway", 1'000'000);
    const std::shared_ptr<rpc::ByteStream> stream = connected.stream;
    if (!stream) co_return;
    client_->call_after(timeout_us, [weak = std::weak_ptr<rpc::ByteStream>(stream)] {
      if (const auto s = weak.lock()) s->close();
    });
    const bool sent = co_await rpc::write_all(*stream, std::move(bytes));
    http::ResponseReader reader{http::MessageLimits{}};
    for (auto state = http::ParseStatus::kNeedMore; sent && state == http::ParseStatus::kNeedMore;) {
      const std::optional<std::string> piece = co_await stream->read(4096);
      if (!piece || piece->empty()) break;
      state = reader.feed(*piece);
      while (state == http::ParseStatus::kComplete) {
        http::Response response = reader.take_message();
        *out = {response.status, std::move(response.fields), std::move(response.body),
                world_.now() - started_at};
        if (--response_count == 0) co_return;
        out->status = -1;
        state = reader.feed({});
      }
    }
    out->elapsed_us = world_.now() - started_at;
    if (out->elapsed_us < timeout_us) out->status = 0;
  }

  sim::EventLog event_log_;
  sim::World world_;
  sim::Streams streams_{world_, {}};
  std::shared_ptr<sim::Actor> actor_ = sim::Actor::make(world_, "gateway");
  std::shared_ptr<sim::Actor> client_ = sim::Actor::make(world_, "client");
  SimulatedDialer dialer_{world_, streams_, actor_};
  const std::shared_ptr<platform::MemoryBudget> memory_;
  const std::shared_ptr<platform::MemoryBudget> result_memory_;
  CountingLog log_;
  StaticEndpointSource endpoint_source_;
  Settings settings_ = plain_settings();
  platform::HttpServerOptions options_;
  membership::EndpointRegistry endpoint_registry_;
  std::unique_ptr<platform::EngineClient> engine_client_;
  std::unique_ptr<dispatch::RequestDispatcher> dispatcher_;
  std::unique_ptr<platform::HttpServer> http_server_;
  std::vector<std::unique_ptr<ScriptedEngine>> engines_;
};

}  // namespace sablelink::test
