// A workload manager on a clock set by hand, with a delegate that records what it does.
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
  double value = 0;   // attempt, retry-after, priority
  double amount = 0;  // grant
};

/// The manager, with a delegate that records each call.
class ManagerHarness : public WorkloadManagerDelegate {
 public:
  explicit ManagerHarness(Settings settings, TimeUs now = 100 * kSecond, uint64_t seed = 42)
      : now_(now), manager_(std::move(settings), seed) {
    manager_.on_start(now_, *this);
  }

  void set_execution_hints(RequestId id, int priority, double grant) override {
    add({Action::kSetHints, now_, id, 0, double(priority), grant});
  }
  void send_attempt(RequestId id, EngineId engine, TimeUs timeout) override {
    add({Action::kSend, now_, id, engine, double(timeout), 0});
  }
  void cancel_attempt(RequestId id, int attempt) override {
    add({Action::kCancel, now_, id, 0, double(attempt), 0});
  }
  void reject(RequestId id, TimeUs after) override { add({Action::kReject, now_, id, 0, double(after), 0}); }
  void fail(RequestId id) override { add({Action::kFail, now_, id, 0, 0, 0}); }
  void set_timer(TimeUs delay, uint32_t token) override { timers_.emplace_back(now_ + delay, token); }
  void watch_endpoints(bool on) override { add({Action::kWatchEndpoints, now_, 0, 0, double(on), 0}); }
  void fetch_endpoints() override { add({Action::kOther, now_, 0, 0, 0, 0}); }
  void check_health(EngineId engine) override { add({Action::kCheckHealth, now_, 0, engine, 0, 0}); }
  void close_idle_connections(EngineId engine) override { add({Action::kOther, now_, 0, engine, 0, 0}); }
  void send_gossip(uint32_t, std::string_view) override { add({Action::kOther, now_, 0, 0, 0, 0}); }
  void log(std::string_view line) override { logs.emplace_back(line); }

  /// Advances the clock, firing timers in steps of 5 ms.
  void run_for(TimeUs span) {
    const TimeUs end = now_ + span;
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
  /// Advances the clock without any event, as if the process stalled.
  void stall(TimeUs span) { now_ += span; }
  TimeUs now() const { return now_; }

  void update_endpoints(const std::vector<Endpoint>& entries,
                        EndpointUpdateKind form = EndpointUpdateKind::kFull) {
    manager_.on_endpoints_changed(now_, form, entries, *this);
  }
  void request(RequestId id, int class_index, TimeUs timeout_us, double cost_us = -1, int64_t group = -1,
               uint64_t key = 0) {
    QueryRequest r;
    r.id = id;
    r.class_index = class_index;
    r.deadline = now_ + timeout_us;
    if (cost_us >= 0) r.estimated_cost_us = cost_us;
    r.table_group = group;
    r.key = key;
    manager_.on_request(now_, r, *this);
  }
  /// Completes the request's latest attempt. A negative in_flight sends no load report.
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
    AttemptCompletion e;
    e.id = id;
    e.attempt = attempt;
    e.engine = sent->engine;
    e.outcome = outcome;
    e.duration_us = now_ - sent->at;
    e.request_finished = outcome == Outcome::kOk || has_final_response(id);
    if (work_us >= 0) e.work_us = work_us;
    e.load_report = report;
    manager_.on_attempt_completed(now_, e, *this);
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
  void add(const Action& a) { actions.push_back(a); }

  TimeUs now_;
  std::vector<std::pair<TimeUs, uint32_t>> timers_;
  WorkloadManager manager_;
};

/// One gateway, engines of 8 cores; class 0 is short on one thread, class 1 long on four.
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

inline Endpoint engine(EngineId id, int zone = 0, int kind = 0, TimeUs started = 0, int cell = 0) {
  Endpoint e;
  e.engine = id;
  e.zone = zone;
  e.engine_type = kind;
  e.started_at = started;
  e.cell = cell;
  return e;
}

/// Engines 1 to count.
inline std::vector<Endpoint> engines(int count, TimeUs started = 0) {
  std::vector<Endpoint> endpoints;
  for (int i = 1; i <= count; ++i) endpoints.push_back(engine(i, 0, 0, started));
  return endpoints;
}

}  // namespace sablelink::test
