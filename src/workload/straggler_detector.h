// Detects attempts that take far longer than expected and engines that no longer respond.
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
    std::vector<Query*> stragglers;       // to be cancelled and retried
    std::vector<Engine*> silent_engines;  // to be ejected
  };

  /// All arguments must outlive this object.
  StragglerDetector(const Settings& settings, const CostModel& cost_model, RetryPolicy& retry_policy)
      : settings_(settings), cost_model_(cost_model), retry_policy_(retry_policy) {}

  /// Examines all attempts in flight and updates the engines' in-flight latency ratios; called at regular
  /// intervals. Returns no stragglers while so many attempts are slow that a common cause is likely.
  ScanResult scan(EngineMap& engines, TimeUs now);
  /// Whether the query's attempt can be cancelled and a retry on another engine can still be useful.
  bool may_cancel_and_retry(const Query& query, const Engine& engine, TimeUs now) const;
  /// Timeout of an attempt if attempts can't be cancelled; 0: none.
  TimeUs attempt_timeout_us(const Query& query, const Engine& engine, TimeUs now) const;

 private:
  struct ScanTotals {
    double attempts = 0;  // in flight on engines that are not ejected
    double slow_attempts = 0;
    std::vector<Query*> stragglers;
    std::vector<Engine*> silent_engines;           // with several overdue attempts
    std::vector<Engine*> possibly_silent_engines;  // with a single overdue attempt
  };
  void scan_engine(Engine& engine, ScanTotals& totals, TimeUs now) const;
  bool is_straggler(const Query& query, const Engine& engine, TimeUs now) const;

  const Settings& settings_;
  const CostModel& cost_model_;
  RetryPolicy& retry_policy_;
  double smoothed_slow_fraction_ = 0;  // of the attempts in flight
};

}  // namespace sablelink
