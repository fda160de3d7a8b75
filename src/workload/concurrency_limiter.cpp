#include "workload/concurrency_limiter.h"

#include <algorithm>

#include "workload/engine.h"
#include "workload/engine_capacity.h"

namespace sablelink {
namespace {

constexpr double kPressureFraction = 0.8;  // of the concurrency limit in flight: the quota binds
constexpr TimeUs kOverloadMemoryUs = kSecondUs;
constexpr double kStartFraction = 0.5;  // a query starts when this fraction of its threads is free

// Fractions of the fleet's limit in flight from which queries wait for their gateway's quota.
constexpr double kPrioritizedHeavyFraction = 1;  // engines start the queries of higher priority first
constexpr double kHeavyFraction = 0.65;
constexpr double kOvercommitLightFraction = 1.8;  // engines that overcommit their memory slow down for all

}  // namespace

ConcurrencyLimiter::ConcurrencyLimiter(const Settings& settings, const CostModel& cost_model,
                                       const LoadEstimator& load_estimator)
    : settings_(settings), cost_model_(cost_model), load_estimator_(load_estimator) {
  for (const ClassSettings& class_settings : settings.classes)
    max_class_threads_ = std::max(max_class_threads_, class_settings.threads);
}

void ConcurrencyLimiter::refresh(const EngineMap& engines, TimeUs now) {
  local_threads_ = 0;
  fleet_limit_threads_ = 0;
  for (const auto& [id, engine] : engines) {
    if (!engine.is_ready()) continue;
    local_threads_ += engine.in_flight_threads();
    fleet_limit_threads_ += concurrency_limit_threads(settings_, engine, now);
  }
}

void ConcurrencyLimiter::on_engine_overloaded(Engine& engine, TimeUs now) {
  engine.overload.rejected_at = now;
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
  const double needed_threads = kStartFraction * query.class_settings->threads;
  if (free_threads < needed_threads) return false;
  double fraction = settings_.engines_honor_priorities ? kPrioritizedHeavyFraction : kHeavyFraction;
  if (cost_model_.is_light(query)) {
    if (settings_.memory_pressure_policy != MemoryPressurePolicy::kOvercommit) return true;
    fraction = kOvercommitLightFraction;
  }
  const double fleet_threads = local_threads_ + load_estimator_.fleet_remote_threads(now);
  if (fleet_threads <= fraction * fleet_limit_threads_) return true;
  return local_threads_ + needed_threads <=
         std::max(fleet_limit_threads_ / settings_.gateway_count, max_class_threads_);
}

bool ConcurrencyLimiter::is_under_pressure(const Engine& engine, TimeUs now) const {
  const TimeUs rejected_at = engine.overload.rejected_at;
  return engine.in_flight_threads() + load_estimator_.remote_threads(engine, now) >=
             kPressureFraction * concurrency_limit_threads(settings_, engine, now) ||
         (rejected_at > 0 && now - rejected_at < kOverloadMemoryUs);
}

}  // namespace sablelink
