// Parts of a Flight SQL gateway, connected to each other on one executor and clock, without sockets.
// GatewayService runs them on gRPC, the simulation on a virtual network.
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

/// Random seeds of one incarnation of a gateway, drawn when it starts.
struct GatewaySeeds {
  uint64_t incarnation = 0;  // part of the prefix that identifies this gateway's requests to engines
  uint64_t workload_manager = 0;
  flightsql::FlightSqlServerSeeds server;

  static GatewaySeeds draw(const std::function<uint64_t()>& random);
};

/// Creates the dispatcher of a gateway. The arguments are those of RequestDispatcher's constructor.
using DispatcherFactory = std::function<std::unique_ptr<dispatch::RequestDispatcher>(
    const Settings& settings, uint64_t seed, const dispatch::DispatcherLimits& limits, Clock& clock,
    dispatch::EngineTransport& transport, dispatch::EndpointSource& endpoint_source, Log& log)>;

/// Creates a transport that forwards calls to the given one.
using TransportDecorator =
    std::function<std::unique_ptr<dispatch::EngineTransport>(dispatch::EngineTransport& inner)>;

/// External dependencies of a gateway. The references must outlive it.
struct GatewayDependencies {
  boost::asio::any_io_executor executor;  // a strand
  Clock& clock;
  rpc::ChannelFactory& channels;
  Log& log;
  TransportDecorator decorate_transport{};  // for tests that inject defects; may be empty
  DispatcherFactory make_dispatcher{};      // for tests that inject defects; empty: uses RequestDispatcher
};

/// Owns the parts of a gateway. Must be used on its executor only.
class GatewayCore {
 public:
  GatewayCore(const config::GatewayConfig& config, const GatewaySeeds& seeds,
              const GatewayDependencies& dependencies);
  /// Requires that every call passed to handle() has ended and that cancel_attempts() has returned true.
  ~GatewayCore();
  GatewayCore(const GatewayCore&) = delete;
  GatewayCore& operator=(const GatewayCore&) = delete;

  /// Starts the dispatcher, with the engines of the configuration as cached endpoints.
  void start();
  /// Handles one call of a client.
  rpc::Awaitable<void> handle(std::shared_ptr<rpc::ServerCall> call) {
    return server_->handle(std::move(call));
  }
  /// Replaces the endpoint list. A removed engine is missing from the list or marked as removed.
  void update_endpoints(const std::vector<config::EngineConfig>& engines,
                        EndpointUpdateKind kind = EndpointUpdateKind::kFull);
  /// Replaces the selectors. Applies to requests that are submitted from now on.
  void set_selectors(config::SelectorSettings selectors) { server_->set_selectors(std::move(selectors)); }
  /// Rejects new requests. Calls on_idle once, when no request is open.
  void stop_accepting(std::function<void()> on_idle) { dispatcher_->stop_accepting(std::move(on_idle)); }
  /// Cancels all attempts. Returns whether all their coroutines have ended; if not, it must be called again
  /// after the executor has run.
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
