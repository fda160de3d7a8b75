#include "workload/straggler_detector.h"

#include <algorithm>

#include "workload/engine.h"
#include "workload/housekeeping.h"
#include "workload/latency_objective.h"

namespace sablelink {
namespace {

constexpr double kStragglerMultiple = 3;  // of the expected duration
// Multiple of the expected duration, if progress updates predict the actual duration.
constexpr double kPredictedStragglerMultiple = 4;
constexpr TimeUs kMinStragglerUs = 300 * kMillisecondUs;
constexpr double kMaxDurationMultiple = 10;  // limit for one attempt in an engine's mean
constexpr double kTimeoutMultiple = 6;       // of the expected duration, if attempts can't be cancelled

// After this many cancelled attempts, the query itself is considered heavy and is no longer cancelled.
constexpr int kMaxCancellationsOfEstimatedQuery = 2;
constexpr int kMaxCancellationsOfUnestimatedQuery = 1;

// Fraction of slow attempts above which a common cause is assumed.
constexpr double kSharedSlowdownFraction = 0.35;
constexpr double kMinSharedSlowAttempts = 2;
constexpr TimeUs kSlowFractionSmoothingUs = 2 * kSecondUs;

constexpr TimeUs kSilenceThresholdUs = 1200 * kMillisecondUs;  // time since the engine's last response
constexpr size_t kMinAttemptsForSilence = 2;
constexpr TimeUs kSingleAttemptSilenceThresholdUs = 2 * kSilenceThresholdUs;

}  // namespace

StragglerDetector::ScanResult StragglerDetector::scan(EngineMap& engines, TimeUs now) {
  ScanTotals totals;
  for (auto& [id, engine] : engines) scan_engine(engine, totals, now);
  if (totals.attempts > 0)
    smoothed_slow_fraction_ += kHousekeepingIntervalUs *
                               (totals.slow_attempts / totals.attempts - smoothed_slow_fraction_) /
                               kSlowFractionSmoothingUs;
  const bool shared_slowdown = (totals.slow_attempts > kMinSharedSlowAttempts &&
                                totals.slow_attempts > kSharedSlowdownFraction * totals.attempts) ||
                               smoothed_slow_fraction_ > kSharedSlowdownFraction;
  ScanResult result;
  if (!shared_slowdown) result.stragglers = std::move(totals.stragglers);
  result.silent_engines = std::move(totals.silent_engines);
  // A single overdue attempt is weak evidence if a gateway has few attempts on each engine.
  const bool many_slow =
      totals.possibly_silent_engines.size() > 1 && smoothed_slow_fraction_ > kSharedSlowdownFraction / 2;
  if (!many_slow)
    result.silent_engines.insert(result.silent_engines.end(), totals.possibly_silent_engines.begin(),
                                 totals.possibly_silent_engines.end());
  return result;
}

void StragglerDetector::scan_engine(Engine& engine, ScanTotals& totals, TimeUs now) const {
  size_t overdue_attempts = 0;  // sent since the engine's last response, without any response
  double duration_multiples = 0;
  for (Query* query : engine.in_flight) {
    const double in_flight_us = now - query->sent_at;
    const double expected_us =
        cost_model_.expected_duration_us(*query, engine, now) / engine.latency.current();
    duration_multiples += std::min(in_flight_us / expected_us, kMaxDurationMultiple);
    if (in_flight_us > kStragglerMultiple * expected_us + kMinStragglerUs &&
        query->sent_at >= engine.health.last_response_at)
      ++overdue_attempts;
    const bool in_service = !engine.health.is_ejected();
    totals.attempts += in_service;
    if (query->completed || !is_straggler(*query, engine, now)) continue;
    totals.slow_attempts += in_service;
    if (may_cancel_and_retry(*query, engine, now)) totals.stragglers.push_back(query);
  }
  const size_t attempts = engine.in_flight.size();
  CostModel::on_in_flight_latency(engine, attempts >= 2 ? duration_multiples / attempts : 1);

  if (engine.health.ejected_until > now || overdue_attempts == 0) return;
  const TimeUs silence_us = now - engine.health.last_response_at;
  const bool has_several_overdue = overdue_attempts >= kMinAttemptsForSilence;
  if (silence_us <= (has_several_overdue ? kSilenceThresholdUs : kSingleAttemptSilenceThresholdUs)) return;
  (has_several_overdue ? totals.silent_engines : totals.possibly_silent_engines).push_back(&engine);
}

// An attempt that takes far longer than expected is assumed to have a bad execution plan.
bool StragglerDetector::is_straggler(const Query& query, const Engine& engine, TimeUs now) const {
  const double in_flight_us = now - query.sent_at;
  if (in_flight_us < kMinStragglerUs) return false;
  const double expected_us = cost_model_.expected_duration_us(query, engine, now);
  if (query.predicted_duration_us > 0)
    return query.predicted_duration_us > kPredictedStragglerMultiple * expected_us;
  return in_flight_us > kStragglerMultiple * expected_us;
}

bool StragglerDetector::may_cancel_and_retry(const Query& query, const Engine& engine, TimeUs now) const {
  const int max_cancellations = query.request.estimated_cost_us ? kMaxCancellationsOfEstimatedQuery
                                                                : kMaxCancellationsOfUnestimatedQuery;
  return settings_.cancellation_allowed && !query.cancel_requested && !query.response_started &&
         query.straggler_cancellations < max_cancellations && retry_policy_.has_attempts_left(query) &&
         query.class_settings->idempotency == Idempotency::kIdempotent &&
         retry_policy_.has_budget_for(query, now) &&
         now + cost_model_.expected_duration_us(query, engine, now) < useful_until(cost_model_, query);
}

TimeUs StragglerDetector::attempt_timeout_us(const Query& query, const Engine& engine, TimeUs now) const {
  if (settings_.cancellation_allowed) return 0;
  const bool is_last_attempt = query.attempts + 1 >= settings_.max_attempts;
  if (is_last_attempt || query.class_settings->idempotency != Idempotency::kIdempotent) return 0;
  return static_cast<TimeUs>(kTimeoutMultiple * cost_model_.expected_duration_us(query, engine, now)) +
         kMinStragglerUs;
}

}  // namespace sablelink
