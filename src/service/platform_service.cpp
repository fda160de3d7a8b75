#include "service/platform_service.h"

#include <utility>

#include "platform/drain.h"

namespace sablelink::service {
namespace {

constexpr TimeUs kQuietStepUs = 10'000;
constexpr size_t kHeldShare = 8;  // of the memory limit, for answers that are held until they are whole

}  // namespace

// The platform tells of changes unasked; who asks is told the list as it stands.
class PlatformService::Lists : public carrier::ListSource {
 public:
  explicit Lists(PlatformService& service) : service_(service) {}
  void subscribe(bool on) override {
    if (on) fetch();
  }
  void fetch() override {
    service_.loop_.call_after(
        0, [this] { service_.carrier_->set_list(ListForm::kFull, service_.directory_.entries()); });
  }

 private:
  PlatformService& service_;
};

PlatformService::PlatformService(platform::PlatformConfig config, const System& system)
    : config_(std::move(config)),
      log_(make_json_log("gateway", "info")),
      loop_(system.wall, system.steady),
      net_(std::make_unique<rpc::TcpNet>(loop_)),
      lists_(std::make_unique<Lists>(*this)) {
  const platform::DescriptorBudget budget = platform::DescriptorBudget::of(config_.sockets);
  platform::NodeClientOptions to_nodes;
  to_nodes.budget = budget;
  to_nodes.dial_timeout_us = config_.dial_timeout_us;
  to_nodes.idle_close_us = config_.idle_close_us;
  to_nodes.second_copies = config_.settings.second_copies;
  to_nodes.classes = config_.names.classes;
  nodes_ = std::make_unique<platform::NodeClient>(to_nodes, *net_, loop_, directory_);
  carrier::CarrierLimits limits;
  limits.hold_bytes_all = (config_.memory_mb << 20) / kHeldShare;
  carrier_ = std::make_unique<carrier::Carrier>(config_.settings, config_.seed, limits, loop_, *nodes_,
                                                *lists_, *log_);
  nodes_->set_carrier(carrier_.get());
  platform::FrontOptions to_clients;
  to_clients.classes = config_.names.classes;
  to_clients.tenants = config_.names.tenants;
  for (const ClassSettings& cls : config_.settings.classes) to_clients.patience_us.push_back(cls.deadline_us);
  to_clients.connections = budget.clients;
  front_ = std::make_unique<platform::Front>(to_clients, *carrier_, *net_, loop_);
  changes_ = std::make_unique<platform::ChangeLog>(
      *net_, loop_, *log_, [this](const std::vector<config::NodeConfig>& nodes) { told(nodes); });
  loop_.post([this] {
    carrier_->start();
    changes_->start(config_);
  });
  port_ = net_->listen(config_.listen, [this](std::shared_ptr<rpc::ByteStream> stream) {
    return front_->serve(std::move(stream));
  });
  log_->info("started", {{"name", config_.name},
                         {"listen", config_.listen},
                         {"port", std::to_string(port_)},
                         {"sockets", std::to_string(config_.sockets)},
                         {"memory_mb", std::to_string(config_.memory_mb)},
                         {"cores", std::to_string(config_.cores)}});
}

// Whoever still waits on the loop hears of the end before what it uses goes.
PlatformService::~PlatformService() {
  changes_.reset();
  front_.reset();
  nodes_.reset();
  carrier_.reset();
  net_.reset();
  loop_.poll();
}

void PlatformService::told(const std::vector<config::NodeConfig>& nodes) {
  directory_.replace(nodes);
  nodes_->nodes_changed();
  carrier_->set_list(std::exchange(started_, true) ? ListForm::kFull : ListForm::kCached,
                     directory_.entries());
}

void PlatformService::reload(const platform::PlatformConfig& config) {
  log_->info("reload", {{"changelog", config.changelog}});
  changes_->move(config);
}

void PlatformService::stop() {
  if (std::exchange(stopping_, true)) return;
  log_->info("stopping", {{"open", std::to_string(carrier_->open())}});
  front_->drain();
  const auto times = platform::DrainTimes::of(config_.settings);
  end_by_ = loop_.now() + times.end;
  loop_.call_after(times.stop_taking, [this] { stop_taking(); });
  loop_.call_after(times.give_up, [this] { carrier_->give_up(); });
}

void PlatformService::stop_taking() {
  net_->stop_listening();
  front_->close_resting();
  end_when_quiet();
}

void PlatformService::end_when_quiet() {
  if ((carrier_->open() > 0 || !front_->quiet()) && loop_.now() < end_by_) {
    loop_.call_after(kQuietStepUs, [this] { end_when_quiet(); });
    return;
  }
  const platform::NodeClientCounts& n = nodes_->counts();
  const platform::FrontCounts& f = front_->counts();
  const carrier::CarrierCounts& c = carrier_->counts();
  log_->info("stopped", {{"taken", std::to_string(c.taken)},
                         {"served", std::to_string(c.served)},
                         {"refused", std::to_string(c.refused)},
                         {"failed", std::to_string(c.failed)},
                         {"attempts", std::to_string(c.attempts)},
                         {"connections", std::to_string(f.connections)},
                         {"wrong", std::to_string(f.wrong + f.unreadable)},
                         {"no_room", std::to_string(f.no_room)},
                         {"dials", std::to_string(n.dials)},
                         {"calls", std::to_string(n.calls)},
                         {"broken", std::to_string(n.broken)},
                         {"spoilt", std::to_string(n.spoilt)},
                         {"overdue", std::to_string(n.overdue)},
                         {"held_back", std::to_string(n.held_back)}});
  loop_.stop();
}

}  // namespace sablelink::service
