// Priority weight of a response as a function of the time at which it is finished.
#pragma once

#include "workload/cost_model.h"
#include "workload/query.h"
#include "workload/types.h"

namespace sablelink {

/// Predicted durations are uncertain: a query is rejected only if even this fraction of its predicted
/// duration is too long.
constexpr double kOptimisticDurationFraction = 0.7;

/// Time until which a response has its full priority weight; at most the query's deadline.
TimeUs latency_objective_at(const CostModel& cost_model, const Query& query);

/// Priority weight of a response that is finished at the given time (in microseconds).
double weight_at(const CostModel& cost_model, const Query& query, double finished_at);

/// Time from which a response has no priority weight and is useless.
TimeUs useful_until(const CostModel& cost_model, const Query& query);

}  // namespace sablelink
