// A workload manager with a manually advanced clock and a delegate that records all calls.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"
#include "workload/workload_manager.h"

namespace sablelink::test {

constexpr TimeUs kMs = 1000;
constexpr TimeUs kSecond = 1000 * kMs;

struct Action {
  enum Kind { kSetHints, kSend, kCancel, kReject, kFail, kWatchEndpoints, kCheckHealth, kOther } kind;
  TimeUs at = 0;
  RequestId id = 0;
  EngineId engine = 0;
  double value = 0;  // attempt, retry-after, priority or timeout, by kind
  double grant_mb = 0;
};

/// The manager and its delegate, which records each call.
class ManagerHarness : public WorkloadManagerDelegate {
 public:
  explicit ManagerHarness(Settings settings, TimeUs now = 100 * kSecond, uint64_t seed = 42)
      : now_(now), manager_(std::move(settings), seed) {
    manager_.on_start(now_, *this);
  }

  void set_execution_hints(RequestId id, int priority, double grant_mb) override {
    record({Action::kSetHints, now_, id, 0, double(priority), grant_mb});
  }
  void send_attempt(RequestId id, EngineId engine, TimeUs timeout_us) override {
    record({Action::kSend, now_, id, engine, double(timeout_us), 0});
  }
  void cancel_attempt(RequestId id, int attempt) override {
    record({Action::kCancel, now_, id, 0, double(attempt), 0});
  }
  void reject(RequestId id, TimeUs retry_after_us) override {
    record({Action::kReject, now_, id, 0, double(retry_after_us), 0});
  }
  void fail(RequestId id) override { record({Action::kFail, now_, id, 0, 0, 0}); }
  void set_timer(TimeUs delay_us, uint32_t token) override { timers_.emplace_back(now_ + delay_us, token); }
  void watch_endpoints(bool enabled) override {
    record({Action::kWatchEndpoints, now_, 0, 0, double(enabled), 0});
  }
  void fetch_endpoints() override { record({Action::kOther, now_, 0, 0, 0, 0}); }
  void check_health(EngineId engine) override { record({Action::kCheckHealth, now_, 0, engine, 0, 0}); }
  void close_idle_connections(EngineId engine) override { record({Action::kOther, now_, 0, engine, 0, 0}); }
  void send_gossip(uint32_t, std::string_view) override { record({Action::kOther, now_, 0, 0, 0, 0}); }
  void log(std::string_view line) override { logs.emplace_back(line); }

  /// Advances the clock in steps of 5 ms and fires the timers that are due.
  void run_for(TimeUs duration_us) {
    const TimeUs end = now_ + duration_us;
    while (now_ < end) {
      now_ = std::min(end, now_ + 5 * kMs);
      std::vector<std::pair<TimeUs, uint32_t>> due;
      std::erase_if(timers_, [&](const auto& t) {
        if (t.first > now_) return false;
        due.push_back(t);
        return true;
      });
      for (const auto& [at, token] : due) manager_.on_timer(now_, token, *this);
    }
  }
  /// Advances the clock without any event, like a stalled process.
  void stall(TimeUs duration_us) { now_ += duration_us; }
  TimeUs now() const { return now_; }

  void update_endpoints(const std::vector<Endpoint>& endpoints,
                        EndpointUpdateKind kind = EndpointUpdateKind::kFull) {
    manager_.on_endpoints_changed(now_, kind, endpoints, *this);
  }
  void request(RequestId id, int class_index, TimeUs timeout_us, double cost_us = -1,
               int64_t table_group = -1, uint64_t key = 0) {
    QueryRequest new_request;
    new_request.id = id;
    new_request.class_index = class_index;
    new_request.deadline = now_ + timeout_us;
    if (cost_us >= 0) new_request.estimated_cost_us = cost_us;
    new_request.table_group = table_group;
    new_request.key = key;
    manager_.on_request(now_, new_request, *this);
  }
  /// Completes the request's latest attempt; no load report is sent if in_flight is negative.
  void complete_attempt(RequestId id, Outcome outcome, double work_us = -1, double in_flight = -1) {
    LoadReport report;
    report.in_flight = in_flight;
    complete_attempt(id, outcome, work_us, in_flight >= 0 ? std::optional(report) : std::nullopt);
  }
  void complete_attempt(RequestId id, Outcome outcome, double work_us,
                        const std::optional<LoadReport>& report) {
    const Action* sent = nullptr;
    int attempt = -1;
    for (const Action& a : actions) {
      if (a.kind != Action::kSend || a.id != id) continue;
      sent = &a;
      ++attempt;
    }
    AttemptCompletion completion;
    completion.id = id;
    completion.attempt = attempt;
    completion.engine = sent->engine;
    completion.outcome = outcome;
    completion.duration_us = now_ - sent->at;
    completion.request_finished = outcome == Outcome::kOk || has_final_response(id);
    if (work_us >= 0) completion.work_us = work_us;
    completion.load_report = report;
    manager_.on_attempt_completed(now_, completion, *this);
  }
  void disconnect(RequestId id) { manager_.on_client_disconnected(now_, id, *this); }
  WorkloadManager& manager() { return manager_; }

  int count(Action::Kind kind, RequestId id) const {
    return int(std::count_if(actions.begin(), actions.end(),
                             [&](const Action& a) { return a.kind == kind && a.id == id; }));
  }
  int send_count(RequestId id) const { return count(Action::kSend, id); }
  bool has_final_response(RequestId id) const {
    return count(Action::kReject, id) + count(Action::kFail, id) > 0;
  }
  const Action* last(Action::Kind kind, RequestId id) const {
    const Action* found = nullptr;
    for (const Action& a : actions) {
      if (a.kind == kind && a.id == id) found = &a;
    }
    return found;
  }
  EngineId last_engine(RequestId id) const {
    const Action* a = last(Action::kSend, id);
    return a ? a->engine : 0;
  }
  int send_count_to(EngineId engine) const {
    return int(std::count_if(actions.begin(), actions.end(),
                             [&](const Action& a) { return a.kind == Action::kSend && a.engine == engine; }));
  }

  std::vector<Action> actions;
  std::vector<std::string> logs;

 private:
  void record(const Action& a) { actions.push_back(a); }

  TimeUs now_;
  std::vector<std::pair<TimeUs, uint32_t>> timers_;
  WorkloadManager manager_;
};

/// One gateway and engines with 8 cores; queries of class 0 are short and use one thread, those of class 1
/// are long and use four.
inline Settings plain_settings() {
  Settings settings;
  settings.tick_us = 5 * kMs;
  settings.classes.resize(2);
  settings.classes[0].latency_objective_us = kSecond;
  settings.classes[0].latency_objective_stretch = 2;
  settings.classes[0].request_timeout_us = 5 * kSecond;
  settings.classes[1].latency_objective_us = 2 * kSecond;
  settings.classes[1].latency_objective_stretch = 2.5;
  settings.classes[1].request_timeout_us = 15 * kSecond;
  settings.classes[1].priority_weight = 5;
  settings.classes[1].late_weight_fraction = 0.4;
  settings.classes[1].threads = 4;
  settings.engine_type_cores = {8, 8};
  settings.engine_type_memory_mb = {16384, 16384};
  settings.engines_report_cost = true;
  settings.cancellation_allowed = true;
  settings.max_attempts = 6;
  settings.response_slack_us = 20 * kMs;
  settings.slow_start_min_capacity_fraction = 0.35;
  settings.collapse_load_multiple = 3;
  settings.collapse_window_us = 1500 * kMs;
  settings.slow_start_duration_us = 14 * kSecond;
  return settings;
}

inline Endpoint engine(EngineId id, int zone = 0, int engine_type = 0, TimeUs started_at = 0, int cell = 0) {
  Endpoint endpoint;
  endpoint.engine = id;
  endpoint.zone = zone;
  endpoint.engine_type = engine_type;
  endpoint.started_at = started_at;
  endpoint.cell = cell;
  return endpoint;
}

/// Engines with the identifiers 1 to count.
inline std::vector<Endpoint> engines(int count, TimeUs started_at = 0) {
  std::vector<Endpoint> endpoints;
  for (int i = 1; i <= count; ++i) endpoints.push_back(engine(i, 0, 0, started_at));
  return endpoints;
}

}  // namespace sablelink::test
