// Finds attempts that take far longer than expected, and engines that show no sign of life.
#pragma once

#include <vector>

#include "workload/cost_model.h"
#include "workload/query.h"
#include "workload/retry_policy.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

class StragglerDetector {
 public:
  struct ScanResult {
    std::vector<Query*> stragglers;       // to be cancelled and sent again
    std::vector<Engine*> silent_engines;  // to be ejected
  };

  /// All must outlive this object.
  StragglerDetector(const Settings& settings, const CostModel& cost_model, RetryPolicy& retry_policy)
      : settings_(settings), cost_model_(cost_model), retry_policy_(retry_policy) {}

  /// Examines all attempts in flight; called at regular intervals. Also updates the engines' latency ratios
  /// of attempts in flight. No straggler is reported while so many attempts are slow that the cause is
  /// shared.
  ScanResult scan(EngineMap& engines, TimeUs now);
  /// Whether the query's attempt can be cancelled and a new one elsewhere would still be useful.
  bool may_cancel_and_retry(const Query& query, const Engine& engine, TimeUs now) const;
  /// Timeout for an attempt where attempts can't be cancelled; 0: none.
  TimeUs attempt_timeout_us(const Query& query, const Engine& engine, TimeUs now) const;

 private:
  struct ScanTotals {
    double attempts = 0;  // in flight on engines that aren't ejected
    double slow_attempts = 0;
    std::vector<Query*> stragglers;
    std::vector<Engine*> silent_engines;           // by several attempts
    std::vector<Engine*> possibly_silent_engines;  // by a single attempt
  };
  void scan_engine(Engine& engine, ScanTotals& totals, TimeUs now) const;
  bool is_straggler(const Query& query, const Engine& engine, TimeUs now) const;

  const Settings& settings_;
  const CostModel& cost_model_;
  RetryPolicy& retry_policy_;
  double straggler_fraction_ = 0;  // of the attempts in flight, smoothed
};

}  // namespace sablelink
