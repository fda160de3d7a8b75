#include "service/platform_service.h"

#include <utility>

#include "platform/shutdown_schedule.h"

namespace sablelink::service {
namespace {

constexpr TimeUs kQuietStepUs = 10'000;
constexpr size_t kHeldShare = 8;  // of the memory limit, for answers that are held until they are whole

}  // namespace

// The platform tells of changes unasked; who asks is told the list as it stands.
class PlatformService::Lists : public dispatch::EndpointSource {
 public:
  explicit Lists(PlatformService& service) : service_(service) {}
  void watch(bool on) override {
    if (on) fetch();
  }
  void fetch() override {
    service_.loop_.call_after(0, [this] {
      service_.dispatcher_->on_endpoints_changed(EndpointUpdateKind::kFull, service_.directory_.endpoints());
    });
  }

 private:
  PlatformService& service_;
};

PlatformService::PlatformService(platform::PlatformConfig config, const System& system)
    : config_(std::move(config)),
      log_(make_json_log("gateway", "info")),
      loop_(system.wall, system.steady),
      net_(std::make_unique<rpc::TcpTransport>(loop_)),
      lists_(std::make_unique<Lists>(*this)) {
  const platform::DescriptorBudget budget = platform::DescriptorBudget::of(config_.max_descriptors);
  platform::EngineClientOptions to_nodes;
  to_nodes.budget = budget;
  to_nodes.dial_timeout_us = config_.dial_timeout_us;
  to_nodes.idle_close_us = config_.engine_idle_timeout_us;
  to_nodes.hedging_allowed = config_.settings.hedging_allowed;
  to_nodes.classes = config_.names.classes;
  nodes_ = std::make_unique<platform::EngineClient>(to_nodes, *net_, loop_, directory_);
  dispatch::DispatcherLimits limits;
  limits.total_buffer_bytes = (config_.memory_mb << 20) / kHeldShare;
  dispatcher_ = std::make_unique<dispatch::RequestDispatcher>(config_.settings, config_.seed, limits, loop_,
                                                              *nodes_, *lists_, *log_);
  nodes_->set_dispatcher(dispatcher_.get());
  platform::HttpServerOptions to_clients;
  to_clients.classes = config_.names.classes;
  to_clients.tenants = config_.names.tenants;
  for (const ClassSettings& cls : config_.settings.classes)
    to_clients.max_timeout_us.push_back(cls.request_timeout_us);
  to_clients.max_connections = budget.clients;
  front_ = std::make_unique<platform::HttpServer>(to_clients, *dispatcher_, *net_, loop_);
  changes_ = std::make_unique<platform::EndpointWatcher>(
      *net_, loop_, *log_, [this](const std::vector<config::EngineConfig>& nodes) { told(nodes); });
  loop_.post([this] {
    dispatcher_->start();
    changes_->start(config_);
  });
  port_ = net_->listen(config_.listen_address, [this](std::shared_ptr<rpc::ByteStream> stream) {
    return front_->serve(std::move(stream));
  });
  log_->info("started", {{"name", config_.name},
                         {"listen", config_.listen_address},
                         {"port", std::to_string(port_)},
                         {"sockets", std::to_string(config_.max_descriptors)},
                         {"memory_mb", std::to_string(config_.memory_mb)},
                         {"cores", std::to_string(config_.cpu_cores)}});
}

// Whoever still waits on the loop hears of the end before what it uses goes.
PlatformService::~PlatformService() {
  changes_.reset();
  front_.reset();
  nodes_.reset();
  dispatcher_.reset();
  net_.reset();
  loop_.poll();
}

void PlatformService::told(const std::vector<config::EngineConfig>& nodes) {
  directory_.replace(nodes);
  nodes_->on_endpoints_changed();
  dispatcher_->on_endpoints_changed(
      std::exchange(started_, true) ? EndpointUpdateKind::kFull : EndpointUpdateKind::kCached,
      directory_.endpoints());
}

void PlatformService::reload(const platform::PlatformConfig& config) {
  log_->info("reload", {{"changelog", config.watch_address}});
  changes_->switch_address(config);
}

void PlatformService::stop() {
  if (std::exchange(stopping_, true)) return;
  log_->info("stopping", {{"open", std::to_string(dispatcher_->open_requests())}});
  front_->start_draining();
  const auto times = platform::ShutdownSchedule::of(config_.settings);
  end_by_ = loop_.now() + times.exit;
  loop_.call_after(times.stop_accepting, [this] { stop_taking(); });
  loop_.call_after(times.cancel_in_flight, [this] { dispatcher_->cancel_in_flight(); });
}

void PlatformService::stop_taking() {
  net_->stop_listening();
  front_->close_idle_connections();
  end_when_quiet();
}

void PlatformService::end_when_quiet() {
  if ((dispatcher_->open_requests() > 0 || !front_->is_idle()) && loop_.now() < end_by_) {
    loop_.call_after(kQuietStepUs, [this] { end_when_quiet(); });
    return;
  }
  const platform::EngineClientCounters& n = nodes_->counters();
  const platform::HttpServerCounters& f = front_->counters();
  const dispatch::DispatcherCounters& c = dispatcher_->counters();
  log_->info("stopped", {{"taken", std::to_string(c.accepted)},
                         {"served", std::to_string(c.served)},
                         {"refused", std::to_string(c.rejected)},
                         {"failed", std::to_string(c.failed)},
                         {"attempts", std::to_string(c.attempts)},
                         {"connections", std::to_string(f.accepted_connections)},
                         {"wrong", std::to_string(f.invalid_requests + f.malformed_requests)},
                         {"no_room", std::to_string(f.rejected_at_capacity)},
                         {"dials", std::to_string(n.dials)},
                         {"calls", std::to_string(n.calls)},
                         {"broken", std::to_string(n.broken)},
                         {"spoilt", std::to_string(n.spoilt)},
                         {"overdue", std::to_string(n.overdue)},
                         {"held_back", std::to_string(n.held_back)}});
  loop_.stop();
}

}  // namespace sablelink::service
