// Limits what this gateway sends to an engine that warms up, which collapses under too much work at once.
#pragma once

#include <deque>

#include "workload/cost_model.h"
#include "workload/query.h"
#include "workload/random.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

/// What this gateway has sent to an engine while it warmed up.
struct SlowStartState {
  struct Send {
    TimeUs sent_at = 0;
    RequestId request = 0;  // 0: stands for what this gateway may have sent before it was restarted
    double mean_work_us = 0;
    double work_variance_us2 = 0;  // that it adds to the variance of the sum
  };
  std::deque<Send> sends;  // by time
  double credit_us = 0;    // work that may be sent, grown since the last send
  double draw = 0;         // 0 to 1, drawn for each send, so that gateways send at random times
  TimeUs accrued_at = 0;   // when credit_us grew last
};

/// Budgets, within the window in which an engine can collapse, this gateway's equal part of what the engine
/// bears. Queries count with their class's mean work; a margin covers the variance of their actual work.
class SlowStart {
 public:
  /// All must outlive this object.
  SlowStart(const Settings& settings, const CostModel& cost_model, Random& random);

  /// Called for each new engine and for one that has been restarted. A gateway that has itself just started
  /// may have spent its budget before its restart, and takes it as spent.
  void on_engine_started(Engine& engine, TimeUs gateway_started_at, TimeUs now);
  /// Called at regular intervals: grows the credit for engines whose budget is smaller than one query.
  void accrue_credit(Engine& engine, TimeUs now) const;
  /// Whether the query may be sent to the engine now. Drops sends that have left the window.
  bool has_budget_for(const Query& query, Engine& engine, TimeUs now) const;
  void record_send(const Query& query, Engine& engine, TimeUs now);
  /// Takes back the send of the query's latest attempt. Returns whether the window's budget counts it anew
  /// when it leaves: credit is spent at the decision.
  bool remove_send(const Query& query, Engine& engine, TimeUs now) const;

 private:
  double window_budget_us(const Engine& engine, TimeUs now) const;
  double credit_price_us(const Query& query, const Engine& engine, TimeUs now) const;
  double added_variance_us2(const Query& query, const Engine& engine) const;

  const Settings& settings_;
  const CostModel& cost_model_;
  Random& random_;
};

}  // namespace sablelink
