#include "badday/day.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include "badday/process.h"
#include "base/async_event.h"
#include "flightsql/client.h"
#include "flightsql/protocol.h"
#include "nodes/content.h"
#include "nodes/record_file.h"
#include "rpc/grpc_client.h"

namespace sablelink::badday {
namespace {

namespace asio = boost::asio;
using audit::ClientRecord;

constexpr TimeUs kReadyUs = 10'000'000;

class Day {
 public:
  Day(const Script& script, const DayOptions& options, const service::System& system)
      : script_(script),
        options_(options),
        loop_(system.wall, system.steady),
        channels_({}, loop_),
        random_(script.seed) {}

  DayResult run() {
    start_processes();
    clients_.open(path("clients.tsv"));
    clients_ << "tag\tgateway\tclass\tasked\tdue\tended\tend\tattempts\tstatus\tmessage\n";
    begin_ = loop_.now();
    std::thread troubles([this] { run_events(); });
    send_traffic();
    troubles.join();
    wait_for_clients();
    stop_processes();
    DayResult out;
    out.settings = settings();
    for (size_t i = 0; i < nodes_.size(); ++i)
      for (nodes::NodeEvent& e : nodes::read_records(record_of(i))) records_.nodes.push_back(std::move(e));
    out.report = audit::audit(out.settings, records_);
    out.trouble = trouble_;
    return out;
  }

 private:
  struct Node {
    config::EngineConfig entry;
    std::unique_ptr<Process> process;
  };
  struct Gateway {
    std::string listen;
    std::unique_ptr<Process> process;
    std::unique_ptr<flightsql::Client> client;
  };

  std::string path(const std::string& name) const { return options_.folder + "/" + name; }
  std::string record_of(size_t node) const { return path("n" + std::to_string(node) + ".rec"); }

  void write(const std::string& name, const std::string& text) {
    // Whole or not at all: a gateway may read it at any time.
    const std::string temporary = path(name + ".new");
    std::ofstream(temporary, std::ios::binary) << text;
    if (std::rename(temporary.c_str(), path(name).c_str()) != 0) fail("can't write " + path(name));
  }

  void fail(const std::string& what) {
    const std::lock_guard lock(mutex_);
    if (trouble_.empty()) trouble_ = what;
  }

  void start_node(size_t i, bool with_faults) {
    const std::string name = "n" + std::to_string(i);
    write(name + ".toml", node_toml(script_, nodes_[i].entry, record_of(i), with_faults));
    nodes_[i].process = std::make_unique<Process>(
        options_.program, std::vector<std::string>{"node", "--config", path(name + ".toml")},
        path(name + ".log"));
    if (!nodes_[i].process->wait_ready(kReadyUs))
      fail("node " + name + " didn't start; see " + path(name + ".log"));
  }

  void write_gateway(size_t i) {
    std::vector<config::EngineConfig> list;
    for (const Node& n : nodes_) list.push_back(n.entry);
    write("g" + std::to_string(i) + ".toml",
          gateway_toml(script_, static_cast<int>(i), gateways_[i].listen, list));
  }

  void start_gateway(size_t i) {
    const std::string name = "g" + std::to_string(i);
    write_gateway(i);
    gateways_[i].process = std::make_unique<Process>(
        options_.program, std::vector<std::string>{"gateway", "--config", path(name + ".toml")},
        path(name + ".log"));
    if (!gateways_[i].process->wait_ready(kReadyUs))
      fail("gateway " + name + " didn't start; see " + path(name + ".log"));
  }

  void start_processes() {
    nodes_.resize(script_.nodes);
    gateways_.resize(script_.gateways);
    for (size_t i = 0; i < nodes_.size(); ++i) {
      config::EngineConfig& entry = nodes_[i].entry;
      entry.name = "n" + std::to_string(i);
      entry.address = free_address();
      entry.zone = static_cast<int>(i % script_.zones);
      start_node(i, true);
    }
    for (size_t i = 0; i < gateways_.size(); ++i) {
      gateways_[i].listen = free_address();
      start_gateway(i);
      gateways_[i].client = std::make_unique<flightsql::Client>(channels_.open(gateways_[i].listen), loop_);
    }
  }

  void stop_processes() {
    for (Gateway& g : gateways_) g.process->signal(SIGTERM);
    for (size_t i = 0; i < gateways_.size(); ++i) {
      int status = 0;
      if (!gateways_[i].process->wait_end(40'000'000, &status))
        fail("gateway g" + std::to_string(i) + " didn't stop");
      else if (status != 0)
        fail("gateway g" + std::to_string(i) + " ended with status " + std::to_string(status));
      gateways_[i].client.reset();
    }
    for (Node& n : nodes_) n.process->signal(SIGTERM);
    for (Node& n : nodes_) n.process->wait_end(15'000'000);
  }

  // ---- Troubles

  // Tells all gateways the list as it stands. The time taken down is that before the first could know.
  void tell_gateways(const std::vector<int>& draining) {
    {
      const std::lock_guard lock(mutex_);
      for (size_t g = 0; g < gateways_.size(); ++g)
        for (const int n : draining)
          records_.unavailable.push_back({"g" + std::to_string(g), "n" + std::to_string(n), loop_.now()});
    }
    for (size_t g = 0; g < gateways_.size(); ++g) {
      write_gateway(g);
      gateways_[g].process->signal(SIGHUP);
    }
  }

  void deploy(const Event& e) {
    for (size_t from = 0; from < e.nodes.size(); from += e.batch) {
      const auto begin = static_cast<std::ptrdiff_t>(from);
      const auto end = static_cast<std::ptrdiff_t>(std::min(from + e.batch, e.nodes.size()));
      const std::vector<int> batch(e.nodes.begin() + begin, e.nodes.begin() + end);
      for (const int n : batch) nodes_[n].entry.state = EndpointState::kDraining;
      tell_gateways(batch);
      pause(e.drain_us);
      for (const int n : batch) nodes_[n].process->signal(SIGTERM);
      for (const int n : batch)
        if (!nodes_[n].process->wait_end(12'000'000)) fail("node n" + std::to_string(n) + " didn't stop");
      restart(batch);
    }
  }

  void restart(const std::vector<int>& batch) {
    for (const int n : batch) {
      const TimeUs at = loop_.now();
      start_node(n, false);
      nodes_[n].entry.started_at = at;
      nodes_[n].entry.state = EndpointState::kReady;
    }
    tell_gateways({});
  }

  void pause(TimeUs us) { std::this_thread::sleep_for(std::chrono::microseconds(us)); }

  void run_events() {
    // Each in a thread of its own, as they overlap; changes to lists are made one at a time.
    std::vector<std::thread> running;
    for (const Event& e : script_.events) {
      running.emplace_back([this, &e] {
        pause(std::max<TimeUs>(begin_ + e.at - loop_.now(), 0));
        switch (e.kind) {
          case Event::Kind::kDeploy: {
            const std::lock_guard lock(fleet_);
            deploy(e);
            break;
          }
          case Event::Kind::kKillNode: {
            for (const int n : e.nodes) {
              nodes_[n].process->kill();
              const std::lock_guard lock(mutex_);
              records_.node_kills.push_back({"n" + std::to_string(n), loop_.now()});
            }
            pause(e.for_us);
            const std::lock_guard lock(fleet_);
            restart(e.nodes);
            break;
          }
          case Event::Kind::kKillGateway: {
            const std::lock_guard fleet_lock(fleet_);
            audit::KillRecord kill{"g" + std::to_string(e.gateway), loop_.now(), 0};
            gateways_[e.gateway].process->kill();
            pause(e.for_us);
            start_gateway(e.gateway);
            kill.restarted_at = loop_.now();
            const std::lock_guard lock(mutex_);
            records_.kills.push_back(kill);
            break;
          }
          case Event::Kind::kBurst:
          case Event::Kind::kFault:
            break;  // part of the traffic, and of the nodes' own configurations
        }
      });
    }
    for (std::thread& t : running) t.join();
  }

  // ---- Traffic

  double uniform() { return std::uniform_real_distribution<double>()(random_); }

  double rate_at(TimeUs age) const {
    double rate = script_.rate;
    for (const Event& e : script_.events)
      if (e.kind == Event::Kind::kBurst && age >= e.at && age < e.at + e.for_us) rate *= e.value;
    return rate;
  }

  struct Planned {
    int traffic = 0;
    double work_us = 0;
    std::string key;
    size_t gateway = 0;
    double patience = 1;    // share of the class's deadline
    double leaves_at = -1;  // share of the patience; below 0: stays
    uint64_t number = 0;
  };

  // Open-loop: a query comes at its time, however the others fare.
  void send_traffic() {
    double at = 0;
    for (uint64_t number = 0;; ++number) {
      at += -std::log(1 - uniform()) * 1e6 / rate_at(static_cast<TimeUs>(at));
      if (at >= static_cast<double>(script_.length_us)) break;
      Planned p;
      p.number = number;
      double draw = uniform();
      while (p.traffic + 1 < static_cast<int>(script_.traffic.size()) &&
             draw >= script_.traffic[p.traffic].share)
        draw -= script_.traffic[p.traffic++].share;
      const Traffic& t = script_.traffic[p.traffic];
      const double z = std::normal_distribution<double>()(random_);
      p.work_us = t.work_us * std::exp(t.spread * z - t.spread * t.spread / 2);
      if (t.keys > 0) p.key = "k" + std::to_string(static_cast<int>(uniform() * t.keys));
      p.gateway = static_cast<size_t>(uniform() * static_cast<double>(gateways_.size()));
      p.patience = 0.8 + 0.2 * uniform();
      if (uniform() < t.leaves) p.leaves_at = 0.3 * uniform();
      pause(std::max<TimeUs>(begin_ + static_cast<TimeUs>(at) - loop_.now(), 0));
      ++running_;
      loop_.post([this, p] { asio::co_spawn(loop_.executor(), client(p), asio::detached); });
    }
  }

  rpc::Awaitable<void> client(Planned p) {
    const Traffic& t = script_.traffic[p.traffic];
    for (int turn = 0; turn < t.tries; ++turn) {
      ClientRecord r;
      r.cls = script_.gateway.class_index(t.cls);
      r.tag = "q" + std::to_string(p.number) + "-" + std::to_string(turn);
      r.gateway = "g" + std::to_string(p.gateway);
      r.key = p.key;
      r.requested_work_us = p.work_us;
      const auto patience =
          static_cast<TimeUs>(p.patience * script_.gateway.settings.classes[r.cls].request_timeout_us);
      flightsql::ClientOptions o;
      o.timeout_us = patience;
      o.connect_timeout_us = 300'000;
      o.headers.emplace_back("x-class", t.cls);
      o.headers.emplace_back(std::string(flightsql::kClientTagKey), r.tag);
      if (!p.key.empty()) o.headers.emplace_back("x-order-key", p.key);
      const bool leaves = p.leaves_at >= 0 && turn == 0;
      if (leaves) {
        o.canceller = std::make_shared<flightsql::CallCanceller>();
        loop_.call_after(static_cast<TimeUs>(p.leaves_at * static_cast<double>(patience)),
                         [cancel = o.canceller] { cancel->cancel_all(); });
      }
      std::string sql = statement(t, p);
      const std::string asked = sql;
      flightsql::Client& to = *gateways_[p.gateway].client;
      r.started_at = loop_.now();
      r.deadline = r.started_at + patience;
      const auto check = std::make_shared<nodes::AnswerCheck>(sql);
      flightsql::Client::OnBatch read = [check](const auto& schema, const auto& batch) {
        check->on_batch(schema, batch);
      };
      flightsql::QueryResult result;
      if (t.update)
        result = co_await to.update(std::move(sql), std::move(o));
      else
        result = co_await to.query(std::move(sql), std::move(o), std::move(read));
      r.ended_at = loop_.now();
      r.responses = result.from_gateway ? 1 : 0;
      if (!result.connected)
        r.end = ClientRecord::End::kUnreachable;
      else if (!result.from_gateway && leaves)
        r.end = ClientRecord::End::kCancelled;
      else if (!result.from_gateway)
        r.end = ClientRecord::End::kNoResponse;
      else
        r.end = audit::end_of(result.verdict);
      const bool served = r.end == ClientRecord::End::kServed;
      if (!t.update)
        r.response_error = check->fault(served);
      else if (served)
        r.response_error = nodes::AnswerCheck::update_fault(asked, result.updated_rows);
      {
        const std::lock_guard lock(mutex_);
        records_.clients.push_back(r);
        clients_ << r.tag << '\t' << r.gateway << '\t' << t.cls << '\t' << r.started_at - begin_ << '\t'
                 << r.deadline - begin_ << '\t' << r.ended_at - begin_ << '\t' << static_cast<int>(r.end)
                 << '\t' << result.attempts << '\t' << rpc::code_name(result.status.code) << '\t'
                 << result.status.message << '\n';
      }
      const bool again = r.end == ClientRecord::End::kRejected || r.end == ClientRecord::End::kUnreachable;
      if (!again || turn + 1 == t.tries) break;
      co_await sablelink::sleep_for(loop_, result.retry_after_us.value_or(200'000));
      p.gateway = (p.gateway + 1) % gateways_.size();
    }
    --running_;
  }

  // Most statements are of a few shapes; one in fifty is of its own.
  static std::string statement(const Traffic& t, const Planned& p) {
    static constexpr const char* kSelects[] = {"*", "id, label", "label, weight", "taken_at, id",
                                               "id, 'x', 5"};
    const std::string number = std::to_string(p.number);
    const std::string select = p.number % 50 == 49 ? "id, " + number : kSelects[p.number % 5];
    const double work_us = p.work_us;
    char hint[160];
    std::snprintf(hint, sizeof(hint), "/*+ work=%.0fus threads=%g memory=%g rows=%lld */", work_us, t.threads,
                  t.memory_mb, static_cast<long long>(t.rows));
    return (t.update ? std::string("UPDATE gallery SET seen = 1 ") : "SELECT " + select + " FROM gallery ") +
           std::string(hint) + " WHERE id = " + number;
  }

  void wait_for_clients() {
    TimeUs most = 0;
    for (const ClassSettings& c : script_.gateway.settings.classes)
      most = std::max(most, c.request_timeout_us);
    int tries = 1;
    for (const Traffic& t : script_.traffic) tries = std::max(tries, t.tries);
    const TimeUs until = loop_.now() + tries * (most + 5'000'000);
    while (running_ > 0 && loop_.now() < until) pause(10'000);
    if (running_ > 0) fail(std::to_string(running_.load()) + " clients never came to an end");
  }

  audit::AuditSettings settings() const {
    audit::AuditSettings s;
    s.classes = script_.gateway.settings.classes;
    s.class_names = script_.gateway.class_names;
    s.rules = script_.gateway.settings;
    s.slack_us = 100'000;  // processes share two cores with their clients
    for (const Node& n : nodes_) {
      audit::NodeInfo f;
      f.name = n.entry.name;
      f.zone = n.entry.zone;
      f.kind = n.entry.engine_type;
      f.cell = n.entry.cell;
      f.cores = script_.node.engine.cores;
      f.slow_start_min_capacity_fraction = script_.node.engine.cold_from;
      f.slow_start_duration_us = script_.node.engine.warm_after_us;
      s.nodes.push_back(f);
    }
    return s;
  }

  const Script& script_;
  const DayOptions& options_;
  rpc::GrpcLoop loop_;
  rpc::GrpcChannelFactory channels_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::vector<Gateway> gateways_;
  TimeUs begin_ = 0;
  std::atomic<int> running_{0};
  std::mutex fleet_;  // one trouble at a time changes processes and lists
  std::mutex mutex_;
  audit::Records records_;
  std::string trouble_;
  std::ofstream clients_;  // what each try came to, for people; guarded by mutex_
};

}  // namespace

DayResult run_day(const Script& script, const DayOptions& options, const service::System& system) {
  return Day(script, options, system).run();
}

}  // namespace sablelink::badday
