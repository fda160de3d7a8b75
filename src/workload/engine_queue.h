// The order in which queued queries start on their engine, or on one that has become idle.
#pragma once

#include <cstddef>
#include <vector>

#include "workload/concurrency_limiter.h"
#include "workload/cost_model.h"
#include "workload/load_estimator.h"
#include "workload/outlier_detector.h"
#include "workload/query.h"
#include "workload/send_guard.h"
#include "workload/types.h"

namespace sablelink {

/// What the query gains at a position in the engine's queue from its neighbours' table groups: queries of one
/// group share cached data, but a table load blocks others of its group. In an empty queue the neighbours are
/// what is in flight and what was started last.
int interaction_gain(const Engine& engine, const Query& query, size_t position);

class EngineQueueScheduler {
 public:
  /// All must outlive this object.
  EngineQueueScheduler(const CostModel& cost_model, const LoadEstimator& load_estimator,
                       const ConcurrencyLimiter& limiter, const OutlierDetector& outlier_detector,
                       SendGuard& send_guard);

  /// Removes the query that starts next from the engine's queue; null where none may start now.
  Query* take_next(Engine& engine, TimeUs now) const;
  /// Whether the engine's queue has a query that could start elsewhere and be in time.
  bool has_stealable(const Engine& engine, TimeUs now) const;
  /// The query, of those queued at the sources, that the thief should start; null: none. Queries are moved
  /// from longer drain times to shorter ones only, and not once they have missed their latency objective.
  Query* choose_to_steal(Engine& thief, const std::vector<Engine*>& sources, TimeUs now) const;

 private:
  bool is_in_time(const Query& query, TimeUs now) const;

  const CostModel& cost_model_;
  const LoadEstimator& load_estimator_;
  const ConcurrencyLimiter& limiter_;
  const OutlierDetector& outlier_detector_;
  SendGuard& send_guard_;
};

}  // namespace sablelink
