// Keeps queries that no engine can take yet, decides which queries end without a useful response, and
// computes Retry-After.
#pragma once

#include <vector>

#include "workload/cost_model.h"
#include "workload/engine.h"
#include "workload/load_estimator.h"
#include "workload/query.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

class Admission {
 public:
  /// All arguments must outlive this object.
  Admission(const Settings& settings, const CostModel& cost_model, const LoadEstimator& load_estimator)
      : settings_(settings), cost_model_(cost_model), load_estimator_(load_estimator) {}

  /// Keeps a query that cannot be placed now until take_parked().
  void park(Query& query);
  void unpark(const Query& query);
  std::vector<Query*> take_parked();

  /// Whether the deadline is so near that the final response must be sent now.
  bool is_near_deadline(const Query& query, TimeUs now) const;
  /// Whether a query that is not in flight is not expected to finish while its response is still useful.
  bool is_expected_useless(const Query& query, TimeUs now) const;
  /// Whether to cancel the query's attempt in flight: its response can no longer be useful, and it occupies
  /// capacity that other queries need.
  bool should_cancel_useless_attempt(const Query& query, TimeUs now) const;
  /// Retry-After value for the client of a rejected query; 0: none.
  TimeUs retry_after_us(const EngineMap& engines, TimeUs now) const;

 private:
  const Settings& settings_;
  const CostModel& cost_model_;
  const LoadEstimator& load_estimator_;
  std::vector<Query*> parked_;
};

}  // namespace sablelink
