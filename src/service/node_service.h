// Runs one emulated engine in a process.
#pragma once

#include <functional>
#include <memory>

#include "nodes/stand_in.h"
#include "rpc/grpc_server.h"
#include "service/system.h"

namespace sablelink::service {

/// Owns an emulated engine, its event loop and the loop's thread. Must be used from a single thread, not the
/// loop's.
class NodeService {
 public:
  /// Starts listening and serving. The recorder may be null; otherwise it must outlive the service. Throws
  /// rpc::ListenError.
  NodeService(nodes::NodeConfig config, const System& system, nodes::Recorder* recorder,
              std::shared_ptr<nodes::TableCatalog> tables = nullptr);
  ~NodeService();

  int port() const { return server_->port(); }
  /// Aborts all calls immediately, as if the process had been killed.
  void kill() { server_->shutdown(0); }
  /// Shuts down gracefully: admits no new queries and waits for running ones, up to the grace period in
  /// microseconds. Blocks.
  void shut_down(TimeUs grace_us);
  /// Runs the function on the engine's event loop and waits for its return.
  void inspect(const std::function<void(nodes::StandIn&)>& fn);

 private:
  rpc::GrpcLoop loop_;
  std::unique_ptr<nodes::StandIn> engine_;
  std::unique_ptr<rpc::GrpcServer> server_;
};

}  // namespace sablelink::service
