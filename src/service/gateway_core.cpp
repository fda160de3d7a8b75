#include "service/gateway_core.h"

#include <boost/asio/post.hpp>
#include <cstdio>
#include <string>
#include <utility>

namespace sablelink::service {
namespace {

std::string hex(uint64_t value) {
  char text[sizeof("0123456789abcdef")];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
  return text;
}

flightsql::FlightSqlEngineClientOptions engine_client_options(const config::GatewayConfig& config,
                                                              uint64_t incarnation) {
  flightsql::FlightSqlEngineClientOptions options;
  options.request_name_prefix = config.name + "/" + hex(incarnation);
  options.connect_timeout_us = config.flight_sql.connect_timeout_us;
  options.connections_per_node = config.flight_sql.connections_per_engine;
  return options;
}

RegistryEndpointSource::Scheduler post_to(boost::asio::any_io_executor executor) {
  return [executor = std::move(executor)](std::function<void()> callback) {
    boost::asio::post(executor, std::move(callback));
  };
}

}  // namespace

// The order of the draws must not change: simulation results for a given seed depend on it.
GatewaySeeds GatewaySeeds::draw(const std::function<uint64_t()>& random) {
  GatewaySeeds seeds;
  seeds.incarnation = random();
  seeds.workload_manager = random();
  seeds.server.incarnation = random();
  seeds.server.ticket_secret = random();
  seeds.server.handle_seed = random();
  return seeds;
}

GatewayCore::GatewayCore(const config::GatewayConfig& config, const GatewaySeeds& seeds,
                         const GatewayDependencies& dependencies)
    : configured_engines_(config.engines),
      engine_client_(engine_client_options(config, seeds.incarnation), dependencies.executor,
                     dependencies.channels,
                     [this](EngineId engine) { return endpoint_registry_.address(engine); }),
      endpoint_source_(endpoint_registry_, post_to(dependencies.executor)),
      dispatcher_(make_dispatcher(config, seeds.workload_manager, dependencies)),
      server_(std::make_unique<flightsql::FlightSqlServer>(config, seeds.server, *dispatcher_,
                                                           dependencies.clock, dependencies.log)) {
  endpoint_source_.set_dispatcher(dispatcher_.get());
  engine_client_.set_dispatcher(dispatcher_.get());
}

GatewayCore::~GatewayCore() = default;

std::unique_ptr<dispatch::RequestDispatcher> GatewayCore::make_dispatcher(
    const config::GatewayConfig& config, uint64_t seed, const GatewayDependencies& dependencies) {
  dispatch::EngineTransport* transport = &engine_client_;
  if (dependencies.decorate_transport) {
    decorated_transport_ = dependencies.decorate_transport(engine_client_);
    transport = decorated_transport_.get();
  }
  if (dependencies.make_dispatcher) {
    return dependencies.make_dispatcher(config.settings, seed, config.dispatcher, dependencies.clock,
                                        *transport, endpoint_source_, dependencies.log);
  }
  return std::make_unique<dispatch::RequestDispatcher>(config.settings, seed, config.dispatcher,
                                                       dependencies.clock, *transport, endpoint_source_,
                                                       dependencies.log);
}

void GatewayCore::start() {
  endpoint_registry_.replace(configured_engines_);
  dispatcher_->start();
  dispatcher_->on_endpoints_changed(EndpointUpdateKind::kCached, endpoint_registry_.endpoints());
}

void GatewayCore::update_endpoints(const std::vector<config::EngineConfig>& engines,
                                   EndpointUpdateKind kind) {
  endpoint_registry_.replace(engines);
  dispatcher_->on_endpoints_changed(kind, endpoint_registry_.endpoints());
}

bool GatewayCore::cancel_attempts() {
  engine_client_.cancel_all();
  return engine_client_.active_coroutines() == 0;
}

}  // namespace sablelink::service
