// Which queries wait although no engine can take them, which are given up, and when a rejected client may
// retry.
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
  /// All must outlive this object.
  Admission(const Settings& settings, const CostModel& cost_model, const LoadEstimator& load_estimator)
      : settings_(settings), cost_model_(cost_model), load_estimator_(load_estimator) {}

  /// Keeps a query that nothing can take now, until take_parked().
  void park(Query& query);
  void unpark(const Query& query);
  std::vector<Query*> take_parked();

  /// Whether the query needs its final response before its deadline is missed.
  bool is_due(const Query& query, TimeUs now) const;
  /// Whether the query, which isn't in flight, can't be useful any more.
  bool is_hopeless(const Query& query, TimeUs now) const;
  /// Whether the query's attempt in flight is to be cancelled, as it can't be useful any more and holds
  /// capacity that others need.
  bool is_wasteful(const Query& query, TimeUs now) const;
  /// Retry-After for a client whose query is rejected; 0: none.
  TimeUs retry_after_us(const EngineMap& engines, TimeUs now) const;

 private:
  const Settings& settings_;
  const CostModel& cost_model_;
  const LoadEstimator& load_estimator_;
  std::vector<Query*> parked_;
};

}  // namespace sablelink
