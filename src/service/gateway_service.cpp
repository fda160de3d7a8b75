#include "service/gateway_service.h"

#include <future>
#include <thread>
#include <utility>

namespace sablelink::service {
namespace {

rpc::GrpcClientOptions client_options(const config::FlightSqlLimits& limits) {
  rpc::GrpcClientOptions options;
  options.max_message_bytes = static_cast<int>(limits.max_message_bytes);
  return options;
}

}  // namespace

GatewayService::GatewayService(config::GatewayConfig config, const System& system)
    : config_(std::move(config)),
      log_(make_json_log("gateway", config_.log_level)),
      loop_(system.wall, system.steady),
      channels_(client_options(config_.flight_sql), loop_),
      core_(std::make_unique<GatewayCore>(
          config_, GatewaySeeds::draw(system.random),
          GatewayPorts{loop_.executor(), loop_, channels_, *log_, nullptr, {}})) {
  loop_.post_and_wait([this] { core_->start(); });
  rpc::GrpcServerOptions options;
  options.address = config_.listen_address;
  options.max_message_bytes = static_cast<int>(config_.flight_sql.max_message_bytes);
  try {
    server_ = std::make_unique<rpc::GrpcServer>(
        options, loop_,
        [this](std::shared_ptr<rpc::ServerCall> call) { return core_->handle(std::move(call)); });
  } catch (const rpc::ListenError&) {
    unwind();
    throw;
  }
  log_->info("started", {{"name", config_.name},
                         {"listen", config_.listen_address},
                         {"port", std::to_string(server_->port())},
                         {"nodes", std::to_string(config_.engines.size())}});
}

// All that runs on the loop must have ended before what it uses goes.
GatewayService::~GatewayService() {
  server_->shutdown(0);
  unwind();
}

void GatewayService::unwind() {
  for (bool quiet = false; !quiet;) {
    loop_.post_and_wait([&] { quiet = core_->quiesce(); });
    if (!quiet) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  loop_.post_and_wait([this] { core_.reset(); });
}

void GatewayService::reload(const config::GatewayConfig& config) {
  loop_.post([this, nodes = config.engines, selectors = config.selectors]() mutable {
    core_->set_selectors(std::move(selectors));
    core_->set_nodes(nodes);
    log_->info("list_taken", {{"nodes", std::to_string(nodes.size())}});
  });
}

void GatewayService::stop(TimeUs grace) {
  const auto idle = std::make_shared<std::promise<void>>();
  std::future<void> ended = idle->get_future();
  loop_.post([this, idle] {
    log_->info("stopping", {{"open", std::to_string(core_->dispatcher().open_requests())}});
    core_->stop([idle] { idle->set_value(); });
  });
  const bool all = ended.wait_for(std::chrono::microseconds(grace)) == std::future_status::ready;
  constexpr TimeUs kFlushUs = 500'000;  // for answers that are still on their way out
  server_->shutdown(all ? kFlushUs : 0);
  inspect([this](const dispatch::RequestDispatcher&, const flightsql::FlightSqlServer& front) {
    const schemas::SchemaCache::Counts& known = front.columns().store().counts();
    const schemas::PlanningCoordinator::Counts& plans = front.columns().planning().counts();
    log_->info("columns", {{"asked", std::to_string(plans.lookups)},
                           {"known", std::to_string(known.hits)},
                           {"unknown", std::to_string(known.misses)},
                           {"plans", std::to_string(plans.calls)},
                           {"shared", std::to_string(plans.shared)},
                           {"over_budget", std::to_string(plans.over_budget)},
                           {"too_many", std::to_string(plans.over_capacity)},
                           {"learned", std::to_string(known.inserted)},
                           {"changed", std::to_string(front.columns().changed())}});
  });
  log_->info("stopped", {{"all_ended", all ? "true" : "false"}});
}

void GatewayService::inspect(
    const std::function<void(const dispatch::RequestDispatcher&, const flightsql::FlightSqlServer&)>& fn) {
  loop_.post_and_wait([&] { fn(core_->dispatcher(), core_->front()); });
}

}  // namespace sablelink::service
