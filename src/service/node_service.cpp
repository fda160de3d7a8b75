#include "service/node_service.h"

#include <utility>

namespace sablelink::service {

NodeService::NodeService(nodes::NodeConfig config, const System& system, nodes::Recorder* recorder,
                         std::shared_ptr<nodes::TableCatalog> tables)
    : loop_(system.wall, system.steady) {
  rpc::GrpcServerOptions options;
  options.address = config.listen;
  engine_ = std::make_unique<nodes::StandIn>(std::move(config), loop_, recorder, std::move(tables));
  server_ = std::make_unique<rpc::GrpcServer>(options, loop_, [this](std::shared_ptr<rpc::ServerCall> call) {
    return engine_->handle(std::move(call));
  });
}

NodeService::~NodeService() {
  server_->shutdown(0);
  loop_.post_and_wait([this] { engine_.reset(); });
}

void NodeService::shut_down(TimeUs grace_us) {
  inspect([](nodes::StandIn& engine) { engine.drain(); });
  server_->shutdown(grace_us);
}

void NodeService::inspect(const std::function<void(nodes::StandIn&)>& fn) {
  loop_.post_and_wait([&] { fn(*engine_); });
}

}  // namespace sablelink::service
