#include "service/node_service.h"

#include <boost/asio/post.hpp>
#include <future>
#include <utility>

namespace sablelink::service {

NodeService::NodeService(nodes::NodeConfig config, const System& system, Threads& threads,
                         nodes::Recorder* recorder)
    : strand_(threads.strand()), clock_(system, strand_) {
  rpc::GrpcServerOptions options;
  options.address = config.listen;
  node_ = std::make_unique<nodes::StandIn>(std::move(config), clock_, recorder);
  server_ = std::make_unique<rpc::GrpcServer>(
      options, strand_,
      [this](std::shared_ptr<rpc::ServerCall> call) { return node_->handle(std::move(call)); }, system.wall);
}

NodeService::~NodeService() {
  if (server_) server_->shutdown(0);
  std::promise<void> done;
  boost::asio::post(strand_, [&] {
    node_.reset();
    done.set_value();
  });
  done.get_future().wait();
}

void NodeService::stop(TimeUs grace) {
  inspect([](nodes::StandIn& node) { node.drain(); });
  server_->shutdown(grace);
}

void NodeService::inspect(const std::function<void(nodes::StandIn&)>& fn) {
  std::promise<void> done;
  boost::asio::post(strand_, [&] {
    fn(*node_);
    done.set_value();
  });
  done.get_future().wait();
}

}  // namespace sablelink::service
