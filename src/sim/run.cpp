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
#include "flightsql/terms.h"
#include "nodes/content.h"
#include "nodes/stand_in.h"
#include "service/gateway_core.h"
#include "sim/defects.h"
#include "sim/network.h"
#include "sim/world.h"

namespace sablelink::sim {
namespace {

constexpr TimeUs kMs = 1000, kSecond = 1'000'000;
constexpr TimeUs kRestartUs = 300 * kMs;   // from a process's end to its next start, in rolls and drains
constexpr TimeUs kQuietUs = 60 * kSecond;  // most, after the last trouble, for all to come to rest
constexpr size_t kMessageBytes = 8192;     // most of a simulated node's message
constexpr TimeUs kLookUs = 2 * kSecond;    // between two looks whether it has

// What every simulated gateway is configured with, besides the world's own.
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
  c.settings.engine_type_cores = {s.cores};
  c.settings.engine_type_memory_mb = {8192};
  c.settings.health_checks_allowed = s.probes;
  return c;
}

// The gateways' log, as lines of the account.
class AccountLog : public Log {
 public:
  AccountLog(World& world, Observer& observer, std::string name)
      : world_(world), observer_(observer), name_(std::move(name)) {}
  void write(LogLevel, std::string_view event, LogFields fields) override {
    if (event == flightsql::kPlanEvent && fields.size() == 1) {
      observer_.plans(name_, fields.begin()->second);
      return;
    }
    std::string line = name_ + " logs " + std::string(event);
    for (const auto& [key, value] : fields) line += " " + std::string(key) + "=" + value;
    world_.tell(line);
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
      : s_(scenario),
        options_(options),
        account_(options.keep_account),
        world_(scenario.seed, account_),
        config_(base_config(scenario)),
        observer_(world_, audit_settings(), config_.planning, config_.planning_class),
        network_(world_, {}, &observer_),
        begin_(world_.now()) {}

  ~Simulation() {
    for (Gateway& g : gateways_) kill(g);
    for (Node& n : nodes_) kill(n, false);
    for (Desk& d : desks_) {
      d.clients.clear();
      d.actor->kill();
    }
    world_.settle();
  }

  RunResult run() {
    for (int i = 0; i < s_.nodes; ++i) add_node(i);
    for (int i = 0; i < s_.gateways; ++i) add_gateway(i);
    for (int i = 0; i < s_.desks; ++i) add_desk(i);
    for (const RequestEvent& r : s_.requests) plan(r);
    for (const TroubleEvent& t : s_.troubles) {
      if (t.kind == Trouble::kHotCaller) plan_hot_caller(t);
      world_.at(begin_ + t.at, [this, t] { begin_trouble(t); });
    }
    TimeUs end = begin_ + s_.length_us;
    for (const TroubleEvent& t : s_.troubles) {
      const int turns = t.kind == Trouble::kDeploy        ? s_.nodes
                        : t.kind == Trouble::kGatewayRoll ? s_.gateways
                                                          : 1;
      end = std::max(end, begin_ + t.at + t.how_long * turns);
    }
    TimeUs look_at = end + kLookUs;
    end += kQuietUs;
    const auto stopped = [&] { return options_.stop_at_finding && !observer_.findings().empty(); };
    while (!stopped() && world_.step() && world_.now() <= end) {
      check_step();
      if (world_.now() < look_at) continue;
      look_at += kLookUs;
      if (unrest().empty()) break;
    }
    // The world is quiet: every table must be empty, and nothing held for ever.
    if (!stopped())
      for (const std::string& what : unrest()) observer_.broken(what);
    observer_.close();
    observer_.after_step();

    RunResult result;
    result.findings = observer_.findings();
    result.account = account_.text();
    result.digest = account_.digest();
    result.lines = account_.lines();
    result.steps = world_.steps();
    result.simulated_us = world_.now() - begin_;
    result.ends = observer_.ends();
    result.attempts = observer_.rules().attempts();
    for (const Gateway& g : gateways_) {
      if (!g.core) continue;
      const dispatch::DispatcherCounters& c = g.core->dispatcher().counters();
      result.streams += c.streamed_responses;
      result.bound_reached += c.buffer_limit_reached;
      result.left_unread += c.disconnected_unread;
    }
    result.plans = observer_.plans_made();
    result.further_attempts = observer_.rules().further_attempts();
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
    // As the register has it.
    EndpointState state = EndpointState::kReady;
    TimeUs started_at = 0;
    int zone = 0, cell = 0;
    uint64_t life = 0;
    bool up() const { return stand_in != nullptr; }
  };
  struct Gateway {
    int index = 0;
    std::string name;
    std::shared_ptr<Actor> actor;
    std::unique_ptr<AccountLog> log;
    std::unique_ptr<rpc::ChannelFactory> channels;
    std::unique_ptr<DefectiveParts> parts;
    std::unique_ptr<service::GatewayCore> core;
    std::shared_ptr<Network::Listener> listener;
    uint64_t life = 0, lists = 0;
    std::map<std::string, EndpointState> heard;  // of each node, last
    TimeUs deaf_until = 0;                       // discovery is down
    std::vector<config::EngineConfig> cached;  // the list that its next start begins with; empty: the present
    TimeUs short_until = 0, doubled_until = 0;
  };
  struct Desk {
    std::shared_ptr<Actor> actor;
    std::unique_ptr<rpc::ChannelFactory> channels;
    std::vector<std::shared_ptr<flightsql::Client>> clients;  // by gateway
  };

  // ---- Making

  audit::AuditSettings audit_settings() const {
    audit::AuditSettings a;
    a.classes = config_.settings.classes;
    a.class_names = config_.class_names;
    a.rules = config_.settings;
    a.slack_us = 0;
    a.starts_are_told = true;
    for (int i = 0; i < s_.nodes; ++i) {
      audit::NodeFacts f;
      f.name = node_name(i);
      f.zone = i % s_.zones;
      f.cell = i / 2;
      f.cores = s_.cores;
      f.cold_from = config_.settings.slow_start_min_capacity_fraction;
      f.warm_after_us = config_.settings.slow_start_duration_us;
      a.nodes.push_back(f);
    }
    return a;
  }

  void add_node(int i) {
    Node n;
    n.name = node_name(i);
    n.config.name = n.name;
    n.config.progress_every_us = 400 * kMs;
    n.config.report_every_us = 100 * kMs;
    n.config.batch_bytes = 4096;
    nodes::EngineSettings& e = n.config.engine;
    e.cores = s_.cores;
    e.memory_mb = 8192;
    e.fall_multiple = config_.settings.collapse_load_multiple;
    e.fall_us = config_.settings.collapse_window_us;
    n.zone = i % s_.zones;
    n.cell = i / 2;
    nodes_.push_back(std::move(n));
    start(nodes_.back());
    nodes_.back().started_at = 0;  // long ago: it is warm
  }

  void start(Node& n) {
    n.actor = Actor::make(world_, n.name);
    const bool first = n.life++ == 0;
    nodes::NodeConfig config = n.config;
    if (!first) {
      config.engine.cold_from = config_.settings.slow_start_min_capacity_fraction;
      config.engine.warm_after_us = config_.settings.slow_start_duration_us;
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

  void kill(Node& n, bool no_word) {
    if (!n.up()) return;
    observer_.node_down(n.name);
    n.actor->kill();
    network_.died(n.name, no_word);
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
    observer_.gateway_up(g.name);
    ++g.life;
    g.actor = Actor::make(world_, g.name);
    g.log = std::make_unique<AccountLog>(world_, observer_, g.name);
    g.channels = network_.channels(g.actor);
    g.heard.clear();
    config::GatewayConfig config = config_;
    config.name = g.name;
    config.settings.gateway_index = g.index;
    config.settings.zone = g.index % s_.zones;
    config.engines = g.cached.empty() ? list_for(g) : std::exchange(g.cached, {});
    tell_observer(g, config.engines);
    RandomStream random = world_.stream("gateway/" + g.name + "/" + std::to_string(g.life));
    const auto seeds = service::GatewaySeeds::draw([&random] { return random.next(); });
    g.parts = std::make_unique<DefectiveParts>(options_.defect, *g.actor);
    g.parts->spoil(&config);
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

  // A dead gateway's coroutines unwind where nothing of them is seen any more.
  void kill(Gateway& g) {
    if (!g.core) return;
    observer_.gateway_down(g.name);
    g.actor->kill();
    network_.died(g.name, false);
    network_.close(g.listener);
    world_.settle();
    bool quiet = false;
    for (int i = 0; i < 100 && !quiet; ++i) {
      quiet = g.core->cancel_attempts();
      world_.settle();
    }
    // Its coroutines would run into what is gone.
    if (!quiet)
      throw std::logic_error(g.name + " died and " + std::to_string(g.core->engine_client().busy()) +
                             " of its attempts never unwind");
    g.core.reset();
    g.parts.reset();
    g.channels.reset();
  }

  void add_desk(int i) {
    Desk d;
    d.actor = Actor::make(world_, "desk" + std::to_string(i));
    d.channels = network_.channels(d.actor);
    for (int g = 0; g < s_.gateways; ++g)
      d.clients.push_back(std::make_shared<flightsql::Client>(d.channels->open(gateway_name(g)), *d.actor));
    desks_.push_back(std::move(d));
  }

  // ---- The list of nodes

  std::vector<config::EngineConfig> list_for(const Gateway& g) const {
    std::vector<config::EngineConfig> list;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      const Node& n = nodes_[i];
      if (n.state == EndpointState::kRemoved) continue;
      if (world_.now() < g.short_until && (i + g.index) % 3 == 0) continue;
      config::EngineConfig entry;
      entry.name = entry.address = n.name;
      entry.state = n.state;
      entry.cell = n.cell;
      entry.zone = n.zone;
      entry.started_at = n.started_at;
      list.push_back(entry);
      if (world_.now() < g.doubled_until && i % 4 == 1) list.push_back(entry);
    }
    return list;
  }

  // The register has changed: each gateway hears of it in its own time.
  void publish() {
    for (Gateway& g : gateways_)
      if (g.core) schedule_list(g);
  }

  void schedule_list(Gateway& g) {
    RandomStream random = world_.stream("list/" + g.name + "/" + std::to_string(++g.lists));
    const TimeUs after = random.between(5 * kMs, 60 * kMs);
    const TimeUs at = std::max(world_.now() + after, g.deaf_until);
    world_.at(at, [this, &g, life = g.life] {
      if (!g.core || g.life != life) return;
      g.actor->deliver([this, &g, life] {
        if (!g.core || g.life != life) return;
        if (world_.now() < g.deaf_until) {
          schedule_list(g);
          return;
        }
        std::vector<config::EngineConfig> list = list_for(g);
        tell_observer(g, list);
        g.parts->spoil(&list);
        g.core->update_endpoints(list);
      });
    });
  }

  void tell_observer(Gateway& g, const std::vector<config::EngineConfig>& list) {
    std::map<std::string, EndpointState> now;
    for (const Node& n : nodes_) now[n.name] = EndpointState::kRemoved;
    for (const config::EngineConfig& n : list) {
      now[n.name] = n.state;
      for (const Node& node : nodes_)
        if (node.name == n.name && node.started_at == n.started_at) observer_.told_start(g.name, n.name);
    }
    for (const auto& [name, state] : now) {
      const auto before = g.heard.find(name);
      const bool ready = state == EndpointState::kReady;
      const bool was_ready = before != g.heard.end() && before->second == EndpointState::kReady;
      if (ready && !was_ready) observer_.told_ready(g.name, name);
      if (!ready && (was_ready || before == g.heard.end())) observer_.told_leaves(g.name, name);
    }
    g.heard = std::move(now);
  }

  // ---- Clients

  void plan(const RequestEvent& r) {
    world_.at(begin_ + r.at, [this, r] {
      Desk& desk = desks_[r.desk % desks_.size()];
      boost::asio::co_spawn(world_.executor(), client(r, desk), boost::asio::detached);
    });
  }

  void plan_hot_caller(const TroubleEvent& t) {
    for (int i = 0; i < static_cast<int>(t.value); ++i) {
      RandomStream random(s_.seed, "hot/" + std::to_string(t.number) + "/" + std::to_string(i));
      RequestEvent r;
      r.number = 1'000'000'000 + t.number * 100'000 + static_cast<uint64_t>(i);
      r.at = t.at + random.between(0, t.how_long);
      r.desk = t.target;
      r.gateway = t.second;
      r.cls = t.target % 2 == 0 ? "ordered" : "keyed";
      r.key = "hot" + std::to_string(t.number);
      r.work_us = 20'000;
      r.patience_us = 2 * kSecond;
      plan(r);
    }
  }

  bool impatient() const { return world_.now() < impatient_until_; }

  static std::string statement(const RequestEvent& r) {
    char hint[300];
    std::snprintf(
        hint, sizeof(hint), "/*+ work=%.0fus threads=%g memory=%.0f rows=%d row_bytes=%zu%s%s%s%s%s */",
        r.work_us, r.threads, r.memory_mb, r.rows, r.row_bytes,
        r.mishap.empty() ? "" : " mishap=", r.mishap.c_str(), r.mishap.empty() ? "" : " on_attempt=0",
        r.plan_mishap.empty() ? "" : " plan_mishap=", r.plan_mishap.c_str());
    return "SELECT " + r.select + " FROM gallery " + std::string(hint);
  }

  rpc::Awaitable<void> client(RequestEvent r, Desk& desk) {
    size_t gateway = static_cast<size_t>(r.gateway) % gateways_.size();
    const std::string sql = statement(r);
    TimeUs left = r.patience_us;
    ++clients_out_;
    for (int turn = 0; turn < r.tries && left > 0; ++turn) {
      audit::ClientRecord c;
      c.tag = "q" + std::to_string(r.number) + "-" + std::to_string(turn);
      c.gateway = gateway_name(static_cast<int>(gateway));
      c.cls = config_.class_index(r.cls);
      c.key = r.key;
      c.asked_work_us = r.work_us;
      c.asked_at = world_.now();
      c.due_at = c.asked_at + left;
      flightsql::ClientOptions o;
      o.timeout_us = left;
      o.dial_timeout_us = std::min<TimeUs>(left, 300 * kMs);
      o.headers.emplace_back("x-class", r.cls);
      o.headers.emplace_back(std::string(flightsql::kClientTagKey), c.tag);
      if (!r.key.empty()) o.headers.emplace_back("x-order-key", r.key);
      o.read_every_us = r.read_every_us;
      if (r.stops_after >= 0) o.stops_after = r.stops_after;
      c.late_ok = r.read_every_us > 0 || r.stops_after >= 0;  // its own doing
      const auto left_early = std::make_shared<bool>(false);
      TimeUs leaves_after = turn == 0 ? r.leaves_after_us : 0;
      if (turn == 0 && impatient()) leaves_after = std::max<TimeUs>(left / 8, 1);
      if (leaves_after > 0) {
        o.cancel = std::make_shared<flightsql::Canceller>();
        desk.actor->call_after(leaves_after, [cancel = o.cancel, left_early] {
          *left_early = true;
          cancel->cancel_all();
        });
      }
      observer_.asks(c, sql);
      const std::shared_ptr<flightsql::Client> to = desk.clients[gateway];
      std::string text = sql;
      const auto check = std::make_shared<nodes::AnswerCheck>(sql);
      flightsql::Client::OnBatch read = [check](const auto& schema, const auto& batch) {
        check->on_batch(schema, batch);
      };
      const flightsql::QueryResult result =
          co_await to->query(std::move(text), std::move(o), std::move(read));
      const bool served = result.from_gateway && result.verdict == dispatch::RequestStatus::kServed;
      c.fault = check->fault(served);
      if (c.fault.empty() && result.has_schema && result.promised && *result.promised != result.schema)
        c.fault = "its columns aren't those that its ticket promised";
      if (c.fault.empty() && result.schema_changed) c.fault = "its columns are said to have changed";
      observer_.client_ends(c, result, *left_early);
      const bool promised = result.from_gateway && result.verdict == dispatch::RequestStatus::kRejected;
      // Without a promise that nothing ran, a client repeats only what bears it; one that left comes back.
      const bool bears = r.cls == "lookup" || r.cls == "report" || r.cls == "bound";
      if (served || !(promised || bears)) break;
      left = c.due_at - world_.now();
      const TimeUs wait = *left_early ? 0 : result.retry_after_us.value_or(50 * kMs);
      if (wait > 0) co_await sleep_for(*desk.actor, wait);
      left = c.due_at - world_.now();
      gateway = (gateway + 1) % gateways_.size();
    }
    --clients_out_;
  }

  // ---- Troubles

  Node& node_of(const TroubleEvent& t) { return nodes_[t.target % nodes_.size()]; }
  Gateway& gateway_of(int target) { return gateways_[target % gateways_.size()]; }

  void restart_later(Node& n, TimeUs after) {
    world_.after(after, [this, &n, life = n.life] {
      if (!n.up() && n.life == life) start(n);
    });
  }

  // A node is told to drain, ends after a time and comes back cold.
  void drain(Node& n, TimeUs how_long, bool late) {
    if (!n.up()) return;
    if (!late) {
      n.state = EndpointState::kDraining;
      publish();
    }
    n.stand_in->drain();
    world_.after(how_long, [this, &n, life = n.life] {
      if (!n.up() || n.life != life) return;
      n.state = EndpointState::kRemoved;
      publish();
      kill(n, false);
      restart_later(n, kRestartUs);
    });
  }

  void crash(Node& n, TimeUs how_long, bool no_word) {
    if (!n.up()) return;
    kill(n, no_word);
    // The register finds out after a while.
    world_.after(std::min<TimeUs>(how_long / 2, 500 * kMs), [this, &n, life = n.life] {
      if (n.up() || n.life != life) return;
      n.state = EndpointState::kRemoved;
      publish();
    });
    restart_later(n, how_long);
  }

  void crash(Gateway& g, TimeUs how_long) {
    if (!g.core) return;
    kill(g);
    world_.after(how_long, [this, &g, life = g.life] {
      if (!g.core && g.life == life) start(g);
    });
  }

  void fault(const TroubleEvent& t, nodes::FaultKind kind, double value = 1) {
    Node& n = node_of(t);
    if (n.up()) n.stand_in->begin_fault(kind, t.how_long, value);
  }

  // Begins something and ends it after the time.
  void spell(const TroubleEvent& t, const std::function<void(bool)>& set) {
    set(true);
    world_.after(t.how_long, [set] { set(false); });
  }

  void begin_trouble(const TroubleEvent& t) {
    world_.tell(std::string("trouble ") + trouble_name(t.kind) + " " + std::to_string(t.target) + "/" +
                std::to_string(t.second) + " for " + std::to_string(t.how_long) + " us");
    Node& n = node_of(t);
    const std::string pair_gateway = gateway_name(t.second % s_.gateways);
    Gateway& target_gateway = gateway_of(t.target);
    switch (t.kind) {
      case Trouble::kNodeCrash:
      case Trouble::kNodeSilence:
        crash(n, t.how_long, t.kind == Trouble::kNodeSilence);
        break;
      case Trouble::kNodeHang:
        fault(t, nodes::FaultKind::kHang);
        break;
      case Trouble::kNodeErrors:
        fault(t, nodes::FaultKind::kErrors);
        break;
      case Trouble::kNodeLost:
        fault(t, nodes::FaultKind::kLostAnswers);
        break;
      case Trouble::kNodeSlow:
        fault(t, nodes::FaultKind::kSlow, t.value);
        break;
      case Trouble::kNodeAgeing:
        for (int step = 1; step <= 4; ++step) {
          TroubleEvent part = t;
          part.how_long = t.how_long / 4;
          const double value = 1 + (t.value - 1) * step / 4;
          world_.after(part.how_long * (step - 1),
                       [this, part, value] { fault(part, nodes::FaultKind::kSlow, value); });
        }
        break;
      case Trouble::kNodeRefuses:
        fault(t, nodes::FaultKind::kRefuse);
        break;
      case Trouble::kMemoryShort:
        fault(t, nodes::FaultKind::kMemoryShort, t.value);
        break;
      case Trouble::kReportsStale:
        fault(t, nodes::FaultKind::kStaleReports);
        break;
      case Trouble::kDrain:
      case Trouble::kDrainLate:
        drain(n, t.how_long, t.kind == Trouble::kDrainLate);
        break;
      case Trouble::kDeploy:
        for (size_t i = 0; i < nodes_.size(); ++i)
          world_.after(t.how_long * static_cast<TimeUs>(i),
                       [this, i, t] { drain(nodes_[i], std::min<TimeUs>(t.how_long, 400 * kMs), false); });
        break;
      case Trouble::kZoneLoss:
        for (Node& each : nodes_)
          if (each.zone == t.target % s_.zones) crash(each, t.how_long, false);
        break;
      case Trouble::kAllDown:
        // They come back together, or one after the other: the first then has to bear the whole load, cold.
        for (size_t i = 0; i < nodes_.size(); ++i)
          crash(nodes_[i], t.how_long + (t.second % 2 != 0 ? static_cast<TimeUs>(i) * 300 * kMs : 0), false);
        break;
      case Trouble::kLinkSlow:
        spell(t, [this, name = n.name, by = static_cast<TimeUs>(t.value * kMs)](bool on) {
          network_.slow(name, on ? by : 0);
        });
        break;
      case Trouble::kLinkCut:
      case Trouble::kLinkStalls:
        network_.cut(pair_gateway, n.name, t.how_long, t.kind == Trouble::kLinkStalls);
        break;
      case Trouble::kReset:
        network_.reset(pair_gateway, n.name);
        break;
      case Trouble::kRefused:
        spell(t, [this, name = n.name](bool on) { network_.refuse(name, on); });
        network_.reset("", n.name);
        break;
      case Trouble::kSwallowed:
        spell(t, [this, name = n.name](bool on) { network_.swallow(name, on); });
        network_.reset("", n.name);
        break;
      case Trouble::kAnswerLost:
        network_.lose_answers(n.name, static_cast<int>(t.value));
        break;
      case Trouble::kGatewayCrash:
        crash(target_gateway, t.how_long);
        break;
      case Trouble::kStaleStart:
        if (!target_gateway.core) break;
        target_gateway.cached = list_for(target_gateway);
        target_gateway.deaf_until = world_.now() + t.how_long + static_cast<TimeUs>(t.value * kMs);
        crash(target_gateway, t.how_long);
        break;
      case Trouble::kGatewayRoll:
        for (size_t i = 0; i < gateways_.size(); ++i)
          world_.after(t.how_long * static_cast<TimeUs>(i), [this, i] { crash(gateways_[i], kRestartUs); });
        break;
      case Trouble::kGatewayStall:
        if (!target_gateway.core) break;
        observer_.gateway_stalls(target_gateway.name, world_.now() + t.how_long);
        target_gateway.actor->stall(t.how_long);
        break;
      case Trouble::kClockJump:
        if (!target_gateway.core) break;
        observer_.clock_jumps(target_gateway.name, t.how_long);
        target_gateway.actor->jump(t.how_long);
        break;
      case Trouble::kDiscoveryDown:
        target_gateway.deaf_until = world_.now() + t.how_long;
        break;
      case Trouble::kListShrinks:
      case Trouble::kListDoubles:
        (t.kind == Trouble::kListShrinks ? target_gateway.short_until : target_gateway.doubled_until) =
            world_.now() + t.how_long;
        if (target_gateway.core) schedule_list(target_gateway);
        world_.after(t.how_long, [this, &target_gateway] {
          if (target_gateway.core) schedule_list(target_gateway);
        });
        break;
      case Trouble::kHotCaller:
        break;  // planned at the beginning
      case Trouble::kImpatience:
        impatient_until_ = world_.now() + t.how_long;
        break;
      case Trouble::kClientReset:
        network_.reset("desk" + std::to_string(t.target % s_.desks), "");
        break;
    }
  }

  // ---- Promises besides the rules

  void check_step() {
    observer_.after_step();
    for (Gateway& g : gateways_) {
      if (!g.core) continue;
      const dispatch::RequestDispatcher& c = g.core->dispatcher();
      // What flows is bounded by each answer's window; a message that passes a bound is held whole.
      const size_t flowing = c.tracked_requests() * (config_.dispatcher.stream_window_bytes + kMessageBytes);
      if (c.buffered_bytes() > config_.dispatcher.total_buffer_bytes + kMessageBytes + flowing)
        observer_.broken(g.name + " holds " + std::to_string(c.buffered_bytes()) + " bytes");
      // Timers can't be revoked, so each request may leave a few that come for nothing.
      const size_t most = 200 + 8 * (s_.requests.size() + 100);
      if (g.actor->timers() > most)
        observer_.broken(g.name + " has " + std::to_string(g.actor->timers()) + " timers");
    }
  }

  // What hasn't come to its end.
  std::vector<std::string> unrest() const {
    std::vector<std::string> out;
    const auto empty = [&](const std::string& who, const char* what, size_t n) {
      if (n > 0) out.push_back(who + " still has " + std::to_string(n) + " " + what);
    };
    empty("the world", "clients", clients_out_);
    for (const Gateway& g : gateways_) {
      if (!g.core) continue;
      const dispatch::RequestDispatcher& c = g.core->dispatcher();
      empty(g.name, "requests", c.tracked_requests());
      empty(g.name, "requests without an answer", c.open_requests());
      empty(g.name, "bytes held", c.buffered_bytes());
      empty(g.name, "planning calls", g.core->server().columns().planning().calls_in_flight());
      empty(g.name, "clients that wait for plans", g.core->server().columns().planning().waiters());
      empty(g.name, "calls of clients", network_.running(g.listener));
      const size_t busy = g.core->engine_client().busy();
      if (busy > c.outstanding_health_checks()) empty(g.name, "attempts", busy);
    }
    for (const Node& n : nodes_)
      if (n.up() && !n.stand_in->fallen()) empty(n.name, "calls", network_.running(n.listener));
    return out;
  }

  const Scenario& s_;
  const RunOptions& options_;
  Account account_;
  World world_;
  const config::GatewayConfig config_;
  Observer observer_;
  Network network_;
  const TimeUs begin_;
  std::deque<Node> nodes_;
  std::deque<Gateway> gateways_;
  std::deque<Desk> desks_;
  TimeUs impatient_until_ = 0;
  size_t clients_out_ = 0;
};

}  // namespace

RunResult run(const Scenario& scenario, const RunOptions& options) {
  return Simulation(scenario, options).run();
}

void count_pairs(const Scenario& scenario, Pairs* pairs) {
  for (size_t i = 0; i < scenario.troubles.size(); ++i) {
    for (size_t k = i; k < scenario.troubles.size(); ++k) {
      const TroubleEvent& a = scenario.troubles[i];
      const TroubleEvent& b = scenario.troubles[k];
      if (i != k && (a.at > b.at + b.how_long || b.at > a.at + a.how_long)) continue;
      const int low = std::min(static_cast<int>(a.kind), static_cast<int>(b.kind));
      const int high = std::max(static_cast<int>(a.kind), static_cast<int>(b.kind));
      if (i != k || low != high) ++(*pairs)[low][high];
    }
  }
}

Scenario shrink(const Scenario& scenario, const RunOptions& options, int rule, int most_runs) {
  Scenario best = scenario;
  RunOptions quick = options;
  quick.keep_account = false;
  quick.stop_at_finding = true;
  int runs = 0;
  const auto breaks = [&](const Scenario& s) {
    ++runs;
    const RunResult r = run(s, quick);
    return std::any_of(r.findings.begin(), r.findings.end(), [&](const auto& f) { return f.rule == rule; });
  };
  // Leaves out ever smaller pieces of a list, as long as the same rule breaks.
  const auto thin = [&](auto member) {
    for (size_t piece = std::max<size_t>((best.*member).size() / 2, 1); piece > 0; piece /= 2) {
      for (size_t from = 0; from < (best.*member).size() && runs < most_runs;) {
        Scenario s = best;
        auto& list = s.*member;
        list.erase(list.begin() + static_cast<long>(from),
                   list.begin() + static_cast<long>(std::min(from + piece, list.size())));
        if (breaks(s))
          best = std::move(s);
        else
          from += piece;
      }
    }
  };
  thin(&Scenario::troubles);
  thin(&Scenario::requests);
  thin(&Scenario::troubles);
  return best;
}

}  // namespace sablelink::sim
