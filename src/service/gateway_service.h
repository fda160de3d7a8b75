// One gateway as a process runs it: its parts put together on one loop, with their start, reload and end.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "config/gateway_config.h"
#include "rpc/grpc_client.h"
#include "rpc/grpc_server.h"
#include "service/gateway_core.h"
#include "service/runtime.h"

namespace sablelink::service {

// Made, reloaded and stopped from outside its loop, which is its own.
class GatewayService {
 public:
  // Listens and serves at once. Throws rpc::ListenError.
  GatewayService(config::GatewayConfig config, const System& system);
  ~GatewayService();  // breaks off whatever is left

  int port() const { return server_->port(); }
  // Takes the nodes, selectors and tables of a new configuration over; other changes need a restart. The old
  // nodes stay in force until then.
  void reload(const config::GatewayConfig& config);
  // Refuses new requests, waits for those that are held, at most for the grace, then ends the service.
  // Blocks.
  void stop(TimeUs grace);
  // Runs fn on the loop and waits for it; for tests and metrics.
  void inspect(
      const std::function<void(const dispatch::RequestDispatcher&, const flightsql::FlightSqlServer&)>& fn);

 private:
  void unwind();  // waits until nothing of the core runs any more, and ends it

  const config::GatewayConfig config_;
  std::unique_ptr<Log> log_;
  rpc::GrpcLoop loop_;
  rpc::GrpcChannelFactory channels_;
  std::unique_ptr<GatewayCore> core_;
  std::unique_ptr<rpc::GrpcServer> server_;
};

}  // namespace sablelink::service
