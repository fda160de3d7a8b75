// What a response is worth by the time at which it is finished.
#pragma once

#include "workload/cost_model.h"
#include "workload/query.h"
#include "workload/types.h"

namespace sablelink {

/// Predicted durations are doubted: a query is rejected only if even this fraction of them is too long.
constexpr double kOptimisticDurationFraction = 0.7;

/// Until then a response has its full priority weight. Never after the query's deadline.
TimeUs latency_objective_at(const CostModel& cost_model, const Query& query);

/// Priority weight that a response still has when it is finished at the time given (in microseconds).
double weight_at(const CostModel& cost_model, const Query& query, double finished_at);

/// From then on a response is useless.
TimeUs useful_until(const CostModel& cost_model, const Query& query);

}  // namespace sablelink
