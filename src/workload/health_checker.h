// Decides when to check the health of engines, and derives an engine's load from the duration of a health
// check.
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

/// If only health checks return load reports, a few engines are checked before each heavy query is placed:
/// only few queries bear the cost of health checks, and all queries benefit from the reports.
class HealthChecker {
 public:
  /// All arguments must outlive this object.
  HealthChecker(const Settings& settings, const CostModel& cost_model, Random& random)
      : settings_(settings), cost_model_(cost_model), random_(random) {}

  /// Chooses the engines to check before the query is placed, at most once per query, and marks the query and
  /// the engines as waiting for the responses. The caller sends the health checks. Empty if none is needed.
  std::vector<Engine*> start_checks(Query& query, const std::vector<PlacementCandidate>& candidates,
                                    TimeUs now);
  /// Returns a lower bound of the engine's load as a multiple of its concurrency limit; 0 if unknown. A
  /// health check competes with the engine's queries, so its duration shows a saturation that CPU utilization
  /// doesn't: cores look idle while they wait for disks.
  double on_completed(Engine& engine, Outcome outcome, TimeUs duration_us);

 private:
  const Settings& settings_;
  const CostModel& cost_model_;
  Random& random_;
  std::map<int, TimeUs> min_duration_us_;  // shortest duration of a health check, by zone
};

}  // namespace sablelink
