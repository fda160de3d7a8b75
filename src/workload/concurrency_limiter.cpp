#include "workload/concurrency_limiter.h"

#include <algorithm>

#include "workload/engine.h"
#include "workload/engine_capacity.h"

namespace sablelink {
namespace {

// Fraction of an engine's concurrency limit from which the gateway's quota applies.
constexpr double kPressureLimitFraction = 0.8;
constexpr TimeUs kOverloadPressureUs = kSecondUs;
constexpr double kMinFreeThreadsFraction = 0.5;  // of a query's threads, for it to start

// Load of the fleet, as a fraction of its limit, above which queries wait until their gateway is below its
// quota.
constexpr double kMaxFleetLoadForPrioritizedHeavy = 1;  // engines start queries of higher priority first
constexpr double kMaxFleetLoadForHeavy = 0.65;
// For engines that overcommit memory, which slows down all their queries.
constexpr double kMaxFleetLoadForOvercommitLight = 1.8;

}  // namespace

ConcurrencyLimiter::ConcurrencyLimiter(const Settings& settings, const CostModel& cost_model,
                                       const LoadEstimator& load_estimator)
    : settings_(settings), cost_model_(cost_model), load_estimator_(load_estimator) {
  for (const ClassSettings& class_settings : settings.classes)
    max_class_threads_ = std::max(max_class_threads_, class_settings.threads);
}

void ConcurrencyLimiter::refresh(const EngineMap& engines, TimeUs now) {
  local_in_flight_threads_ = 0;
  ready_limit_threads_ = 0;
  for (const auto& [id, engine] : engines) {
    if (!engine.is_ready()) continue;
    local_in_flight_threads_ += engine.in_flight_threads();
    ready_limit_threads_ += concurrency_limit_threads(settings_, engine, now);
  }
}

void ConcurrencyLimiter::on_engine_overloaded(Engine& engine, TimeUs now) {
  engine.overload.last_rejection_at = now;
}

double ConcurrencyLimiter::local_quota_threads(const Engine& engine, TimeUs now) const {
  const double limit = concurrency_limit_threads(settings_, engine, now);
  return std::max({limit / settings_.gateway_count, max_class_threads_,
                   limit - load_estimator_.remote_threads(engine, now)});
}

double ConcurrencyLimiter::free_threads(const Engine& engine, TimeUs now) const {
  const double quota = local_quota_threads(engine, now);
  const double usable = is_under_pressure(engine, now)
                            ? quota
                            : std::max(quota, concurrency_limit_threads(settings_, engine, now));
  return usable - engine.in_flight_threads();
}

bool ConcurrencyLimiter::has_capacity_for(const Query& query, double free_threads, TimeUs now) const {
  const double needed_threads = kMinFreeThreadsFraction * query.class_settings->threads;
  if (free_threads < needed_threads) return false;
  double fraction =
      settings_.engines_honor_priorities ? kMaxFleetLoadForPrioritizedHeavy : kMaxFleetLoadForHeavy;
  if (cost_model_.is_light(query)) {
    if (settings_.memory_pressure_policy != MemoryPressurePolicy::kOvercommit) return true;
    fraction = kMaxFleetLoadForOvercommitLight;
  }
  const double fleet_threads = local_in_flight_threads_ + load_estimator_.fleet_remote_threads(now);
  if (fleet_threads <= fraction * ready_limit_threads_) return true;
  return local_in_flight_threads_ + needed_threads <=
         std::max(ready_limit_threads_ / settings_.gateway_count, max_class_threads_);
}

bool ConcurrencyLimiter::is_under_pressure(const Engine& engine, TimeUs now) const {
  const TimeUs last_rejection_at = engine.overload.last_rejection_at;
  return engine.in_flight_threads() + load_estimator_.remote_threads(engine, now) >=
             kPressureLimitFraction * concurrency_limit_threads(settings_, engine, now) ||
         (last_rejection_at > 0 && now - last_rejection_at < kOverloadPressureUs);
}

}  // namespace sablelink
