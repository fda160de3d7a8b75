// The order in which queued queries start on their engine or on another engine that has become idle.
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

/// Interaction gain of the query at a position in the engine's queue, by the table groups of its neighbours:
/// queries of one group share cached data, but a table load blocks other queries of its group. In an empty
/// queue the neighbours are the queries in flight and the query sent last.
int interaction_gain(const Engine& engine, const Query& query, size_t position);

class EngineQueueScheduler {
 public:
  /// All arguments must outlive this object.
  EngineQueueScheduler(const CostModel& cost_model, const LoadEstimator& load_estimator,
                       const ConcurrencyLimiter& limiter, const OutlierDetector& outlier_detector,
                       SendGuard& send_guard);

  /// Removes and returns the query that starts next from the engine's queue; null if none may start now.
  Query* take_next(Engine& engine, TimeUs now) const;
  /// Whether the engine's queue contains a query that another engine could start before its latency
  /// objective.
  bool has_stealable_query(const Engine& engine, TimeUs now) const;
  /// Returns the queued query of the source engines that the thief should start; null if there is none.
  /// Queries move only to an engine with a shorter drain time, and only before their latency objective.
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
