// A gateway on a clock set by hand, with a sink that records what it does.
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
  enum Kind { kTerms, kSend, kCancel, kRefuse, kFail, kTimer, kSubscribe, kProbe, kOther } kind;
  TimeUs at = 0;
  RequestId id = 0;
  EngineId engine = 0;
  double value = 0;   // attempt, retry-after, priority
  double amount = 0;  // grant
};

class Bench : public WorkloadManagerDelegate {
 public:
  explicit Bench(Settings settings, TimeUs now = 100 * kSecond, uint64_t seed = 42)
      : now_(now), gateway_(std::move(settings), seed) {
    gateway_.on_start(now_, *this);
  }

  void set_execution_hints(RequestId id, int priority, double grant) override {
    add({Action::kTerms, now_, id, 0, double(priority), grant});
  }
  void send_attempt(RequestId id, EngineId engine, TimeUs timeout) override {
    add({Action::kSend, now_, id, engine, double(timeout), 0});
  }
  void cancel_attempt(RequestId id, int attempt) override {
    add({Action::kCancel, now_, id, 0, double(attempt), 0});
  }
  void reject(RequestId id, TimeUs after) override { add({Action::kRefuse, now_, id, 0, double(after), 0}); }
  void fail(RequestId id) override { add({Action::kFail, now_, id, 0, 0, 0}); }
  void set_timer(TimeUs delay, uint32_t token) override { timers_.emplace_back(now_ + delay, token); }
  void watch_endpoints(bool on) override { add({Action::kSubscribe, now_, 0, 0, double(on), 0}); }
  void fetch_endpoints() override { add({Action::kOther, now_, 0, 0, 0, 0}); }
  void check_health(EngineId engine) override { add({Action::kProbe, now_, 0, engine, 0, 0}); }
  void close_idle_connections(EngineId engine) override { add({Action::kOther, now_, 0, engine, 0, 0}); }
  void send_gossip(uint32_t, std::string_view) override { add({Action::kOther, now_, 0, 0, 0, 0}); }
  void log(std::string_view line) override { logs.emplace_back(line); }

  // Moves the clock on, firing timers in 5 ms steps.
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
      for (const auto& [at, token] : due) gateway_.on_timer(now_, token, *this);
    }
  }
  // Moves the clock on without a turn, as where the gateway stands still.
  void stall(TimeUs span) { now_ += span; }
  TimeUs now() const { return now_; }

  void list(const std::vector<Endpoint>& entries, EndpointUpdateKind form = EndpointUpdateKind::kFull) {
    gateway_.on_endpoints_changed(now_, form, entries, *this);
  }
  void request(RequestId id, int cls, TimeUs patience, double cost_us = -1, int64_t group = -1,
               uint64_t key = 0) {
    QueryRequest r;
    r.id = id;
    r.class_index = cls;
    r.deadline = now_ + patience;
    if (cost_us >= 0) r.estimated_cost_us = cost_us;
    r.table_group = group;
    r.key = key;
    gateway_.on_request(now_, r, *this);
  }
  // Ends the request's latest attempt. A negative held sends no load report.
  void end(RequestId id, Outcome outcome, double work_us = -1, double held = -1) {
    LoadReport report;
    report.in_flight = held;
    end(id, outcome, work_us, held >= 0 ? std::optional(report) : std::nullopt);
  }
  void end(RequestId id, Outcome outcome, double work_us, const std::optional<LoadReport>& report) {
    const Action* sent = nullptr;
    int attempt = -1;
    for (const Action& a : actions) {
      if (a.kind == Action::kSend && a.id == id) sent = &a, ++attempt;
    }
    AttemptCompletion e;
    e.id = id;
    e.attempt = attempt;
    e.engine = sent->engine;
    e.outcome = outcome;
    e.duration_us = now_ - sent->at;
    e.request_finished = outcome == Outcome::kOk || over(id);
    if (work_us >= 0) e.work_us = work_us;
    e.load_report = report;
    gateway_.on_attempt_completed(now_, e, *this);
  }
  void leave(RequestId id) { gateway_.on_client_disconnected(now_, id, *this); }
  WorkloadManager& gateway() { return gateway_; }

  int count(Action::Kind kind, RequestId id) const {
    return int(std::count_if(actions.begin(), actions.end(),
                             [&](const Action& a) { return a.kind == kind && a.id == id; }));
  }
  int sends(RequestId id) const { return count(Action::kSend, id); }
  bool over(RequestId id) const { return count(Action::kRefuse, id) + count(Action::kFail, id) > 0; }
  const Action* last(Action::Kind kind, RequestId id) const {
    const Action* found = nullptr;
    for (const Action& a : actions) {
      if (a.kind == kind && a.id == id) found = &a;
    }
    return found;
  }
  EngineId engine_of(RequestId id) const {
    const Action* a = last(Action::kSend, id);
    return a ? a->engine : 0;
  }
  int sends_to(EngineId engine) const {
    return int(std::count_if(actions.begin(), actions.end(),
                             [&](const Action& a) { return a.kind == Action::kSend && a.engine == engine; }));
  }

  std::vector<Action> actions;
  std::vector<std::string> logs;

 private:
  void add(const Action& a) { actions.push_back(a); }

  TimeUs now_;
  std::vector<std::pair<TimeUs, uint32_t>> timers_;
  WorkloadManager gateway_;
};

// One gateway, engines of 8 cores; class 0 is short on one thread, class 1 long on four.
inline Settings plain_settings() {
  Settings s;
  s.tick_us = 5 * kMs;
  s.classes.resize(2);
  s.classes[0].latency_objective_us = kSecond;
  s.classes[0].latency_objective_stretch = 2;
  s.classes[0].request_timeout_us = 5 * kSecond;
  s.classes[1].latency_objective_us = 2 * kSecond;
  s.classes[1].latency_objective_stretch = 2.5;
  s.classes[1].request_timeout_us = 15 * kSecond;
  s.classes[1].priority_weight = 5;
  s.classes[1].late_weight_fraction = 0.4;
  s.classes[1].threads = 4;
  s.engine_type_cores = {8, 8};
  s.engine_type_memory_mb = {16384, 16384};
  s.engines_report_cost = true;
  s.cancellation_allowed = true;
  s.max_attempts = 6;
  s.response_slack_us = 20 * kMs;
  s.slow_start_min_capacity_fraction = 0.35;
  s.collapse_load_multiple = 3;
  s.collapse_window_us = 1500 * kMs;
  s.slow_start_duration_us = 14 * kSecond;
  return s;
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

}  // namespace sablelink::test
