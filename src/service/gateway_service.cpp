#include "service/gateway_service.h"

#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <utility>

#include "service/json_log.h"

namespace sablelink::service {
namespace {

constexpr std::chrono::milliseconds kCancelPollInterval{1};
constexpr TimeUs kResponseFlushTimeoutUs = 500'000;  // for final responses that are still being written

rpc::GrpcClientOptions client_options(const config::FlightSqlLimits& limits) {
  rpc::GrpcClientOptions options;
  options.max_message_bytes = static_cast<int>(limits.max_message_bytes);
  return options;
}

}  // namespace

// ---- Start

GatewayService::GatewayService(config::GatewayConfig config, const System& system)
    : config_(std::move(config)),
      log_(make_json_log("gateway", config_.log_level)),
      loop_(system.wall, system.steady),
      channels_(client_options(config_.flight_sql), loop_),
      core_(std::make_unique<GatewayCore>(config_, GatewaySeeds::draw(system.random),
                                          GatewayDependencies{loop_.executor(), loop_, channels_, *log_})) {
  loop_.post_and_wait([this] { core_->start(); });
  try {
    server_ = start_server();
  } catch (const rpc::ListenError&) {
    destroy_core();
    throw;
  }
  log_->info("started", {{"name", config_.name},
                         {"listen", config_.listen_address},
                         {"port", std::to_string(server_->port())},
                         {"engines", std::to_string(config_.engines.size())}});
}

std::unique_ptr<rpc::GrpcServer> GatewayService::start_server() {
  rpc::GrpcServerOptions options;
  options.address = config_.listen_address;
  options.max_message_bytes = static_cast<int>(config_.flight_sql.max_message_bytes);
  return std::make_unique<rpc::GrpcServer>(options, loop_, [this](std::shared_ptr<rpc::ServerCall> call) {
    return core_->handle(std::move(call));
  });
}

// ---- Reload

void GatewayService::reload(const config::GatewayConfig& config) {
  loop_.post([this, engines = config.engines, selectors = config.selectors]() mutable {
    core_->set_selectors(std::move(selectors));
    core_->update_endpoints(engines);
    log_->info("endpoints_updated", {{"endpoints", std::to_string(engines.size())}});
  });
}

// ---- Graceful shutdown

void GatewayService::shut_down(TimeUs grace_us) {
  const bool all_completed = wait_for_open_requests(grace_us);
  server_->shutdown(all_completed ? kResponseFlushTimeoutUs : 0);
  log_column_lookups();
  log_->info("shutdown_completed", {{"all_requests_completed", all_completed ? "true" : "false"}});
}

// Rejects new requests from now on and waits for the open ones. Returns whether all of them were completed
// within the grace period.
bool GatewayService::wait_for_open_requests(TimeUs grace_us) {
  // Shared with the dispatcher's callback, which may be called after the grace period.
  const auto idle = std::make_shared<std::promise<void>>();
  std::future<void> idle_future = idle->get_future();
  loop_.post([this, idle] {
    log_->info("shutdown_started", {{"open_requests", std::to_string(core_->dispatcher().open_requests())}});
    core_->stop_accepting([idle] { idle->set_value(); });
  });
  return idle_future.wait_for(std::chrono::microseconds(grace_us)) == std::future_status::ready;
}

GatewayService::~GatewayService() {
  server_->shutdown(0);
  destroy_core();
}

// Coroutines on the loop use the core, so it isn't destroyed before all of them have ended.
void GatewayService::destroy_core() {
  bool all_ended = false;
  while (!all_ended) {
    loop_.post_and_wait([&] { all_ended = core_->cancel_attempts(); });
    if (!all_ended) std::this_thread::sleep_for(kCancelPollInterval);
  }
  loop_.post_and_wait([this] { core_.reset(); });
}

// ---- Metrics

void GatewayService::inspect(
    const std::function<void(const dispatch::RequestDispatcher&, const flightsql::FlightSqlServer&)>& fn) {
  loop_.post_and_wait([&] { fn(core_->dispatcher(), core_->server()); });
}

void GatewayService::log_column_lookups() {
  inspect([this](const dispatch::RequestDispatcher&, const flightsql::FlightSqlServer& server) {
    const schemas::SchemaCache::Counts& store = server.schema_resolver().cache().counts();
    const schemas::PlanningCoordinator::Counts& planning =
        server.schema_resolver().planning_coordinator().counts();
    log_->info("column_lookups",
               {{"requested", std::to_string(planning.lookups)},
                {"cache_hits", std::to_string(store.hits)},
                {"cache_misses", std::to_string(store.misses)},
                {"planning_calls", std::to_string(planning.calls)},
                {"planning_calls_shared", std::to_string(planning.shared)},
                {"over_budget", std::to_string(planning.over_budget)},
                {"over_concurrency_limit", std::to_string(planning.over_capacity)},
                {"learned", std::to_string(store.inserted)},
                {"schema_changes", std::to_string(server.schema_resolver().schema_change_count())}});
  });
}

}  // namespace sablelink::service
