#include "sim/run.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "base/async_event.h"
#include "config/gateway_config.h"
#include "flightsql/client.h"
#include "flightsql/protocol.h"
#include "nodes/content.h"
#include "nodes/stand_in.h"
#include "service/gateway_core.h"
#include "sim/mutations.h"
#include "sim/network.h"
#include "sim/world.h"

namespace sablelink::sim {
namespace {

constexpr TimeUs kMs = 1000, kSecond = 1'000'000;
// Time between the end of a process and its restart, in rolling restarts and drains.
constexpr TimeUs kRestartUs = 300 * kMs;
constexpr TimeUs kMaxSettleTimeUs = 60 * kSecond;       // after the last fault, all work must end within this
constexpr size_t kMaxMessageBytes = 8192;               // largest message of a simulated node
constexpr TimeUs kSettleCheckIntervalUs = 2 * kSecond;  // interval of the checks for unfinished work

// The configuration of every simulated gateway, without the parts that depend on the scenario.
constexpr std::string_view kConfig = R"(
[limits]
max_attempts = 5
hold_bytes = "16KiB"
hold_bytes_all = "48KiB"
window_bytes = "16KiB"
[engines]
progress_every = "400ms"
[rules]
answer_slack = "20ms"
drain_grace = "250ms"
cold_from = 0.35
warm_after = "6s"
fall_multiple = 2.0
fall_after = "1500ms"
turn_gap = "400ms"
budget_window = "5s"
budget_free = 5
budget_per_request = 0.2
[[kind]]
name = "stand-in"
[[class]]
name = "lookup"
aim = "500ms"
deadline = "2s"
late_worth = 0.5
[[class]]
name = "report"
aim = "1500ms"
deadline = "6s"
late_worth = 0.5
worth = 5
threads = 2
[[class]]
name = "booking"
aim = "1s"
deadline = "3s"
late_worth = 0.5
worth = 2
repeat = "unsafe"
[[class]]
name = "ordered"
aim = "1s"
deadline = "4s"
late_worth = 0.5
worth = 2
repeat = "unsafe"
in_order = true
[[class]]
name = "bound"
aim = "1s"
deadline = "3s"
late_worth = 0.5
only_zones = ["z0"]
[[class]]
name = "keyed"
aim = "1s"
deadline = "3s"
late_worth = 0.5
repeat = "keyed"
key_scope = "cell"
window = "2s"
[[class]]
name = "plan"
aim = "500ms"
deadline = "1s"
late_worth = 0.5
[planning]
class = "plan"
at_once = 4
window = "4s"
free = 4
per_statement = 0.2
time = "900ms"
wait = "300ms"
[schemas]
entries = 48
age = "8s"
[[table]]
name = "gallery"
[requests]
default_class = "lookup"
key_header = "x-order-key"
)";

std::string gateway_name(int i) { return "g" + std::to_string(i); }
std::string node_name(int i) { return "n" + std::to_string(i); }

config::GatewayConfig base_config(const Scenario& s) {
  std::string text(kConfig);
  for (int z = 0; z < s.zones; ++z) text += "[[zone]]\nname = \"z" + std::to_string(z) + "\"\n";
  for (const std::string_view cls : kClasses)
    text += "[[select]]\nheaders = { \"x-class\" = \"" + std::string(cls) + "\" }\nclass = \"" +
            std::string(cls) + "\"\n";
  text += "[gateway]\ninstances = " + std::to_string(s.gateways) + "\n";
  config::GatewayConfig c = config::parse_gateway_config(text, "simulation");
  c.settings.engine_type_cores = {s.node_cores};
  c.settings.engine_type_memory_mb = {8192};
  c.settings.health_checks_allowed = s.health_checks;
  return c;
}

// Writes a gateway's log to the event log.
class GatewayLog : public Log {
 public:
  GatewayLog(World& world, Observer& observer, std::string name)
      : world_(world), observer_(observer), name_(std::move(name)) {}
  void write(LogLevel, std::string_view event, LogFields fields) override {
    if (event == flightsql::kPlanEvent && fields.size() == 1) {
      observer_.planning_call_started(name_, fields.begin()->second);
      return;
    }
    std::string line = name_ + " logs " + std::string(event);
    for (const auto& [key, value] : fields) line += " " + std::string(key) + "=" + value;
    world_.log_event(line);
  }
  bool is_enabled(LogLevel level) const override { return level != LogLevel::kDebug; }

 private:
  World& world_;
  Observer& observer_;
  const std::string name_;
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, const RunOptions& options)
      : scenario_(scenario),
        options_(options),
        event_log_(options.keep_event_log),
        world_(scenario.seed, event_log_),
        config_(base_config(scenario)),
        observer_(world_, audit_settings(), config_.planning, config_.planning_class),
        network_(world_, {}, &observer_),
        start_time_(world_.now()) {}

  ~Simulation() {
    for (Gateway& g : gateways_) kill(g);
    for (Node& n : nodes_) kill(n, false);
    for (ClientProcess& d : client_processes_) {
      d.clients.clear();
      d.actor->kill();
    }
    world_.settle();
  }

  RunResult run() {
    for (int i = 0; i < scenario_.nodes; ++i) add_node(i);
    for (int i = 0; i < scenario_.gateways; ++i) add_gateway(i);
    for (int i = 0; i < scenario_.client_processes; ++i) add_client_process(i);
    for (const RequestEvent& r : scenario_.requests) schedule_request(r);
    for (const FaultEvent& f : scenario_.faults) {
      if (f.kind == FaultKind::kHotKey) schedule_hot_key_requests(f);
      world_.at(start_time_ + f.at, [this, f] { begin_fault(f); });
    }
    TimeUs end = start_time_ + scenario_.duration_us;
    for (const FaultEvent& f : scenario_.faults) {
      const int repetitions = f.kind == FaultKind::kRollingDeploy           ? scenario_.nodes
                              : f.kind == FaultKind::kGatewayRollingRestart ? scenario_.gateways
                                                                            : 1;
      end = std::max(end, start_time_ + f.at + f.duration * repetitions);
    }
    TimeUs next_check_at = end + kSettleCheckIntervalUs;
    end += kMaxSettleTimeUs;
    const auto stopped = [&] { return options_.stop_at_finding && !observer_.findings().empty(); };
    while (!stopped() && world_.step() && world_.now() <= end) {
      check_step();
      if (world_.now() < next_check_at) continue;
      next_check_at += kSettleCheckIntervalUs;
      if (unfinished_work().empty()) break;
    }
    // All work must have ended by now: no requests, calls or buffered bytes may remain.
    if (!stopped())
      for (const std::string& what : unfinished_work()) observer_.violation(what);
    observer_.close();
    observer_.after_step();

    RunResult result;
    result.findings = observer_.findings();
    result.event_log = event_log_.text();
    result.digest = event_log_.digest();
    result.line_count = event_log_.line_count();
    result.steps = world_.steps();
    result.simulated_us = world_.now() - start_time_;
    result.ends = observer_.ends();
    result.attempts = observer_.rules().attempts();
    for (const Gateway& g : gateways_) {
      if (!g.core) continue;
      const dispatch::DispatcherCounters& c = g.core->dispatcher().counters();
      result.streamed_responses += c.streamed_responses;
      result.buffer_limit_reached += c.buffer_limit_reached;
      result.cancelled_unread += c.disconnected_unread;
    }
    result.planning_calls = observer_.planning_call_count();
    result.retries = observer_.rules().retries();
    result.counts = observer_.rules().counts();
    return result;
  }

 private:
  struct Node {
    std::string name;
    nodes::NodeConfig config;
    std::shared_ptr<Actor> actor;
    std::unique_ptr<nodes::StandIn> stand_in;
    std::shared_ptr<Network::Listener> listener;
    // As listed by the discovery service.
    EndpointState state = EndpointState::kReady;
    TimeUs started_at = 0;
    int zone = 0, cell = 0;
    uint64_t incarnation = 0;
    bool up() const { return stand_in != nullptr; }
  };
  struct Gateway {
    int index = 0;
    std::string name;
    std::shared_ptr<Actor> actor;
    std::unique_ptr<GatewayLog> log;
    std::unique_ptr<rpc::ChannelFactory> channels;
    std::unique_ptr<MutatedParts> parts;
    std::unique_ptr<service::GatewayCore> core;
    std::shared_ptr<Network::Listener> listener;
    uint64_t incarnation = 0, list_updates = 0;
    std::map<std::string, EndpointState> reported_states;  // the latest reported state of each node
    TimeUs discovery_down_until = 0;                       // end of a discovery outage
    std::vector<config::EngineConfig> startup_list;  // node list for the next start; empty: the current one
    TimeUs partial_list_until = 0, duplicate_list_until = 0;
  };
  struct ClientProcess {
    std::shared_ptr<Actor> actor;
    std::unique_ptr<rpc::ChannelFactory> channels;
    std::vector<std::shared_ptr<flightsql::Client>> clients;  // by gateway
  };

  // ---- Construction

  audit::AuditSettings audit_settings() const {
    audit::AuditSettings a;
    a.classes = config_.settings.classes;
    a.class_names = config_.class_names;
    a.rules = config_.settings;
    a.slack_us = 0;
    a.node_starts_are_reported = true;
    for (int i = 0; i < scenario_.nodes; ++i) {
      audit::NodeInfo f;
      f.name = node_name(i);
      f.zone = i % scenario_.zones;
      f.cell = i / 2;
      f.cores = scenario_.node_cores;
      f.slow_start_min_capacity_fraction = config_.settings.slow_start_min_capacity_fraction;
      f.slow_start_duration_us = config_.settings.slow_start_duration_us;
      a.nodes.push_back(f);
    }
    return a;
  }

  void add_node(int i) {
    Node n;
    n.name = node_name(i);
    n.config.name = n.name;
    n.config.progress_interval_us = 400 * kMs;
    n.config.load_report_interval_us = 100 * kMs;
    n.config.batch_bytes = 4096;
    nodes::EngineSettings& e = n.config.engine;
    e.cores = scenario_.node_cores;
    e.memory_mb = 8192;
    e.collapse_load_multiple = config_.settings.collapse_load_multiple;
    e.collapse_window_us = config_.settings.collapse_window_us;
    n.zone = i % scenario_.zones;
    n.cell = i / 2;
    nodes_.push_back(std::move(n));
    start(nodes_.back());
    nodes_.back().started_at = 0;  // it has warmed up long before the run
  }

  void start(Node& n) {
    n.actor = Actor::make(world_, n.name);
    const bool first = n.incarnation++ == 0;
    nodes::NodeConfig config = n.config;
    if (!first) {
      config.engine.slow_start_min_capacity_fraction = config_.settings.slow_start_min_capacity_fraction;
      config.engine.slow_start_duration_us = config_.settings.slow_start_duration_us;
    }
    n.stand_in = std::make_unique<nodes::StandIn>(std::move(config), *n.actor, &observer_);
    n.listener =
        network_.listen(n.name, n.actor, [raw = n.stand_in.get()](std::shared_ptr<rpc::ServerCall> call) {
          return raw->handle(std::move(call));
        });
    n.state = EndpointState::kReady;
    n.started_at = world_.now();
    publish();
  }

  void kill(Node& n, bool power_loss) {
    if (!n.up()) return;
    observer_.node_killed(n.name);
    n.actor->kill();
    network_.actor_died(n.name, power_loss);
    network_.close(n.listener);
    world_.settle();
    n.stand_in.reset();
  }

  void add_gateway(int i) {
    gateways_.emplace_back();
    gateways_.back().index = i;
    gateways_.back().name = gateway_name(i);
    start(gateways_.back());
  }

  void start(Gateway& g) {
    observer_.gateway_started(g.name);
    ++g.incarnation;
    g.actor = Actor::make(world_, g.name);
    g.log = std::make_unique<GatewayLog>(world_, observer_, g.name);
    g.channels = network_.channels(g.actor);
    g.reported_states.clear();
    config::GatewayConfig config = config_;
    config.name = g.name;
    config.settings.gateway_index = g.index;
    config.settings.zone = g.index % scenario_.zones;
    config.engines = g.startup_list.empty() ? list_for(g) : std::exchange(g.startup_list, {});
    report_node_list(g, config.engines);
    RandomStream random = world_.stream("gateway/" + g.name + "/" + std::to_string(g.incarnation));
    const auto seeds = service::GatewaySeeds::draw([&random] { return random.next(); });
    g.parts = std::make_unique<MutatedParts>(options_.mutation, *g.actor);
    g.parts->mutate(&config);
    service::GatewayDependencies dependencies{world_.executor(), g.parts->clock(), *g.channels, *g.log};
    dependencies.decorate_transport = g.parts->decorate_transport();
    dependencies.make_dispatcher = g.parts->make_dispatcher();
    g.core = std::make_unique<service::GatewayCore>(config, seeds, dependencies);
    g.core->start();
    g.listener = network_.listen(g.name, g.actor, [&g](std::shared_ptr<rpc::ServerCall> call) {
      return g.core->handle(g.parts->wrap_call(std::move(call)));
    });
    world_.settle();
    schedule_list(g);
  }

  // Lets the coroutines of a killed gateway end while it is cut off from the network.
  void kill(Gateway& g) {
    if (!g.core) return;
    observer_.gateway_killed(g.name);
    g.actor->kill();
    network_.actor_died(g.name, false);
    network_.close(g.listener);
    world_.settle();
    bool all_ended = false;
    for (int i = 0; i < 100 && !all_ended; ++i) {
      all_ended = g.core->cancel_attempts();
      world_.settle();
    }
    // The remaining coroutines would access freed objects.
    if (!all_ended)
      throw std::logic_error(g.name + " was killed and " +
                             std::to_string(g.core->engine_client().active_coroutines()) +
                             " of its attempts haven't ended");
    g.core.reset();
    g.parts.reset();
    g.channels.reset();
  }

  void add_client_process(int i) {
    ClientProcess d;
    d.actor = Actor::make(world_, "desk" + std::to_string(i));
    d.channels = network_.channels(d.actor);
    for (int g = 0; g < scenario_.gateways; ++g)
      d.clients.push_back(std::make_shared<flightsql::Client>(d.channels->open(gateway_name(g)), *d.actor));
    client_processes_.push_back(std::move(d));
  }

  // ---- Node lists

  std::vector<config::EngineConfig> list_for(const Gateway& g) const {
    std::vector<config::EngineConfig> list;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      const Node& n = nodes_[i];
      if (n.state == EndpointState::kRemoved) continue;
      if (world_.now() < g.partial_list_until && (i + g.index) % 3 == 0) continue;
      config::EngineConfig entry;
      entry.name = entry.address = n.name;
      entry.state = n.state;
      entry.cell = n.cell;
      entry.zone = n.zone;
      entry.started_at = n.started_at;
      list.push_back(entry);
      if (world_.now() < g.duplicate_list_until && i % 4 == 1) list.push_back(entry);
    }
    return list;
  }

  // Sends the changed node list to every gateway, with a random delay each.
  void publish() {
    for (Gateway& g : gateways_)
      if (g.core) schedule_list(g);
  }

  void schedule_list(Gateway& g) {
    RandomStream random = world_.stream("list/" + g.name + "/" + std::to_string(++g.list_updates));
    const TimeUs delay = random.between(5 * kMs, 60 * kMs);
    const TimeUs at = std::max(world_.now() + delay, g.discovery_down_until);
    world_.at(at, [this, &g, incarnation = g.incarnation] {
      if (!g.core || g.incarnation != incarnation) return;
      g.actor->deliver([this, &g, incarnation] {
        if (!g.core || g.incarnation != incarnation) return;
        if (world_.now() < g.discovery_down_until) {
          schedule_list(g);
          return;
        }
        std::vector<config::EngineConfig> list = list_for(g);
        report_node_list(g, list);
        g.parts->mutate(&list);
        g.core->update_endpoints(list);
      });
    });
  }

  void report_node_list(Gateway& g, const std::vector<config::EngineConfig>& list) {
    std::map<std::string, EndpointState> now;
    for (const Node& n : nodes_) now[n.name] = EndpointState::kRemoved;
    for (const config::EngineConfig& n : list) {
      now[n.name] = n.state;
      for (const Node& node : nodes_)
        if (node.name == n.name && node.started_at == n.started_at)
          observer_.node_start_reported(g.name, n.name);
    }
    for (const auto& [name, state] : now) {
      const auto before = g.reported_states.find(name);
      const bool ready = state == EndpointState::kReady;
      const bool was_ready = before != g.reported_states.end() && before->second == EndpointState::kReady;
      if (ready && !was_ready) observer_.node_reported_ready(g.name, name);
      if (!ready && (was_ready || before == g.reported_states.end()))
        observer_.node_reported_unavailable(g.name, name);
    }
    g.reported_states = std::move(now);
  }

  // ---- Clients

  void schedule_request(const RequestEvent& r) {
    world_.at(start_time_ + r.at, [this, r] {
      ClientProcess& client_process = client_processes_[r.client_process % client_processes_.size()];
      boost::asio::co_spawn(world_.executor(), run_client(r, client_process), boost::asio::detached);
    });
  }

  void schedule_hot_key_requests(const FaultEvent& f) {
    for (int i = 0; i < static_cast<int>(f.value); ++i) {
      RandomStream random(scenario_.seed, "hot/" + std::to_string(f.number) + "/" + std::to_string(i));
      RequestEvent r;
      r.number = 1'000'000'000 + f.number * 100'000 + static_cast<uint64_t>(i);
      r.at = f.at + random.between(0, f.duration);
      r.client_process = f.target;
      r.gateway = f.peer;
      r.cls = f.target % 2 == 0 ? "ordered" : "keyed";
      r.key = "hot" + std::to_string(f.number);
      r.work_us = 20'000;
      r.timeout_us = 2 * kSecond;
      schedule_request(r);
    }
  }

  bool clients_cancel_early() const { return world_.now() < early_cancels_until_; }

  static std::string statement(const RequestEvent& r) {
    char hint[300];
    std::snprintf(hint, sizeof(hint),
                  "/*+ work=%.0fus threads=%g memory=%.0f rows=%d row_bytes=%zu%s%s%s%s%s */", r.work_us,
                  r.threads, r.memory_mb, r.rows, r.row_bytes,
                  r.query_fault.empty() ? "" : " mishap=", r.query_fault.c_str(),
                  r.query_fault.empty() ? "" : " on_attempt=0",
                  r.planning_fault.empty() ? "" : " plan_mishap=", r.planning_fault.c_str());
    return "SELECT " + r.select_list + " FROM gallery " + std::string(hint);
  }

  rpc::Awaitable<void> run_client(RequestEvent r, ClientProcess& client_process) {
    size_t gateway = static_cast<size_t>(r.gateway) % gateways_.size();
    const std::string sql = statement(r);
    TimeUs remaining = r.timeout_us;
    ++active_clients_;
    for (int attempt = 0; attempt < r.max_attempts && remaining > 0; ++attempt) {
      audit::ClientRecord c;
      c.tag = "q" + std::to_string(r.number) + "-" + std::to_string(attempt);
      c.gateway = gateway_name(static_cast<int>(gateway));
      c.cls = config_.class_index(r.cls);
      c.key = r.key;
      c.requested_work_us = r.work_us;
      c.started_at = world_.now();
      c.deadline = c.started_at + remaining;
      flightsql::ClientOptions o;
      o.timeout_us = remaining;
      o.connect_timeout_us = std::min<TimeUs>(remaining, 300 * kMs);
      o.headers.emplace_back("x-class", r.cls);
      o.headers.emplace_back(std::string(flightsql::kClientTagKey), c.tag);
      if (!r.key.empty()) o.headers.emplace_back("x-order-key", r.key);
      o.read_delay_us = r.read_interval_us;
      if (r.max_messages_read >= 0) o.stall_after_messages = r.max_messages_read;
      c.may_end_late =
          r.read_interval_us > 0 || r.max_messages_read >= 0;  // a slow reader delays the end itself
      const auto cancelled = std::make_shared<bool>(false);
      TimeUs cancel_after = attempt == 0 ? r.cancel_after_us : 0;
      if (attempt == 0 && clients_cancel_early()) cancel_after = std::max<TimeUs>(remaining / 8, 1);
      if (cancel_after > 0) {
        o.canceller = std::make_shared<flightsql::CallCanceller>();
        client_process.actor->call_after(cancel_after, [cancel = o.canceller, cancelled] {
          *cancelled = true;
          cancel->cancel_all();
        });
      }
      observer_.client_request_started(c, sql);
      const std::shared_ptr<flightsql::Client> to = client_process.clients[gateway];
      std::string text = sql;
      const auto check = std::make_shared<nodes::ResponseCheck>(sql);
      flightsql::Client::OnBatch read = [check](const auto& schema, const auto& batch) {
        check->on_batch(schema, batch);
      };
      const flightsql::QueryResult result =
          co_await to->query(std::move(text), std::move(o), std::move(read));
      const bool served = result.from_gateway && result.verdict == dispatch::RequestStatus::kServed;
      c.response_error = check->error(served);
      if (c.response_error.empty() && result.has_schema && result.announced_schema &&
          *result.announced_schema != result.schema)
        c.response_error = "its schema differs from that of its ticket";
      if (c.response_error.empty() && result.schema_changed)
        c.response_error = "its schema is reported as changed";
      observer_.client_request_ended(c, result, *cancelled);
      const bool not_executed = result.from_gateway && result.verdict == dispatch::RequestStatus::kRejected;
      // A client retries if nothing was executed (the request was rejected) or if its class is idempotent; at
      // once if it cancelled the request itself.
      const bool idempotent = r.cls == "lookup" || r.cls == "report" || r.cls == "bound";
      if (served || !(not_executed || idempotent)) break;
      remaining = c.deadline - world_.now();
      const TimeUs wait = *cancelled ? 0 : result.retry_after_us.value_or(50 * kMs);
      if (wait > 0) co_await sleep_for(*client_process.actor, wait);
      remaining = c.deadline - world_.now();
      gateway = (gateway + 1) % gateways_.size();
    }
    --active_clients_;
  }

  // ---- Faults

  Node& node_of(const FaultEvent& f) { return nodes_[f.target % nodes_.size()]; }
  Gateway& gateway_of(int target) { return gateways_[target % gateways_.size()]; }

  void schedule_restart(Node& n, TimeUs after) {
    world_.after(after, [this, &n, incarnation = n.incarnation] {
      if (!n.up() && n.incarnation == incarnation) start(n);
    });
  }

  // Drains a node, ends it after the duration and restarts it, warming up. `late`: the node lists don't show
  // the drain.
  void drain(Node& n, TimeUs duration_us, bool late) {
    if (!n.up()) return;
    if (!late) {
      n.state = EndpointState::kDraining;
      publish();
    }
    n.stand_in->drain();
    world_.after(duration_us, [this, &n, incarnation = n.incarnation] {
      if (!n.up() || n.incarnation != incarnation) return;
      n.state = EndpointState::kRemoved;
      publish();
      kill(n, false);
      schedule_restart(n, kRestartUs);
    });
  }

  void crash(Node& n, TimeUs duration_us, bool power_loss) {
    if (!n.up()) return;
    kill(n, power_loss);
    // The discovery service removes the node after a delay.
    world_.after(std::min<TimeUs>(duration_us / 2, 500 * kMs), [this, &n, incarnation = n.incarnation] {
      if (n.up() || n.incarnation != incarnation) return;
      n.state = EndpointState::kRemoved;
      publish();
    });
    schedule_restart(n, duration_us);
  }

  void crash(Gateway& g, TimeUs duration_us) {
    if (!g.core) return;
    kill(g);
    world_.after(duration_us, [this, &g, incarnation = g.incarnation] {
      if (!g.core && g.incarnation == incarnation) start(g);
    });
  }

  void inject_node_fault(const FaultEvent& f, nodes::FaultKind kind, double value = 1) {
    Node& n = node_of(f);
    if (n.up()) n.stand_in->begin_fault(kind, f.duration, value);
  }

  // Switches a fault on, and off again after its duration.
  void apply_for_duration(const FaultEvent& f, const std::function<void(bool)>& enable) {
    enable(true);
    world_.after(f.duration, [enable] { enable(false); });
  }

  void begin_fault(const FaultEvent& f) {
    world_.log_event(std::string("fault ") + fault_name(f.kind) + " " + std::to_string(f.target) + "/" +
                     std::to_string(f.peer) + " for " + std::to_string(f.duration) + " us");
    Node& n = node_of(f);
    const std::string peer_gateway = gateway_name(f.peer % scenario_.gateways);
    Gateway& gateway = gateway_of(f.target);
    switch (f.kind) {
      case FaultKind::kNodeCrash:
      case FaultKind::kNodePowerLoss:
        crash(n, f.duration, f.kind == FaultKind::kNodePowerLoss);
        break;
      case FaultKind::kNodeHang:
        inject_node_fault(f, nodes::FaultKind::kHang);
        break;
      case FaultKind::kNodeErrors:
        inject_node_fault(f, nodes::FaultKind::kErrors);
        break;
      case FaultKind::kNodeNeverResponds:
        inject_node_fault(f, nodes::FaultKind::kLostResponses);
        break;
      case FaultKind::kNodeSlow:
        inject_node_fault(f, nodes::FaultKind::kSlow, f.value);
        break;
      case FaultKind::kNodeGradualSlowdown:
        for (int step = 1; step <= 4; ++step) {
          FaultEvent part = f;
          part.duration = f.duration / 4;
          const double value = 1 + (f.value - 1) * step / 4;
          world_.after(part.duration * (step - 1),
                       [this, part, value] { inject_node_fault(part, nodes::FaultKind::kSlow, value); });
        }
        break;
      case FaultKind::kNodeRejects:
        inject_node_fault(f, nodes::FaultKind::kReject);
        break;
      case FaultKind::kMemoryShortage:
        inject_node_fault(f, nodes::FaultKind::kMemoryPressure, f.value);
        break;
      case FaultKind::kLoadReportsStale:
        inject_node_fault(f, nodes::FaultKind::kStaleReports);
        break;
      case FaultKind::kDrain:
      case FaultKind::kDrainReportedLate:
        drain(n, f.duration, f.kind == FaultKind::kDrainReportedLate);
        break;
      case FaultKind::kRollingDeploy:
        for (size_t i = 0; i < nodes_.size(); ++i)
          world_.after(f.duration * static_cast<TimeUs>(i),
                       [this, i, f] { drain(nodes_[i], std::min<TimeUs>(f.duration, 400 * kMs), false); });
        break;
      case FaultKind::kZoneLoss:
        for (Node& node : nodes_)
          if (node.zone == f.target % scenario_.zones) crash(node, f.duration, false);
        break;
      case FaultKind::kAllNodesDown:
        // They restart together, or one by one: the first one then gets the entire load while warming up.
        for (size_t i = 0; i < nodes_.size(); ++i)
          crash(nodes_[i], f.duration + (f.peer % 2 != 0 ? static_cast<TimeUs>(i) * 300 * kMs : 0), false);
        break;
      case FaultKind::kLinkDelay:
        apply_for_duration(f, [this, name = n.name, delay_us = static_cast<TimeUs>(f.value * kMs)](bool on) {
          network_.set_added_delay(name, on ? delay_us : 0);
        });
        break;
      case FaultKind::kLinkLost:
      case FaultKind::kLinkStall:
        network_.interrupt(peer_gateway, n.name, f.duration, f.kind == FaultKind::kLinkStall);
        break;
      case FaultKind::kConnectionReset:
        network_.reset(peer_gateway, n.name);
        break;
      case FaultKind::kConnectionRefused:
        apply_for_duration(f, [this, name = n.name](bool on) { network_.refuse_connections(name, on); });
        network_.reset("", n.name);
        break;
      case FaultKind::kConnectTimeout:
        apply_for_duration(f, [this, name = n.name](bool on) { network_.blackhole(name, on); });
        network_.reset("", n.name);
        break;
      case FaultKind::kResponseLost:
        network_.lose_responses(n.name, static_cast<int>(f.value));
        break;
      case FaultKind::kGatewayCrash:
        crash(gateway, f.duration);
        break;
      case FaultKind::kGatewayStaleStart:
        if (!gateway.core) break;
        gateway.startup_list = list_for(gateway);
        gateway.discovery_down_until = world_.now() + f.duration + static_cast<TimeUs>(f.value * kMs);
        crash(gateway, f.duration);
        break;
      case FaultKind::kGatewayRollingRestart:
        for (size_t i = 0; i < gateways_.size(); ++i)
          world_.after(f.duration * static_cast<TimeUs>(i), [this, i] { crash(gateways_[i], kRestartUs); });
        break;
      case FaultKind::kGatewayStall:
        if (!gateway.core) break;
        observer_.gateway_stalled(gateway.name, world_.now() + f.duration);
        gateway.actor->stall(f.duration);
        break;
      case FaultKind::kClockJump:
        if (!gateway.core) break;
        observer_.clock_jumped(gateway.name, f.duration);
        gateway.actor->advance_clock(f.duration);
        break;
      case FaultKind::kDiscoveryOutage:
        gateway.discovery_down_until = world_.now() + f.duration;
        break;
      case FaultKind::kNodeListPartial:
      case FaultKind::kNodeListDuplicates:
        (f.kind == FaultKind::kNodeListPartial ? gateway.partial_list_until : gateway.duplicate_list_until) =
            world_.now() + f.duration;
        if (gateway.core) schedule_list(gateway);
        world_.after(f.duration, [this, &gateway] {
          if (gateway.core) schedule_list(gateway);
        });
        break;
      case FaultKind::kHotKey:
        break;  // scheduled at the start of the run
      case FaultKind::kEarlyCancels:
        early_cancels_until_ = world_.now() + f.duration;
        break;
      case FaultKind::kClientConnectionReset:
        network_.reset("desk" + std::to_string(f.target % scenario_.client_processes), "");
        break;
    }
  }

  // ---- Properties outside the seven rules

  void check_step() {
    observer_.after_step();
    for (Gateway& g : gateways_) {
      if (!g.core) continue;
      const dispatch::RequestDispatcher& c = g.core->dispatcher();
      // A streamed response is limited by its window. A message that exceeds a limit is buffered completely.
      const size_t max_streamed_bytes =
          c.tracked_requests() * (config_.dispatcher.stream_window_bytes + kMaxMessageBytes);
      if (c.buffered_bytes() > config_.dispatcher.total_buffer_bytes + kMaxMessageBytes + max_streamed_bytes)
        observer_.violation(g.name + " buffers " + std::to_string(c.buffered_bytes()) + " bytes");
      // Timers can't be cancelled, so each request may leave a few without effect.
      const size_t max_timers = 200 + 8 * (scenario_.requests.size() + 100);
      if (g.actor->timers() > max_timers)
        observer_.violation(g.name + " has " + std::to_string(g.actor->timers()) + " timers");
    }
  }

  // Returns a description of all work that hasn't ended.
  std::vector<std::string> unfinished_work() const {
    std::vector<std::string> out;
    const auto expect_zero = [&](const std::string& owner, const char* what, size_t n) {
      if (n > 0) out.push_back(owner + " still has " + std::to_string(n) + " " + what);
    };
    expect_zero("the world", "clients", active_clients_);
    for (const Gateway& g : gateways_) {
      if (!g.core) continue;
      const dispatch::RequestDispatcher& c = g.core->dispatcher();
      expect_zero(g.name, "requests", c.tracked_requests());
      expect_zero(g.name, "requests without a response", c.open_requests());
      expect_zero(g.name, "buffered bytes", c.buffered_bytes());
      expect_zero(g.name, "planning calls",
                  g.core->server().schema_resolver().planning_coordinator().calls_in_flight());
      expect_zero(g.name, "clients waiting for planning calls",
                  g.core->server().schema_resolver().planning_coordinator().waiters());
      expect_zero(g.name, "calls of clients", network_.running(g.listener));
      const size_t active_coroutines = g.core->engine_client().active_coroutines();
      if (active_coroutines > c.outstanding_health_checks())
        expect_zero(g.name, "attempts", active_coroutines);
    }
    for (const Node& n : nodes_)
      if (n.up() && !n.stand_in->collapsed()) expect_zero(n.name, "calls", network_.running(n.listener));
    return out;
  }

  const Scenario& scenario_;
  const RunOptions& options_;
  EventLog event_log_;
  World world_;
  const config::GatewayConfig config_;
  Observer observer_;
  Network network_;
  const TimeUs start_time_;
  std::deque<Node> nodes_;
  std::deque<Gateway> gateways_;
  std::deque<ClientProcess> client_processes_;
  TimeUs early_cancels_until_ = 0;
  size_t active_clients_ = 0;
};

}  // namespace

RunResult run(const Scenario& scenario, const RunOptions& options) {
  return Simulation(scenario, options).run();
}

void count_fault_pairs(const Scenario& scenario, FaultPairs* pairs) {
  for (size_t i = 0; i < scenario.faults.size(); ++i) {
    for (size_t k = i; k < scenario.faults.size(); ++k) {
      const FaultEvent& a = scenario.faults[i];
      const FaultEvent& b = scenario.faults[k];
      if (i != k && (a.at > b.at + b.duration || b.at > a.at + a.duration)) continue;
      const int low = std::min(static_cast<int>(a.kind), static_cast<int>(b.kind));
      const int high = std::max(static_cast<int>(a.kind), static_cast<int>(b.kind));
      if (i != k || low != high) ++(*pairs)[low][high];
    }
  }
}

Scenario shrink(const Scenario& scenario, const RunOptions& options, int rule, int max_runs) {
  Scenario best = scenario;
  RunOptions shrink_options = options;
  shrink_options.keep_event_log = false;
  shrink_options.stop_at_finding = true;
  int runs = 0;
  const auto still_fails = [&](const Scenario& s) {
    ++runs;
    const RunResult r = run(s, shrink_options);
    return std::any_of(r.findings.begin(), r.findings.end(), [&](const auto& f) { return f.rule == rule; });
  };
  // Removes parts of a list, of half the size in each round; keeps a removal if the rule is still broken.
  const auto remove_parts = [&](auto member) {
    for (size_t part_size = std::max<size_t>((best.*member).size() / 2, 1); part_size > 0; part_size /= 2) {
      for (size_t from = 0; from < (best.*member).size() && runs < max_runs;) {
        Scenario s = best;
        auto& list = s.*member;
        list.erase(list.begin() + static_cast<long>(from),
                   list.begin() + static_cast<long>(std::min(from + part_size, list.size())));
        if (still_fails(s))
          best = std::move(s);
        else
          from += part_size;
      }
    }
  };
  remove_parts(&Scenario::faults);
  remove_parts(&Scenario::requests);
  remove_parts(&Scenario::faults);
  return best;
}

}  // namespace sablelink::sim
