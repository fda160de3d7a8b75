#include "service/gateway_core.h"

#include <boost/asio/post.hpp>
#include <cstdio>
#include <string>
#include <utility>

namespace sablelink::service {
namespace {

std::string hex(uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
  return text;
}

}  // namespace

GatewaySeeds GatewaySeeds::draw(const std::function<uint64_t()>& random) {
  GatewaySeeds seeds;
  for (uint64_t* seed :
       {&seeds.start, &seeds.module, &seeds.front.life, &seeds.front.secret, &seeds.front.handles})
    *seed = random();
  return seeds;
}

// Answers with the whole list as it was told last.
class GatewayCore::Lists : public dispatch::EndpointSource {
 public:
  Lists(GatewayCore& core, boost::asio::any_io_executor executor)
      : core_(core), executor_(std::move(executor)) {}
  void watch(bool on) override {
    if (on) fetch();
  }
  void fetch() override {
    boost::asio::post(executor_, [this] {
      core_.dispatcher_->on_endpoints_changed(EndpointUpdateKind::kFull, core_.directory_.endpoints());
    });
  }

 private:
  GatewayCore& core_;
  boost::asio::any_io_executor executor_;
};

GatewayCore::GatewayCore(const config::GatewayConfig& config, const GatewaySeeds& seeds,
                         const GatewayPorts& ports)
    : first_nodes_(config.engines),
      nodes_({config.name + "/" + hex(seeds.start), config.flight_sql.connect_timeout_us,
              config.flight_sql.connections_per_engine},
             ports.executor, ports.channels, [this](EngineId id) { return directory_.address(id); }) {
  if (ports.wrap_nodes) wrapped_ = ports.wrap_nodes(nodes_);
  dispatch::EndpointSource* lists = ports.lists;
  if (lists == nullptr) {
    lists_ = std::make_unique<Lists>(*this, ports.executor);
    lists = lists_.get();
  }
  dispatch::EngineTransport& transport = wrapped_ ? *wrapped_ : nodes_;
  dispatcher_ =
      ports.make_dispatcher
          ? ports.make_dispatcher(config.settings, seeds.module, config.dispatcher, ports.clock, transport,
                                  *lists, ports.log)
          : std::make_unique<dispatch::RequestDispatcher>(config.settings, seeds.module, config.dispatcher,
                                                          ports.clock, transport, *lists, ports.log);
  nodes_.set_carrier(dispatcher_.get());
  front_ =
      std::make_unique<flightsql::FlightSqlServer>(config, seeds.front, *dispatcher_, ports.clock, ports.log);
}

GatewayCore::~GatewayCore() = default;

void GatewayCore::start() {
  directory_.replace(first_nodes_);
  dispatcher_->start();
  dispatcher_->on_endpoints_changed(EndpointUpdateKind::kCached, directory_.endpoints());
}

void GatewayCore::set_nodes(const std::vector<config::EngineConfig>& nodes, EndpointUpdateKind form) {
  directory_.replace(nodes);
  dispatcher_->on_endpoints_changed(form, directory_.endpoints());
}

bool GatewayCore::quiesce() {
  nodes_.drop_all();
  return nodes_.busy() == 0;
}

}  // namespace sablelink::service
