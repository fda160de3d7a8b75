#include "workload/latency_objective.h"

#include <algorithm>

namespace sablelink {

TimeUs latency_objective_at(const CostModel& cost_model, const Query& query) {
  const ClassSettings& class_settings = *query.class_settings;
  const double objective_us = class_settings.latency_objective_us + class_settings.latency_objective_stretch *
                                                                        cost_model.work_us(query) /
                                                                        class_settings.threads;
  return std::min(query.arrived_at + static_cast<TimeUs>(objective_us), query.request.deadline);
}

double weight_at(const CostModel& cost_model, const Query& query, double finished_at) {
  const ClassSettings& class_settings = *query.class_settings;
  if (finished_at <= latency_objective_at(cost_model, query)) return class_settings.priority_weight;
  if (finished_at > query.request.deadline) return 0;
  return class_settings.priority_weight * class_settings.late_weight_fraction;
}

TimeUs useful_until(const CostModel& cost_model, const Query& query) {
  return query.class_settings->late_weight_fraction > 0 ? query.request.deadline
                                                        : latency_objective_at(cost_model, query);
}

}  // namespace sablelink
