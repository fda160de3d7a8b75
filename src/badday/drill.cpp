#include "badday/drill.h"

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

constexpr TimeUs kStartupTimeoutUs = 10'000'000;

class Drill {
 public:
  Drill(const Script& script, const DrillOptions& options, const service::System& system)
      : script_(script),
        options_(options),
        loop_(system.wall, system.steady),
        channels_({}, loop_),
        random_(script.seed) {}

  DrillResult run() {
    start_processes();
    client_log_.open(path("clients.tsv"));
    client_log_ << "tag\tgateway\tclass\tasked\tdue\tended\tend\tattempts\tstatus\tmessage\n";
    started_at_ = loop_.now();
    std::thread events([this] { run_events(); });
    send_traffic();
    events.join();
    wait_for_clients();
    stop_processes();
    DrillResult out;
    out.settings = audit_settings();
    for (size_t i = 0; i < nodes_.size(); ++i)
      for (nodes::NodeEvent& e : nodes::read_records(record_path(i))) records_.nodes.push_back(std::move(e));
    out.report = audit::audit(out.settings, records_);
    out.failure = failure_;
    return out;
  }

 private:
  struct Node {
    config::EngineConfig engine_config;
    std::unique_ptr<Process> process;
  };
  struct Gateway {
    std::string listen;
    std::unique_ptr<Process> process;
    std::unique_ptr<flightsql::Client> client;
  };

  std::string path(const std::string& name) const { return options_.folder + "/" + name; }
  std::string record_path(size_t node) const { return path("n" + std::to_string(node) + ".rec"); }

  void write_file(const std::string& name, const std::string& text) {
    // Replaces the file atomically, as a gateway may read it at any time.
    const std::string temporary = path(name + ".new");
    std::ofstream(temporary, std::ios::binary) << text;
    if (std::rename(temporary.c_str(), path(name).c_str()) != 0) record_failure("can't write " + path(name));
  }

  void record_failure(const std::string& what) {
    const std::lock_guard lock(records_mutex_);
    if (failure_.empty()) failure_ = what;
  }

  void start_node(size_t i, bool with_faults) {
    const std::string name = "n" + std::to_string(i);
    write_file(name + ".toml", node_toml(script_, nodes_[i].engine_config, record_path(i), with_faults));
    nodes_[i].process = std::make_unique<Process>(
        options_.program, std::vector<std::string>{"node", "--config", path(name + ".toml")},
        path(name + ".log"));
    if (!nodes_[i].process->wait_ready(kStartupTimeoutUs))
      record_failure("node " + name + " didn't start; see " + path(name + ".log"));
  }

  void write_gateway_config(size_t i) {
    std::vector<config::EngineConfig> node_list;
    for (const Node& n : nodes_) node_list.push_back(n.engine_config);
    write_file("g" + std::to_string(i) + ".toml",
               gateway_toml(script_, static_cast<int>(i), gateways_[i].listen, node_list));
  }

  void start_gateway(size_t i) {
    const std::string name = "g" + std::to_string(i);
    write_gateway_config(i);
    gateways_[i].process = std::make_unique<Process>(
        options_.program, std::vector<std::string>{"gateway", "--config", path(name + ".toml")},
        path(name + ".log"));
    if (!gateways_[i].process->wait_ready(kStartupTimeoutUs))
      record_failure("gateway " + name + " didn't start; see " + path(name + ".log"));
  }

  void start_processes() {
    nodes_.resize(script_.nodes);
    gateways_.resize(script_.gateways);
    for (size_t i = 0; i < nodes_.size(); ++i) {
      config::EngineConfig& engine_config = nodes_[i].engine_config;
      engine_config.name = "n" + std::to_string(i);
      engine_config.address = free_address();
      engine_config.zone = static_cast<int>(i % script_.zones);
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
      if (!gateways_[i].process->wait_exit(40'000'000, &status))
        record_failure("gateway g" + std::to_string(i) + " didn't stop");
      else if (status != 0)
        record_failure("gateway g" + std::to_string(i) + " ended with status " + std::to_string(status));
      gateways_[i].client.reset();
    }
    for (Node& n : nodes_) n.process->signal(SIGTERM);
    for (Node& n : nodes_) n.process->wait_exit(15'000'000);
  }

  // ---- Events

  // Sends the current list of nodes to all gateways. The time recorded for draining nodes is before any
  // gateway can know the list.
  void publish_node_list(const std::vector<int>& draining) {
    {
      const std::lock_guard lock(records_mutex_);
      for (size_t g = 0; g < gateways_.size(); ++g)
        for (const int n : draining)
          records_.unavailable.push_back({"g" + std::to_string(g), "n" + std::to_string(n), loop_.now()});
    }
    for (size_t g = 0; g < gateways_.size(); ++g) {
      write_gateway_config(g);
      gateways_[g].process->signal(SIGHUP);
    }
  }

  void deploy(const Event& e) {
    for (size_t first = 0; first < e.nodes.size(); first += e.batch_size) {
      const auto begin = static_cast<std::ptrdiff_t>(first);
      const auto end = static_cast<std::ptrdiff_t>(std::min(first + e.batch_size, e.nodes.size()));
      const std::vector<int> batch(e.nodes.begin() + begin, e.nodes.begin() + end);
      for (const int n : batch) nodes_[n].engine_config.state = EndpointState::kDraining;
      publish_node_list(batch);
      block_for(e.drain_us);
      for (const int n : batch) nodes_[n].process->signal(SIGTERM);
      for (const int n : batch)
        if (!nodes_[n].process->wait_exit(12'000'000))
          record_failure("node n" + std::to_string(n) + " didn't stop");
      restart(batch);
    }
  }

  void restart(const std::vector<int>& batch) {
    for (const int n : batch) {
      const TimeUs at = loop_.now();
      start_node(n, false);
      nodes_[n].engine_config.started_at = at;
      nodes_[n].engine_config.state = EndpointState::kReady;
    }
    publish_node_list({});
  }

  void block_for(TimeUs us) { std::this_thread::sleep_for(std::chrono::microseconds(us)); }

  void run_events() {
    // Events overlap, so each runs in its own thread. fleet_mutex_ serializes the changes to processes and
    // lists.
    std::vector<std::thread> event_threads;
    for (const Event& e : script_.events) {
      event_threads.emplace_back([this, &e] {
        block_for(std::max<TimeUs>(started_at_ + e.at - loop_.now(), 0));
        switch (e.kind) {
          case Event::Kind::kDeploy: {
            const std::lock_guard lock(fleet_mutex_);
            deploy(e);
            break;
          }
          case Event::Kind::kKillNode: {
            for (const int n : e.nodes) {
              nodes_[n].process->kill();
              const std::lock_guard lock(records_mutex_);
              records_.node_kills.push_back({"n" + std::to_string(n), loop_.now()});
            }
            block_for(e.duration_us);
            const std::lock_guard lock(fleet_mutex_);
            restart(e.nodes);
            break;
          }
          case Event::Kind::kKillGateway: {
            const std::lock_guard fleet_lock(fleet_mutex_);
            audit::KillRecord kill{"g" + std::to_string(e.gateway), loop_.now(), 0};
            gateways_[e.gateway].process->kill();
            block_for(e.duration_us);
            start_gateway(e.gateway);
            kill.restarted_at = loop_.now();
            const std::lock_guard lock(records_mutex_);
            records_.kills.push_back(kill);
            break;
          }
          case Event::Kind::kBurst:
          case Event::Kind::kFault:
            break;  // applied by rate_at() and by the configurations of the nodes
        }
      });
    }
    for (std::thread& t : event_threads) t.join();
  }

  // ---- Traffic

  double uniform() { return std::uniform_real_distribution<double>()(random_); }

  double rate_at(TimeUs age) const {
    double rate = script_.rate;
    for (const Event& e : script_.events)
      if (e.kind == Event::Kind::kBurst && age >= e.at && age < e.at + e.duration_us) rate *= e.value;
    return rate;
  }

  struct PlannedRequest {
    int traffic_index = 0;
    double work_us = 0;
    std::string key;
    size_t gateway = 0;
    double timeout_fraction = 1;     // the client's timeout, as a fraction of the timeout of the class
    double cancel_at_fraction = -1;  // when the client cancels, as a fraction of its timeout; below 0: never
    uint64_t number = 0;
  };

  // Open loop: requests are sent at their random times regardless of the progress of earlier ones.
  void send_traffic() {
    double at = 0;
    for (uint64_t number = 0;; ++number) {
      at += -std::log(1 - uniform()) * 1e6 / rate_at(static_cast<TimeUs>(at));
      if (at >= static_cast<double>(script_.length_us)) break;
      PlannedRequest request;
      request.number = number;
      double remaining_fraction = uniform();
      while (request.traffic_index + 1 < static_cast<int>(script_.traffic.size()) &&
             remaining_fraction >= script_.traffic[request.traffic_index].request_fraction)
        remaining_fraction -= script_.traffic[request.traffic_index++].request_fraction;
      const Traffic& t = script_.traffic[request.traffic_index];
      const double normal = std::normal_distribution<double>()(random_);
      request.work_us = t.mean_work_us * std::exp(t.work_sigma * normal - t.work_sigma * t.work_sigma / 2);
      if (t.ordering_key_count > 0)
        request.key = "k" + std::to_string(static_cast<int>(uniform() * t.ordering_key_count));
      request.gateway = static_cast<size_t>(uniform() * static_cast<double>(gateways_.size()));
      request.timeout_fraction = 0.8 + 0.2 * uniform();
      if (uniform() < t.cancel_fraction) request.cancel_at_fraction = 0.3 * uniform();
      block_for(std::max<TimeUs>(started_at_ + static_cast<TimeUs>(at) - loop_.now(), 0));
      ++open_clients_;
      loop_.post([this, request] { asio::co_spawn(loop_.executor(), run_client(request), asio::detached); });
    }
  }

  rpc::Awaitable<void> run_client(PlannedRequest request) {
    const Traffic& t = script_.traffic[request.traffic_index];
    for (int submission = 0; submission < t.max_submissions; ++submission) {
      ClientRecord record;
      record.cls = script_.gateway.class_index(t.class_name);
      record.tag = "q" + std::to_string(request.number) + "-" + std::to_string(submission);
      record.gateway = "g" + std::to_string(request.gateway);
      record.key = request.key;
      record.requested_work_us = request.work_us;
      const auto timeout_us = static_cast<TimeUs>(
          request.timeout_fraction * script_.gateway.settings.classes[record.cls].request_timeout_us);
      flightsql::ClientOptions options;
      options.timeout_us = timeout_us;
      options.connect_timeout_us = 300'000;
      options.headers.emplace_back("x-class", t.class_name);
      options.headers.emplace_back(std::string(flightsql::kClientTagKey), record.tag);
      if (!request.key.empty()) options.headers.emplace_back("x-order-key", request.key);
      const bool cancels = request.cancel_at_fraction >= 0 && submission == 0;
      if (cancels) {
        options.canceller = std::make_shared<flightsql::CallCanceller>();
        loop_.call_after(static_cast<TimeUs>(request.cancel_at_fraction * static_cast<double>(timeout_us)),
                         [cancel = options.canceller] { cancel->cancel_all(); });
      }
      std::string sql = statement_for(t, request);
      const std::string sent_sql = sql;
      flightsql::Client& gateway_client = *gateways_[request.gateway].client;
      record.started_at = loop_.now();
      record.deadline = record.started_at + timeout_us;
      const auto check = std::make_shared<nodes::ResponseCheck>(sql);
      flightsql::Client::OnBatch on_batch = [check](const auto& schema, const auto& batch) {
        check->on_batch(schema, batch);
      };
      flightsql::QueryResult result;
      if (t.update)
        result = co_await gateway_client.update(std::move(sql), std::move(options));
      else
        result = co_await gateway_client.query(std::move(sql), std::move(options), std::move(on_batch));
      record.ended_at = loop_.now();
      record.responses = result.from_gateway ? 1 : 0;
      if (!result.connected)
        record.end = ClientRecord::End::kUnreachable;
      else if (!result.from_gateway && cancels)
        record.end = ClientRecord::End::kCancelled;
      else if (!result.from_gateway)
        record.end = ClientRecord::End::kNoResponse;
      else
        record.end = audit::end_of(result.verdict);
      const bool served = record.end == ClientRecord::End::kServed;
      if (!t.update)
        record.response_error = check->error(served);
      else if (served)
        record.response_error = nodes::ResponseCheck::update_error(sent_sql, result.updated_rows);
      {
        const std::lock_guard lock(records_mutex_);
        records_.clients.push_back(record);
        client_log_ << record.tag << '\t' << record.gateway << '\t' << t.class_name << '\t'
                    << record.started_at - started_at_ << '\t' << record.deadline - started_at_ << '\t'
                    << record.ended_at - started_at_ << '\t' << static_cast<int>(record.end) << '\t'
                    << result.attempts << '\t' << rpc::code_name(result.status.code) << '\t'
                    << result.status.message << '\n';
      }
      const bool resubmit =
          record.end == ClientRecord::End::kRejected || record.end == ClientRecord::End::kUnreachable;
      if (!resubmit || submission + 1 == t.max_submissions) break;
      co_await sablelink::sleep_for(loop_, result.retry_after_us.value_or(200'000));
      request.gateway = (request.gateway + 1) % gateways_.size();
    }
    --open_clients_;
  }

  // Most statements have one of a few select lists; one in fifty has a select list of its own.
  static std::string statement_for(const Traffic& t, const PlannedRequest& request) {
    static constexpr const char* kSelects[] = {"*", "id, label", "label, weight", "taken_at, id",
                                               "id, 'x', 5"};
    const std::string number = std::to_string(request.number);
    const std::string select = request.number % 50 == 49 ? "id, " + number : kSelects[request.number % 5];
    const double work_us = request.work_us;
    char hint[160];
    std::snprintf(hint, sizeof(hint), "/*+ work=%.0fus threads=%g memory=%g rows=%lld */", work_us, t.threads,
                  t.memory_mb, static_cast<long long>(t.rows));
    return (t.update ? std::string("UPDATE gallery SET seen = 1 ") : "SELECT " + select + " FROM gallery ") +
           std::string(hint) + " WHERE id = " + number;
  }

  void wait_for_clients() {
    TimeUs max_timeout_us = 0;
    for (const ClassSettings& c : script_.gateway.settings.classes)
      max_timeout_us = std::max(max_timeout_us, c.request_timeout_us);
    int max_submissions = 1;
    for (const Traffic& t : script_.traffic) max_submissions = std::max(max_submissions, t.max_submissions);
    const TimeUs deadline = loop_.now() + max_submissions * (max_timeout_us + 5'000'000);
    while (open_clients_ > 0 && loop_.now() < deadline) block_for(10'000);
    if (open_clients_ > 0)
      record_failure(std::to_string(open_clients_.load()) + " clients are still unfinished");
  }

  audit::AuditSettings audit_settings() const {
    audit::AuditSettings s;
    s.classes = script_.gateway.settings.classes;
    s.class_names = script_.gateway.class_names;
    s.rules = script_.gateway.settings;
    s.slack_us = 100'000;  // scheduling delays: all processes share two cores with the clients
    for (const Node& n : nodes_) {
      audit::NodeInfo f;
      f.name = n.engine_config.name;
      f.zone = n.engine_config.zone;
      f.kind = n.engine_config.engine_type;
      f.cell = n.engine_config.cell;
      f.cores = script_.node.engine.cores;
      f.slow_start_min_capacity_fraction = script_.node.engine.slow_start_min_capacity_fraction;
      f.slow_start_duration_us = script_.node.engine.slow_start_duration_us;
      s.nodes.push_back(f);
    }
    return s;
  }

  const Script& script_;
  const DrillOptions& options_;
  rpc::GrpcLoop loop_;
  rpc::GrpcChannelFactory channels_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::vector<Gateway> gateways_;
  TimeUs started_at_ = 0;
  std::atomic<int> open_clients_{0};
  std::mutex fleet_mutex_;    // held by events while they change processes and lists of nodes
  std::mutex records_mutex_;  // guards records_, failure_ and client_log_
  audit::Records records_;
  std::string failure_;
  std::ofstream client_log_;  // one line per submission of a request, for readers of the report
};

}  // namespace

DrillResult run_drill(const Script& script, const DrillOptions& options, const service::System& system) {
  return Drill(script, options, system).run();
}

}  // namespace sablelink::badday
