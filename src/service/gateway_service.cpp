#include "service/gateway_service.h"

#include <boost/asio/post.hpp>
#include <future>
#include <utility>

namespace sablelink::service {
namespace asio = boost::asio;

// The list of nodes is the configuration's for now. Subscribing or fetching is answered with the whole list.
class GatewayService::Lists : public carrier::ListSource {
 public:
  explicit Lists(GatewayService& service) : service_(service) {}
  void subscribe(bool on) override {
    if (on) fetch();
  }
  void fetch() override {
    asio::post(service_.loop_.executor(),
               [this] { service_.carrier_->set_list(ListForm::kFull, service_.directory_.entries()); });
  }

 private:
  GatewayService& service_;
};

namespace {

rpc::GrpcClientOptions client_options(const config::FrontLimits& limits) {
  rpc::GrpcClientOptions options;
  options.max_message_bytes = static_cast<int>(limits.message_bytes);
  return options;
}

std::string hex(uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
  return text;
}

}  // namespace

GatewayService::GatewayService(config::GatewayConfig config, const System& system)
    : config_(std::move(config)),
      log_(make_json_log("gateway", config_.log_level)),
      loop_(system.wall, system.steady),
      channels_(client_options(config_.front), loop_),
      nodes_({config_.name + "/" + hex(system.random()), config_.front.dial_timeout_us,
              config_.front.node_connections},
             loop_.executor(), channels_, [this](EngineId id) { return directory_.address(id); }),
      lists_(std::make_unique<Lists>(*this)) {
  const flightsql::FrontSeeds seeds{system.random(), system.random(), system.random()};
  carrier_ = std::make_unique<carrier::Carrier>(config_.settings, system.random(), config_.carrier, loop_,
                                                nodes_, *lists_, *log_);
  nodes_.set_carrier(carrier_.get());
  front_ = std::make_unique<flightsql::Front>(config_, seeds, *carrier_, loop_, *log_);
  loop_.run([this] {
    directory_.replace(config_.nodes);
    carrier_->start();
    carrier_->set_list(ListForm::kCached, directory_.entries());
  });
  rpc::GrpcServerOptions options;
  options.address = config_.listen;
  options.max_message_bytes = static_cast<int>(config_.front.message_bytes);
  server_ = std::make_unique<rpc::GrpcServer>(options, loop_, [this](std::shared_ptr<rpc::ServerCall> call) {
    return front_->handle(std::move(call));
  });
  log_->info("started", {{"name", config_.name},
                         {"listen", config_.listen},
                         {"port", std::to_string(server_->port())},
                         {"nodes", std::to_string(config_.nodes.size())}});
}

// All that runs on the loop must have ended before what it uses goes.
GatewayService::~GatewayService() {
  if (server_) server_->shutdown(0);
  for (bool quiet = false; !quiet;) {
    loop_.run([&] {
      nodes_.drop_all();
      quiet = nodes_.busy() == 0;
    });
    if (!quiet) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  loop_.run([this] {
    front_.reset();
    carrier_.reset();
  });
}

void GatewayService::reload(const config::GatewayConfig& config) {
  loop_.post([this, nodes = config.nodes, selectors = config.selectors]() mutable {
    front_->set_selectors(std::move(selectors));
    directory_.replace(nodes);
    carrier_->set_list(ListForm::kFull, directory_.entries());
    log_->info("list_taken", {{"nodes", std::to_string(nodes.size())}});
  });
}

void GatewayService::stop(TimeUs grace) {
  const auto idle = std::make_shared<std::promise<void>>();
  std::future<void> ended = idle->get_future();
  loop_.post([this, idle] {
    log_->info("stopping", {{"open", std::to_string(carrier_->open())}});
    carrier_->stop([idle] { idle->set_value(); });
  });
  const bool all = ended.wait_for(std::chrono::microseconds(grace)) == std::future_status::ready;
  constexpr TimeUs kFlushUs = 500'000;  // for answers that are still on their way out
  server_->shutdown(all ? kFlushUs : 0);
  log_->info("stopped", {{"all_ended", all ? "true" : "false"}});
}

void GatewayService::inspect(
    const std::function<void(const carrier::Carrier&, const flightsql::Front&)>& fn) {
  loop_.run([&] { fn(*carrier_, *front_); });
}

}  // namespace sablelink::service
