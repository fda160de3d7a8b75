// A Flight SQL gateway without sockets: its parts, wired together on one executor and clock. GatewayService
// runs it on gRPC, the simulation on a virtual network.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "config/gateway_config.h"
#include "dispatch/request_dispatcher.h"
#include "flightsql/engine_client.h"
#include "flightsql/flight_sql_server.h"
#include "membership/endpoint_registry.h"
#include "rpc/rpc.h"
#include "service/registry_endpoint_source.h"

namespace sablelink::service {

/// Random numbers of one incarnation of a gateway, drawn when it starts.
struct GatewaySeeds {
  uint64_t incarnation = 0;  // part of the names by which engines know this gateway's requests
  uint64_t workload_manager = 0;
  flightsql::FlightSqlServerSeeds server;

  static GatewaySeeds draw(const std::function<uint64_t()>& random);
};

/// Makes the dispatcher of a gateway; arguments as of RequestDispatcher's constructor.
using DispatcherFactory = std::function<std::unique_ptr<dispatch::RequestDispatcher>(
    const Settings& settings, uint64_t seed, const dispatch::DispatcherLimits& limits, Clock& clock,
    dispatch::EngineTransport& transport, dispatch::EndpointSource& endpoint_source, Log& log)>;

/// Makes a transport that passes calls on to the given one.
using TransportDecorator =
    std::function<std::unique_ptr<dispatch::EngineTransport>(dispatch::EngineTransport& inner)>;

/// What a gateway runs on. The references must outlive it.
struct GatewayDependencies {
  boost::asio::any_io_executor executor;  // a strand
  Clock& clock;
  rpc::ChannelFactory& channels;
  Log& log;
  TransportDecorator decorate_transport{};  // of tests that plant defects; empty: none
  DispatcherFactory make_dispatcher{};      // of tests that plant defects; empty: a plain RequestDispatcher
};

/// Owns the parts of a gateway. Belongs to its executor.
class GatewayCore {
 public:
  GatewayCore(const config::GatewayConfig& config, const GatewaySeeds& seeds,
              const GatewayDependencies& dependencies);
  /// Every call passed to handle() must have ended, and cancel_attempts() must have returned true.
  ~GatewayCore();
  GatewayCore(const GatewayCore&) = delete;
  GatewayCore& operator=(const GatewayCore&) = delete;

  /// Starts the dispatcher, with the engines of the configuration as cached endpoints.
  void start();
  /// Serves one call of a client.
  rpc::Awaitable<void> handle(std::shared_ptr<rpc::ServerCall> call) {
    return server_->handle(std::move(call));
  }
  /// Replaces the endpoint list. An engine that has left is missing from it or marked as removed.
  void update_endpoints(const std::vector<config::EngineConfig>& engines,
                        EndpointUpdateKind kind = EndpointUpdateKind::kFull);
  /// Replaces the selectors, for requests that are submitted from now on.
  void set_selectors(config::SelectorSettings selectors) { server_->set_selectors(std::move(selectors)); }
  /// Rejects new requests; on_idle is called once, when no request is open.
  void stop_accepting(std::function<void()> on_idle) { dispatcher_->stop_accepting(std::move(on_idle)); }
  /// Cancels all attempts. Returns whether all their coroutines have ended; if not, it is to be called again
  /// once the executor has run.
  bool cancel_attempts();

  const dispatch::RequestDispatcher& dispatcher() const { return *dispatcher_; }
  const flightsql::FlightSqlServer& server() const { return *server_; }
  const flightsql::FlightSqlEngineClient& engine_client() const { return engine_client_; }

 private:
  std::unique_ptr<dispatch::RequestDispatcher> make_dispatcher(const config::GatewayConfig& config,
                                                               uint64_t seed,
                                                               const GatewayDependencies& dependencies);

  const std::vector<config::EngineConfig> configured_engines_;
  membership::EndpointRegistry endpoint_registry_;
  flightsql::FlightSqlEngineClient engine_client_;
  std::unique_ptr<dispatch::EngineTransport> decorated_transport_;  // null unless there is a decorator
  RegistryEndpointSource endpoint_source_;
  std::unique_ptr<dispatch::RequestDispatcher> dispatcher_;
  std::unique_ptr<flightsql::FlightSqlServer> server_;
};

}  // namespace sablelink::service
