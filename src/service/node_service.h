// One stand-in node as a process runs it.
#pragma once

#include <memory>

#include "nodes/stand_in.h"
#include "rpc/grpc_server.h"
#include "service/runtime.h"

namespace sablelink::service {

class NodeService {
 public:
  // Listens and serves at once; the recorder may be none. Throws rpc::ListenError.
  NodeService(nodes::NodeConfig config, const System& system, nodes::Recorder* recorder,
              std::shared_ptr<nodes::Tables> tables = nullptr);
  ~NodeService();

  int port() const { return server_->port(); }
  // Breaks everything off at once, as a killed process would.
  void kill() { server_->shutdown(0); }
  // Admits nothing new and waits for what runs, at most for the grace. Blocks.
  void stop(TimeUs grace);
  // Runs fn on the node's loop and waits for it.
  void inspect(const std::function<void(nodes::StandIn&)>& fn);

 private:
  rpc::GrpcLoop loop_;
  std::unique_ptr<nodes::StandIn> node_;
  std::unique_ptr<rpc::GrpcServer> server_;
};

}  // namespace sablelink::service
