#include "workload/outlier_detector.h"

#include <algorithm>

#include "workload/engine.h"

namespace sablelink {
namespace {

constexpr double kErrorWeight = 0.2;  // of one outcome in the error rate
constexpr double kConnectionErrorWeight = 0.4;
constexpr double kEjectionErrorRate = 0.35;
constexpr TimeUs kMinEjectionUs = 1500 * kMillisecondUs;  // doubles with each ejection
constexpr TimeUs kMaxEjectionUs = 6 * kSecondUs;
constexpr int kRecoverySuccesses = 3;  // in a row

constexpr size_t kMinEnginesBlamingRequest = 2;
constexpr size_t kMaxEnginesBlamingRequest = 3;
constexpr TimeUs kBlameDelayUs = 40 * kMillisecondUs;  // after the last error

}  // namespace

void OutlierDetector::on_engine_started(Engine& engine, TimeUs now) {
  engine.health.ejection_duration_us = kMinEjectionUs;
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
  const double weight = connection_error ? kConnectionErrorWeight : kErrorWeight;
  health.error_rate += weight * ((error ? 1.0 : 0.0) - health.error_rate);
  if (error) {
    const bool should_eject = health.is_ejected() || health.error_rate > kEjectionErrorRate;
    return should_eject ? HealthChange::kShouldEject : HealthChange::kNone;
  }
  if (!health.is_ejected()) return HealthChange::kNone;
  ++health.recovery_successes;
  if (health.recovery_successes < kRecoverySuccesses) return HealthChange::kNone;
  health.ejected_until = 0;
  health.ejection_duration_us = kMinEjectionUs;
  health.error_rate = std::min(health.error_rate, kEjectionErrorRate / 2);
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
  // What can't be reached serves nothing, so all but one may be ejected for that.
  const bool too_many =
      reason == EjectionReason::kUnreachable ? ejected + 2 > ready : 2 * (ejected + 1) > ready;
  EngineHealth& health = engine.health;
  if (!health.is_ejected() && too_many) return false;
  health.ejected_until = now + health.ejection_duration_us;
  health.ejection_duration_us = std::min(2 * health.ejection_duration_us, kMaxEjectionUs);
  health.recovery_successes = 0;
  return true;
}

bool OutlierDetector::accepts(const Query& query, const Engine& engine, TimeUs now) const {
  if (!engine.health.is_ejected()) return true;
  return now >= engine.health.ejected_until && engine.in_flight.empty() && engine.queue.empty() &&
         cost_model_.is_light(query);
}

void OutlierDetector::on_error(Query& query, Engine& engine, TimeUs now) {
  on_response(engine, now);
  if (!has_failed_on(query, engine.endpoint.engine)) query.failed_engines.push_back(engine.endpoint.engine);
  query.last_error_at = now;
}

bool OutlierDetector::has_failed_on(const Query& query, EngineId engine) {
  const std::vector<EngineId>& failed = query.failed_engines;
  return std::find(failed.begin(), failed.end(), engine) != failed.end();
}

bool OutlierDetector::is_request_at_fault(const Query& query, size_t eligible_engines) {
  return query.failed_engines.size() >=
         std::max(kMinEnginesBlamingRequest, std::min(kMaxEnginesBlamingRequest, eligible_engines));
}

bool OutlierDetector::is_blame_due(const Query& query, TimeUs now) {
  return !query.failed_engines.empty() && now - query.last_error_at > kBlameDelayUs;
}

}  // namespace sablelink
