#include "workload/cost_model.h"

#include <algorithm>
#include <cmath>

#include "workload/engine.h"
#include "workload/engine_capacity.h"

namespace sablelink {
namespace {

constexpr double kInitialWorkObjectiveFraction = 0.5;  // of the latency objective times the class's threads
constexpr double kInitialServiceTimeRatio = 1.3;
// Smallest remaining fraction of an attempt's duration, for attempts that take longer than expected.
constexpr double kMinRemainingFraction = 0.15;

// Weight of a new outcome in the learned value.
constexpr double kClassLearningRate = 0.05;
constexpr double kServiceTimeLearningRate = 0.12;
constexpr double kMinLatencyLearningRate = 0.12;
constexpr double kMaxLatencyLearningRate = 0.4;

constexpr double kMaxWorkMultiple = 6;  // limit for actual over expected work, as bad plans cost far more
constexpr double kMinServiceTimeRatio = 0.3;
constexpr double kMaxServiceTimeRatio = 30;
// Upper limit for the ratio of one outcome to the mean; the inverse is the lower limit.
constexpr double kMaxObservedRatio = 4;

constexpr double kMinLatencyRatio = 0.5;
constexpr double kMaxLatencyRatio = 10;
constexpr TimeUs kLatencyRatioDecayUs = 8 * kSecondUs;
constexpr TimeUs kLatencyRatioDecayDelayUs = kSecondUs;  // time after an outcome without decay

// An interrupted attempt counts only if it was in flight for longer than both of these: a multiple of its
// expected duration, and a minimum.
constexpr double kInterruptedDurationMultiple = 1.7;
constexpr TimeUs kMinInterruptedDurationUs = 300 * kMillisecondUs;

// Ratio of the grant to the estimated memory, for grants by this gateway and for grants that engines choose.
constexpr double kGrantMargin = 1.1;
constexpr double kEngineGrantMargin = 1.25;

}  // namespace

CostModel::CostModel(const Settings& settings)
    : settings_(settings),
      statistics_(settings.classes.size()),
      service_time_ratio_(kInitialServiceTimeRatio) {
  for (size_t i = 0; i < statistics_.size(); ++i) {
    const ClassSettings& class_settings = settings.classes[i];
    statistics_[i].mean_work_us =
        kInitialWorkObjectiveFraction * class_settings.latency_objective_us * class_settings.threads;
    statistics_[i].service_time_ratio = kInitialServiceTimeRatio;
  }
}

double CostModel::max_class_work_us() const {
  double max_work_us = 0;
  for (const ClassStatistics& statistics : statistics_)
    max_work_us = std::max(max_work_us, statistics.mean_work_us);
  return max_work_us;
}

double CostModel::work_us(const Query& query) const {
  const ClassStatistics& statistics = class_statistics(query);
  const std::optional<double>& estimate = query.request.estimated_cost_us;
  return std::max(1.0, estimate ? *estimate * statistics.work_to_estimate_ratio : statistics.mean_work_us);
}

bool CostModel::is_light(const Query& query) const {
  double sum_us = 0;
  for (const ClassStatistics& statistics : statistics_) sum_us += statistics.mean_work_us;
  return work_us(query) < sum_us / statistics_.size();
}

double CostModel::expected_duration_us(const Query& query, const Engine& engine, TimeUs now) const {
  return work_us(query) / query.class_settings->threads * class_statistics(query).service_time_ratio *
         engine.latency.current() / warmed_capacity_fraction(settings_, engine.endpoint, now);
}

double CostModel::remaining_work_us(const Query& query, const Engine& engine, TimeUs now) const {
  const double expected_us = expected_duration_us(query, engine, now);
  const double duration_us = query.predicted_duration_us > 0 ? query.predicted_duration_us : expected_us;
  const double remaining_us =
      std::max(duration_us - (now - query.sent_at), kMinRemainingFraction * duration_us);
  return work_us(query) * std::min(remaining_us / std::max(expected_us, 1.0), kMaxWorkMultiple);
}

double CostModel::memory_grant_mb(const Query& query, const Engine& engine) const {
  const ClassStatistics& statistics = class_statistics(query);
  const double margin = settings_.engines_honor_grants ? kGrantMargin : kEngineGrantMargin;
  const double estimate_mb = query.request.estimated_memory_mb;
  const double grant_mb = margin * (estimate_mb > 0 ? estimate_mb * statistics.memory_to_estimate_ratio
                                                    : statistics.mean_memory_mb);
  const int engine_type = engine.endpoint.engine_type;
  if (engine_type >= static_cast<int>(settings_.engine_type_memory_mb.size())) return grant_mb;
  return std::min(grant_mb, settings_.max_grant_fraction * settings_.engine_type_memory_mb[engine_type]);
}

void CostModel::on_success(const Query& query, Engine& engine, const AttemptCompletion& completion,
                           bool duration_valid, TimeUs now) {
  ClassStatistics& statistics = statistics_[query.request.class_index];
  const double duration_us = std::max<double>(1, completion.duration_us);
  const double threads = query.class_settings->threads;
  // Work that isn't reported is estimated; the service time ratio then includes the error of the estimate. If
  // there is no estimate either, the work is derived from the ratio.
  const bool work_known = completion.work_us || query.request.estimated_cost_us;
  double work = 0;
  if (completion.work_us) {
    work = *completion.work_us;
  } else if (work_known) {
    work = work_us(query);
  } else {
    work = duration_us * threads / statistics.service_time_ratio;
  }
  if (work <= 0) return;
  const double rate = std::max(kClassLearningRate, 1 / (statistics.completions + 2));
  learn_work(query, completion, work, rate);
  learn_memory(query, completion, rate);
  statistics.completions += 1;
  if (!work_known || !duration_valid) return;
  const double ratio = std::clamp(duration_us * threads / work, kMinServiceTimeRatio, kMaxServiceTimeRatio);
  const double ratio_to_fleet =
      std::clamp(ratio / statistics.service_time_ratio, 1 / kMaxObservedRatio, kMaxObservedRatio);
  learn_latency_ratio(engine, ratio_to_fleet, now);
  statistics.service_time_ratio *= std::pow(ratio_to_fleet, kServiceTimeLearningRate / 2);
  service_time_ratio_ *=
      std::pow(std::clamp(ratio / service_time_ratio_, 1 / kMaxObservedRatio, kMaxObservedRatio),
               kServiceTimeLearningRate / 4);
}

void CostModel::learn_work(const Query& query, const AttemptCompletion& completion, double work,
                           double rate) {
  ClassStatistics& statistics = statistics_[query.request.class_index];
  const std::optional<double>& estimate = query.request.estimated_cost_us;
  if (estimate && *estimate > 0 && completion.work_us)
    statistics.work_to_estimate_ratio +=
        rate * (std::min(work / *estimate, kMaxWorkMultiple) - statistics.work_to_estimate_ratio);
  const double deviation_us =
      std::min(work, kMaxWorkMultiple * statistics.mean_work_us) - statistics.mean_work_us;
  statistics.work_variance_us2 +=
      rate * ((1 - rate) * deviation_us * deviation_us - statistics.work_variance_us2);
  statistics.mean_work_us += rate * deviation_us;
}

void CostModel::learn_memory(const Query& query, const AttemptCompletion& completion, double rate) {
  if (!completion.memory_used_mb || *completion.memory_used_mb <= 0) return;
  ClassStatistics& statistics = statistics_[query.request.class_index];
  const double used_mb = *completion.memory_used_mb;
  statistics.mean_memory_mb +=
      (statistics.completions == 0 ? 1 : rate) * (used_mb - statistics.mean_memory_mb);
  const double estimate_mb = query.request.estimated_memory_mb;
  if (estimate_mb > 0)
    statistics.memory_to_estimate_ratio +=
        rate * (used_mb / estimate_mb - statistics.memory_to_estimate_ratio);
}

// A new outcome has more weight the longer ago the last outcome was.
void CostModel::learn_latency_ratio(Engine& engine, double observed_ratio, TimeUs now) const {
  EngineLatency& latency = engine.latency;
  const double gap_us = now - std::max(latency.ratio_updated_at, started_at_);
  const double rate = std::clamp(1 - std::exp(-gap_us / kLatencyRatioDecayUs), kMinLatencyLearningRate,
                                 kMaxLatencyLearningRate);
  latency.ratio = std::clamp(latency.ratio * std::pow(observed_ratio / latency.ratio, rate), kMinLatencyRatio,
                             kMaxLatencyRatio);
  latency.ratio_updated_at = now;
}

// Without this, the latency ratio of an engine that hangs would never change, as only attempts on other
// engines succeed.
void CostModel::on_interrupted(const Query& query, Engine& engine, TimeUs duration_us, TimeUs now) {
  const double fleet_duration_us = expected_duration_us(query, engine, now) / engine.latency.current();
  const double multiple = duration_us / fleet_duration_us;
  if (multiple > std::max(kInterruptedDurationMultiple, engine.latency.ratio) &&
      duration_us > kMinInterruptedDurationUs)
    learn_latency_ratio(engine, std::min(multiple, kMaxObservedRatio), now);
}

void CostModel::on_engine_recovered(Engine& engine) { engine.latency.ratio = 1; }

void CostModel::on_in_flight_latency(Engine& engine, double ratio) {
  engine.latency.in_flight_ratio = std::max(1.0, ratio);
}

void CostModel::decay_latency_ratio(Engine& engine, TimeUs interval_us, TimeUs now) {
  EngineLatency& latency = engine.latency;
  if (latency.ratio > 1 && now - latency.ratio_updated_at > kLatencyRatioDecayDelayUs)
    latency.ratio += (1 - latency.ratio) * interval_us / kLatencyRatioDecayUs;
}

}  // namespace sablelink
