// Chooses an engine and a position in its queue for a query (QIDMaC: query interaction-driven balancing).
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

/// The best position for a query in the queue of one engine.
struct PlacementCandidate {
  Engine* engine = nullptr;
  size_t position = 0;      // index in the engine's queue
  double balance_gain = 0;  // priority weight of the query minus the weight that the queries behind it lose
  int interaction_gain = 0;
  double drain_time_us = 0;
  bool useful = false;  // the response can still be useful, or outweighs the loss of the other queries
};

class Placement {
 public:
  /// All arguments must outlive this object.
  Placement(const Settings& settings, const CostModel& cost_model, const LoadEstimator& load_estimator,
            const ConcurrencyLimiter& limiter, Random& random);

  /// Finds the best position in the engine's queue: by balance gain, then interaction gain, then the last
  /// one.
  PlacementCandidate evaluate(const Query& query, Engine& engine, TimeUs now) const;
  /// Raises the interaction gain of the engines that the table group prefers, which are the same on all
  /// gateways. This brings queries of one group together although a gateway doesn't know what other gateways
  /// have sent.
  void add_preferred_engine_gain(const Query& query, std::vector<PlacementCandidate>& candidates) const;
  /// Chooses the candidate with the highest balance gain; among those whose drain time is near the shortest,
  /// the one with the highest interaction gain, then the shortest drain time. Returns a pointer into
  /// candidates, or null if the query would be useful on none of the engines.
  const PlacementCandidate* choose(const std::vector<PlacementCandidate>& candidates);

 private:
  struct StartTimes {
    std::vector<double> start_by_position;  // predicted start of the query at each position
    // priority weight that the queries behind lose at each position
    std::vector<double> weight_loss_by_position;
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
