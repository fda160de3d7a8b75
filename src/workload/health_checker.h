// Decides when engines' health is checked, and what the duration of a health check says about an engine.
#pragma once

#include <map>
#include <vector>

#include "workload/cost_model.h"
#include "workload/events.h"
#include "workload/placement.h"
#include "workload/query.h"
#include "workload/random.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

/// Where load reports come with health checks alone, a few engines are checked before each heavy query is
/// placed: few queries bear the cost, and all benefit from the reports.
class HealthChecker {
 public:
  /// All must outlive this object.
  HealthChecker(const Settings& settings, const CostModel& cost_model, Random& random)
      : settings_(settings), cost_model_(cost_model), random_(random) {}

  /// Chooses the engines to check before the query is placed, at most once for each query, and marks both as
  /// waiting. The caller sends the health checks; empty: none is needed.
  std::vector<Engine*> start_checks(Query& query, const std::vector<PlacementCandidate>& candidates,
                                    TimeUs now);
  /// Returns the multiple of its concurrency limit at which the engine runs at the least, 0 where unknown. A
  /// health check runs beside the engine's queries, so it slows down with them where busy cores look idle.
  double on_completed(Engine& engine, Outcome outcome, TimeUs duration_us);

 private:
  const Settings& settings_;
  const CostModel& cost_model_;
  Random& random_;
  std::map<int, TimeUs> min_duration_us_;  // by zone
};

}  // namespace sablelink
