// Runs a Flight SQL gateway in a process: the gateway's parts on one event loop, with start, reload and
// graceful shutdown.
#pragma once

#include <functional>
#include <memory>

#include "base/log.h"
#include "config/gateway_config.h"
#include "rpc/grpc_client.h"
#include "rpc/grpc_server.h"
#include "service/gateway_core.h"
#include "service/system.h"

namespace sablelink::service {

/// Owns a gateway, its event loop and the loop's thread. Must be used from a single thread, not the loop's.
class GatewayService {
 public:
  /// Starts listening and serving. Throws rpc::ListenError.
  GatewayService(config::GatewayConfig config, const System& system);
  /// Aborts the remaining calls and attempts.
  ~GatewayService();

  int port() const { return server_->port(); }
  /// Applies the engines and selectors of a new configuration, asynchronously. Other changes need a restart.
  void reload(const config::GatewayConfig& config);
  /// Shuts down gracefully, once: rejects new requests, waits for open ones up to the grace period in
  /// microseconds, then closes the server. Blocks.
  void shut_down(TimeUs grace_us);
  /// Runs the function on the event loop and waits for its return. For tests and metrics.
  void inspect(
      const std::function<void(const dispatch::RequestDispatcher&, const flightsql::FlightSqlServer&)>& fn);

 private:
  std::unique_ptr<rpc::GrpcServer> start_server();
  bool wait_for_open_requests(TimeUs grace_us);
  void destroy_core();
  void log_column_lookups();

  const config::GatewayConfig config_;
  std::unique_ptr<Log> log_;
  rpc::GrpcLoop loop_;
  rpc::GrpcChannelFactory channels_;
  std::unique_ptr<GatewayCore> core_;
  std::unique_ptr<rpc::GrpcServer> server_;
};

}  // namespace sablelink::service
