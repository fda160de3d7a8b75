#include "workload/outlier_detector.h"

#include <algorithm>

#include "workload/engine.h"

namespace sablelink {
namespace {

constexpr double kOutcomeWeight = 0.2;  // weight of one outcome in the smoothed error rate
constexpr double kConnectionErrorWeight = 0.4;
constexpr double kEjectionErrorRate = 0.35;
constexpr TimeUs kMinEjectionUs = 1500 * kMillisecondUs;  // doubles with each ejection
constexpr TimeUs kMaxEjectionUs = 6 * kSecondUs;
constexpr int kRecoverySuccesses = 3;  // consecutive successes that end an ejection

constexpr size_t kMinEnginesForRequestFault = 2;
constexpr size_t kMaxEnginesForRequestFault = 3;
constexpr TimeUs kErrorAttributionDelayUs = 40 * kMillisecondUs;  // counted from the query's last error

}  // namespace

void OutlierDetector::on_engine_started(Engine& engine, TimeUs now) {
  engine.health.next_ejection_duration_us = kMinEjectionUs;
  engine.health.last_response_at = now;
}

void OutlierDetector::on_response(Engine& engine, TimeUs now) { engine.health.last_response_at = now; }

HealthChange OutlierDetector::on_outcome(Engine& engine, Outcome outcome, TimeUs now) {
  EngineHealth& health = engine.health;
  const bool success = outcome == Outcome::kOk;
  const bool connection_error = outcome == Outcome::kConnectFailed || outcome == Outcome::kReset;
  const bool error = connection_error || outcome == Outcome::kError;
  if (!success && !error) return HealthChange::kNone;
  health.last_response_at = now;
  const double weight = connection_error ? kConnectionErrorWeight : kOutcomeWeight;
  health.smoothed_error_rate += weight * ((error ? 1.0 : 0.0) - health.smoothed_error_rate);
  if (error) {
    const bool should_eject = health.is_ejected() || health.smoothed_error_rate > kEjectionErrorRate;
    return should_eject ? HealthChange::kShouldEject : HealthChange::kNone;
  }
  if (!health.is_ejected()) return HealthChange::kNone;
  ++health.consecutive_recovery_successes;
  if (health.consecutive_recovery_successes < kRecoverySuccesses) return HealthChange::kNone;
  health.ejected_until = 0;
  health.next_ejection_duration_us = kMinEjectionUs;
  health.smoothed_error_rate = std::min(health.smoothed_error_rate, kEjectionErrorRate / 2);
  return HealthChange::kRecovered;
}

bool OutlierDetector::eject(Engine& engine, EjectionReason reason, TimeUs now) const {
  size_t ready = 0;
  size_t ejected = 0;
  for (const auto& [id, other] : engines_) {
    if (!other.is_ready()) continue;
    ++ready;
    if (other.health.is_ejected()) ++ejected;
  }
  // Unreachable engines serve no queries, so all engines but one may be ejected for that reason.
  const bool too_many =
      reason == EjectionReason::kUnreachable ? ejected + 2 > ready : 2 * (ejected + 1) > ready;
  EngineHealth& health = engine.health;
  if (!health.is_ejected() && too_many) return false;
  health.ejected_until = now + health.next_ejection_duration_us;
  health.next_ejection_duration_us = std::min(2 * health.next_ejection_duration_us, kMaxEjectionUs);
  health.consecutive_recovery_successes = 0;
  return true;
}

bool OutlierDetector::accepts(const Query& query, const Engine& engine, TimeUs now) const {
  if (!engine.health.is_ejected()) return true;
  return now >= engine.health.ejected_until && engine.in_flight.empty() && engine.queue.empty() &&
         cost_model_.is_light(query);
}

void OutlierDetector::on_error(Query& query, Engine& engine, TimeUs now) {
  on_response(engine, now);
  if (!has_failed_on(query, engine.endpoint.engine))
    query.unattributed_error_engines.push_back(engine.endpoint.engine);
  query.last_error_at = now;
}

bool OutlierDetector::has_failed_on(const Query& query, EngineId engine) {
  const std::vector<EngineId>& failed = query.unattributed_error_engines;
  return std::find(failed.begin(), failed.end(), engine) != failed.end();
}

bool OutlierDetector::is_request_at_fault(const Query& query, size_t eligible_engines) {
  return query.unattributed_error_engines.size() >=
         std::max(kMinEnginesForRequestFault, std::min(kMaxEnginesForRequestFault, eligible_engines));
}

bool OutlierDetector::is_error_attribution_due(const Query& query, TimeUs now) {
  return !query.unattributed_error_engines.empty() && now - query.last_error_at > kErrorAttributionDelayUs;
}

}  // namespace sablelink
