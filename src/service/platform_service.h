// A gateway on the users' platform: dispatcher, front, node client and change log put together on one loop,
// with their start, reload and end.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "dispatch/request_dispatcher.h"
#include "membership/endpoint_registry.h"
#include "platform/config.h"
#include "platform/endpoints/endpoint_watcher.h"
#include "platform/engine_client/engine_client.h"
#include "platform/http_server.h"
#include "rpc/asio_loop.h"
#include "rpc/tcp_transport.h"
#include "service/runtime.h"

namespace sablelink::service {

class PlatformService {
 public:
  // Listens at once; serves in run(). Throws rpc::AddressError or rpc::ListenError where the address can't be
  // had.
  PlatformService(platform::PlatformConfig config, const System& system);
  ~PlatformService();

  // Serves until stop() has done its work; the calling thread is the loop's.
  void run() { loop_.run(); }
  rpc::AsioLoop& loop() { return loop_; }
  int port() const { return port_; }

  // On the loop: takes the change log's address of a new configuration over.
  void reload(const platform::PlatformConfig& config);
  // On the loop: begins to drain. What is held and what clients still send for a while is answered, then
  // run() ends; at the latest shortly before the platform's SIGKILL. Further calls change nothing.
  void stop();

  const dispatch::RequestDispatcher& dispatcher() const { return *dispatcher_; }
  const platform::HttpServer& front() const { return *front_; }
  const platform::EngineClient& nodes() const { return *nodes_; }

 private:
  class Lists;

  void told(const std::vector<config::EngineConfig>& nodes);
  void stop_taking();
  void end_when_quiet();

  const platform::PlatformConfig config_;
  std::unique_ptr<Log> log_;
  rpc::AsioLoop loop_;
  std::unique_ptr<rpc::TcpTransport> net_;
  membership::EndpointRegistry directory_;
  std::unique_ptr<Lists> lists_;
  std::unique_ptr<platform::EngineClient> nodes_;
  std::unique_ptr<dispatch::RequestDispatcher> dispatcher_;
  std::unique_ptr<platform::HttpServer> front_;
  std::unique_ptr<platform::EndpointWatcher> changes_;
  int port_ = 0;
  bool started_ = false, stopping_ = false;
  TimeUs end_by_ = 0;  // of the drain
};

}  // namespace sablelink::service
