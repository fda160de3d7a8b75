#include "workload/admission.h"

#include <algorithm>
#include <utility>

#include "workload/housekeeping.h"
#include "workload/latency_objective.h"
#include "workload/retry_policy.h"

namespace sablelink {
namespace {

// Multiple of the time during which a response is useful; a query in flight for longer is cancelled.
constexpr double kCancelAfterUsefulTimeMultiple = 1.3;
constexpr TimeUs kMinRetryAfterUs = 200 * kMillisecondUs;

}  // namespace

void Admission::park(Query& query) {
  if (std::find(parked_.begin(), parked_.end(), &query) == parked_.end()) parked_.push_back(&query);
}

void Admission::unpark(const Query& query) { std::erase(parked_, &query); }

std::vector<Query*> Admission::take_parked() { return std::exchange(parked_, {}); }

bool Admission::is_near_deadline(const Query& query, TimeUs now) const {
  return now + 2 * settings_.tick_us + kHousekeepingIntervalUs >= query.request.deadline;
}

bool Admission::is_expected_useless(const Query& query, TimeUs now) const {
  if (query.attempt_in_flight) return false;
  const double duration_us =
      query.engine == nullptr ? 0 : cost_model_.expected_duration_us(query, *query.engine, now);
  return now + kOptimisticDurationFraction * duration_us >= useful_until(cost_model_, query);
}

// Without a cost estimate the latency objective is unknown, as it grows with the work.
bool Admission::should_cancel_useless_attempt(const Query& query, TimeUs now) const {
  if (!query.attempt_in_flight || !query.request.estimated_cost_us) return false;
  if (!settings_.cancellation_allowed || !RetryPolicy::is_rejection_safe(query)) return false;
  const TimeUs useful_us = useful_until(cost_model_, query) - query.arrived_at;
  return now > query.arrived_at + kCancelAfterUsefulTimeMultiple * useful_us;
}

TimeUs Admission::retry_after_us(const EngineMap& engines, TimeUs now) const {
  if (!settings_.clients_honor_retry_after) return 0;
  double shortest_drain_us = settings_.max_retry_after_us;
  for (const auto& [id, engine] : engines)
    if (engine.is_ready())
      shortest_drain_us = std::min(shortest_drain_us, load_estimator_.drain_time_us(engine, now));
  return std::min(std::max(static_cast<TimeUs>(shortest_drain_us), kMinRetryAfterUs),
                  settings_.max_retry_after_us);
}

}  // namespace sablelink
