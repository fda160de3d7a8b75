#include "workload/engine_queue.h"

#include <algorithm>

#include "workload/engine.h"
#include "workload/latency_objective.h"

namespace sablelink {
namespace {

bool is_blocked_by(const Query& query, const Query& load) {
  return load.class_settings->writes_tables &&
         (query.class_settings->writes_tables || query.class_settings->blocked_by_table_loads);
}

// 1 if both have the same table group, -1 if in addition one blocks the other, otherwise 0.
int interaction(const Query& a, const Query& b) {
  if (a.request.table_group < 0 || a.request.table_group != b.request.table_group) return 0;
  return is_blocked_by(a, b) || is_blocked_by(b, a) ? -1 : 1;
}

}  // namespace

int interaction_gain(const Engine& engine, const Query& query, size_t position) {
  const std::vector<Query*>& queue = engine.queue;
  if (queue.empty()) {
    for (const Query* other : engine.in_flight)
      if (interaction(*other, query) < 0) return -1;
    return query.request.table_group >= 0 && query.request.table_group == engine.last_started_table_group;
  }
  if (position == 0) return interaction(query, *queue[0]);
  const Query& before = *queue[position - 1];
  if (position == queue.size()) return interaction(before, query);
  const Query& after = *queue[position];
  return interaction(before, query) + interaction(query, after) - interaction(before, after);
}

EngineQueueScheduler::EngineQueueScheduler(const CostModel& cost_model, const LoadEstimator& load_estimator,
                                           const ConcurrencyLimiter& limiter,
                                           const OutlierDetector& outlier_detector, SendGuard& send_guard)
    : cost_model_(cost_model),
      load_estimator_(load_estimator),
      limiter_(limiter),
      outlier_detector_(outlier_detector),
      send_guard_(send_guard) {}

// Queries that can still meet their objective start first: otherwise, after one wait that was estimated too
// short, late queries at the head would make all others late as well. A query that needs more threads than
// are free lets lighter queries pass.
Query* EngineQueueScheduler::take_next(Engine& engine, TimeUs now) const {
  std::vector<Query*>& queue = engine.queue;
  if (queue.empty()) return nullptr;
  const double free_threads = limiter_.free_threads(engine, now);
  bool any_in_time = false;
  auto next = std::find_if(queue.begin(), queue.end(), [&](const Query* query) {
    const bool in_time = is_in_time(*query, now);
    any_in_time = any_in_time || in_time;
    return in_time && limiter_.has_capacity_for(*query, free_threads, now);
  });
  if (next == queue.end()) {
    if (any_in_time) return nullptr;
    next = queue.begin();
    if (!limiter_.has_capacity_for(**next, free_threads, now)) return nullptr;
  }
  Query* const query = *next;
  queue.erase(next);
  query->engine = nullptr;
  return query;
}

bool EngineQueueScheduler::has_stealable_query(const Engine& engine, TimeUs now) const {
  return std::any_of(engine.queue.begin(), engine.queue.end(), [&](const Query* query) {
    return is_in_time(*query, now) && limiter_.has_capacity_for(*query, query->class_settings->threads, now);
  });
}

Query* EngineQueueScheduler::choose_to_steal(Engine& thief, const std::vector<Engine*>& sources,
                                             TimeUs now) const {
  const double free_threads = limiter_.free_threads(thief, now);
  const double thief_drain_us = load_estimator_.drain_time_us(thief, now);
  Query* best = nullptr;
  int best_gain = 0;
  double best_drain_us = 0;
  for (const Engine* source : sources) {
    if (source->queue.empty()) continue;
    const double drain_us = load_estimator_.drain_time_us(*source, now);
    if (drain_us <= thief_drain_us) continue;
    for (Query* query : source->queue) {
      if (!limiter_.has_capacity_for(*query, free_threads, now) || !is_in_time(*query, now)) continue;
      const int gain = interaction_gain(thief, *query, 0);
      const bool better =
          best == nullptr || gain > best_gain || (gain == best_gain && drain_us > best_drain_us);
      if (!better || !send_guard_.may_send(*query, thief, now) ||
          !outlier_detector_.accepts(*query, thief, now))
        continue;
      best = query;
      best_gain = gain;
      best_drain_us = drain_us;
    }
  }
  return best;
}

bool EngineQueueScheduler::is_in_time(const Query& query, TimeUs now) const {
  return now < latency_objective_at(cost_model_, query);
}

}  // namespace sablelink
