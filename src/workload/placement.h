// Chooses an engine, and a position in its queue, for a query (QIDMaC: query interaction-driven balancing).
#pragma once

#include <cstddef>
#include <vector>

#include "workload/concurrency_limiter.h"
#include "workload/cost_model.h"
#include "workload/load_estimator.h"
#include "workload/query.h"
#include "workload/random.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

/// The best position for a query in one engine's queue.
struct PlacementCandidate {
  Engine* engine = nullptr;
  size_t position = 0;      // in the engine's queue
  double balance_gain = 0;  // priority weight of the query minus what the queries behind it lose
  int interaction_gain = 0;
  double drain_time_us = 0;
  bool useful = false;  // the response can still be useful, or is worth what the others lose
};

class Placement {
 public:
  /// All must outlive this object.
  Placement(const Settings& settings, const CostModel& cost_model, const LoadEstimator& load_estimator,
            const ConcurrencyLimiter& limiter, Random& random);

  /// Finds the best position in the engine's queue: by balance gain, then interaction gain, then the last.
  PlacementCandidate evaluate(const Query& query, Engine& engine, TimeUs now) const;
  /// Raises the interaction gain of the table group's preferred engines, on which all gateways agree: the
  /// queries that others started there aren't seen.
  void add_preferred_engine_gain(const Query& query, std::vector<PlacementCandidate>& candidates) const;
  /// Chooses by balance gain, then by interaction gain among engines whose drain time is near the shortest,
  /// then by drain time. Null where the query would be useful on none of them; else it points into
  /// candidates.
  const PlacementCandidate* choose(const std::vector<PlacementCandidate>& candidates);

 private:
  struct StartTimes {
    std::vector<double> by_position;       // when the query would start at each position
    std::vector<double> loss_by_position;  // priority weight that the queries behind it would lose
  };
  StartTimes predict_starts(const Query& query, const Engine& engine, TimeUs now) const;
  bool is_remote_zone(const Engine& engine, double min_cost) const;

  const Settings& settings_;
  const CostModel& cost_model_;
  const LoadEstimator& load_estimator_;
  const ConcurrencyLimiter& limiter_;
  Random& random_;
};

}  // namespace sablelink
