// Runs a gateway of the users' platform in a process: the gateway's parts on one event loop, with start,
// reload and graceful shutdown.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "dispatch/request_dispatcher.h"
#include "membership/endpoint_registry.h"
#include "platform/config.h"
#include "platform/endpoints/endpoint_watcher.h"
#include "platform/engine_client/engine_client.h"
#include "platform/http_server.h"
#include "platform/memory_budget.h"
#include "rpc/asio_loop.h"
#include "rpc/tcp_transport.h"
#include "service/registry_endpoint_source.h"
#include "service/system.h"

namespace sablelink::service {

/// Owns a gateway and its event loop, which runs on the thread that calls run(). All other methods must be
/// called on that thread or before run().
///
/// Graceful shutdown, with times from platform::ShutdownSchedule:
/// 1. Draining: responses to health checks report the drain, connections are closed after their current
///    response, and requests are still accepted.
/// 2. At stop_accepting: the listener and idle connections are closed.
/// 3. At cancel_in_flight: open requests receive their final responses, and new requests are rejected.
/// 4. run() returns once no request is open and no client is connected, but not before step 2 and no later
///    than exit.
class PlatformService {
 public:
  /// Starts listening; run() serves. The level is one of make_json_log(). Throws rpc::AddressError or
  /// rpc::ListenError.
  PlatformService(platform::PlatformConfig config, const System& system, const std::string& log_level);
  ~PlatformService();

  /// Serves until the graceful shutdown is complete.
  void run() { loop_.run(); }
  rpc::AsioLoop& loop() { return loop_; }
  int port() const { return port_; }

  /// Switches the endpoint watcher to the address in a new configuration. Other changes need a restart.
  void reload(const platform::PlatformConfig& config);
  /// Starts the graceful shutdown. Further calls have no effect.
  void start_graceful_shutdown();

 private:
  void on_endpoints_changed(const std::vector<config::EngineConfig>& engines);

  void stop_accepting();
  void exit_when_idle();
  bool is_idle() const;
  void log_totals();
  // Logs the memory that requests use whenever its peak has grown by a further step.
  void log_memory_peak();

  const platform::PlatformConfig config_;
  std::unique_ptr<Log> log_;
  rpc::AsioLoop loop_;
  const std::shared_ptr<platform::MemoryBudget> request_memory_;
  const std::shared_ptr<platform::MemoryBudget> result_memory_;
  size_t logged_memory_peak_bytes_ = 0;
  std::unique_ptr<rpc::TcpTransport> network_;
  membership::EndpointRegistry endpoint_registry_;
  std::unique_ptr<RegistryEndpointSource> endpoint_source_;
  std::unique_ptr<platform::EngineClient> engine_client_;
  std::unique_ptr<dispatch::RequestDispatcher> dispatcher_;
  std::unique_ptr<platform::HttpServer> http_server_;
  std::unique_ptr<platform::EndpointWatcher> endpoint_watcher_;
  int port_ = 0;
  bool has_endpoints_ = false;
  bool is_shutting_down_ = false;
  TimeUs exit_at_ = 0;  // end of the graceful shutdown, on the loop's clock
};

}  // namespace sablelink::service
