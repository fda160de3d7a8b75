#include "workload/load_estimator.h"

#include <algorithm>
#include <cmath>

#include "workload/engine.h"
#include "workload/engine_capacity.h"
#include "workload/housekeeping.h"

namespace sablelink {
namespace {

// Time constants of exponential smoothing.
constexpr TimeUs kReportSmoothingUs = 400 * kMillisecondUs;
constexpr TimeUs kFleetReportSmoothingUs = kSecondUs;
constexpr TimeUs kLocalLoadSmoothingUs = 4 * kSecondUs;
constexpr TimeUs kReportDecayUs = 3 * kSecondUs;  // of an engine's report towards the fleet's mean, and of
                                                  // the fleet's mean towards the local load

constexpr double kMinReportWeight = 0.1;
constexpr double kMinFleetReportWeight = 0.02;
// With fewer queries in flight, on average, no means per query are derived.
constexpr double kMinLocalQueries = 0.02;

bool is_usable(const std::optional<double>& value) { return value && std::isfinite(*value) && *value >= 0; }

}  // namespace

void LoadEstimator::on_engine_started(Engine& engine, TimeUs now) { engine.load.local_smoothed_at = now; }

void LoadEstimator::refresh(EngineMap& engines, TimeUs now) {
  double queries = 0;
  double threads = 0;
  double remaining_work_us = 0;
  double memory_mb = 0;
  ready_cores_ = 0;
  for (auto& [id, engine] : engines) {
    EngineLoad& load = engine.load;
    const TimeUs elapsed_us = now - load.local_smoothed_at;
    load.local_smoothed_at = now;
    load.smoothed_local_queries += std::min(1.0, 1.0 * elapsed_us / kReportSmoothingUs) *
                                   (engine.in_flight.size() - load.smoothed_local_queries);
    for (const Query* query : engine.in_flight) {
      remaining_work_us += cost_model_.remaining_work_us(*query, engine, now);
      memory_mb += cost_model_.memory_grant_mb(*query, engine);
    }
    queries += engine.in_flight.size();
    threads += engine.in_flight_threads();
    if (engine.is_ready()) ready_cores_ += engine.cores;
  }
  const double rate = 1.0 * kHousekeepingIntervalUs / kLocalLoadSmoothingUs;
  smoothed_local_queries_ += rate * (queries - smoothed_local_queries_);
  smoothed_local_threads_ += rate * (threads - smoothed_local_threads_);
  smoothed_local_remaining_work_us_ += rate * (remaining_work_us - smoothed_local_remaining_work_us_);
  smoothed_local_memory_mb_ += rate * (memory_mb - smoothed_local_memory_mb_);
  if (smoothed_local_queries_ < kMinLocalQueries) return;
  threads_per_query_ = smoothed_local_threads_ / smoothed_local_queries_;
  remaining_work_per_query_us_ = smoothed_local_remaining_work_us_ / smoothed_local_queries_;
  memory_per_query_mb_ = smoothed_local_memory_mb_ / smoothed_local_queries_;
}

void LoadEstimator::on_load_report(Engine& engine, const LoadReport& report, double saturation, TimeUs now) {
  const std::optional<double> reported = reported_queries(report, engine, now);
  const double min_in_flight =
      saturation > 0 ? saturation * concurrency_limit_threads(settings_, engine, now) / threads_per_query_
                     : 0;
  if (!reported && min_in_flight <= 0) return;
  EngineLoad& load = engine.load;
  const double remote =
      std::max(0.0, std::max(reported.value_or(0), min_in_flight) - load.smoothed_local_queries);
  const double elapsed_us = now - load.reported_at;
  const double weight = load.has_report ? 1 - std::exp(-elapsed_us / kReportSmoothingUs) : 1;
  load.smoothed_remote_queries +=
      std::max(weight, kMinReportWeight) * (remote - load.smoothed_remote_queries);
  load.has_report = true;
  load.reported_at = now;
  const double fleet_weight =
      fleet_reported_at_ ? 1 - std::exp(-1.0 * (now - fleet_reported_at_) / kFleetReportSmoothingUs) : 1;
  fleet_mean_remote_queries_per_core_ += std::max(fleet_weight, kMinFleetReportWeight) *
                                         (remote / engine.cores - fleet_mean_remote_queries_per_core_);
  fleet_reported_at_ = now;
}

double LoadEstimator::remote_threads(const Engine& engine, TimeUs now) const {
  return remote_queries(engine, now) * threads_per_query_;
}

double LoadEstimator::fleet_remote_threads(TimeUs now) const {
  return fleet_remote_queries_per_core(now) * ready_cores_ * threads_per_query_;
}

double LoadEstimator::drain_time_us(const Engine& engine, TimeUs now) const {
  double work_us = remote_queries(engine, now) * remaining_work_per_query_us_;
  for (const Query* query : engine.in_flight) work_us += cost_model_.remaining_work_us(*query, engine, now);
  for (const Query* query : engine.queue) work_us += cost_model_.work_us(*query);
  return work_us * engine.latency.current() / concurrency_limit_threads(settings_, engine, now);
}

// The estimate moves from the engine's last report to the fleet's mean as the report ages.
double LoadEstimator::remote_queries(const Engine& engine, TimeUs now) const {
  const double fleet_mean = fleet_remote_queries_per_core(now) * engine.cores *
                            warmed_capacity_fraction(settings_, engine.endpoint, now);
  if (!engine.load.has_report) return fleet_mean;
  return fleet_mean + (engine.load.smoothed_remote_queries - fleet_mean) *
                          std::exp(-1.0 * (now - engine.load.reported_at) / kReportDecayUs);
}

// As reports age, the estimate moves from the fleet's reported mean to this gateway's own load, which is
// assumed typical. With a mean that never aged, an idle gateway would neither send queries nor receive new
// reports.
double LoadEstimator::fleet_remote_queries_per_core(TimeUs now) const {
  const double typical = smoothed_local_threads_ * (settings_.gateway_count - 1) /
                         std::max(ready_cores_, 1.0) / threads_per_query_;
  if (fleet_reported_at_ == 0) return typical;
  return typical + (fleet_mean_remote_queries_per_core_ - typical) *
                       std::exp(-1.0 * (now - fleet_reported_at_) / kReportDecayUs);
}

// Estimates the queries in flight from the fields that the report has. CPU utilization counts as a fraction
// of the concurrency limit: it does not show load above the limit, and it falls when an engine pages memory.
// Memory utilization continues to grow with the load.
std::optional<double> LoadEstimator::reported_queries(const LoadReport& report, const Engine& engine,
                                                      TimeUs now) const {
  if (is_usable(report.in_flight)) return *report.in_flight;
  const int engine_type = engine.endpoint.engine_type;
  const bool memory_known =
      engine_type < static_cast<int>(settings_.engine_type_memory_mb.size()) && memory_per_query_mb_ > 0;
  const double queries_filling_memory =
      memory_known ? settings_.engine_type_memory_mb[engine_type] / memory_per_query_mb_ : 0;
  std::optional<double> in_flight;
  if (is_usable(report.cpu_utilization))
    in_flight = *report.cpu_utilization * engine.cores * kThreadsPerCore / threads_per_query_;
  if (is_usable(report.memory_utilization) && memory_known)
    in_flight = std::max(in_flight.value_or(0), *report.memory_utilization * queries_filling_memory);
  if (!is_usable(report.waiting_for_memory)) return in_flight;
  if (!in_flight && *report.waiting_for_memory > 0) in_flight = queries_filling_memory;
  if (!in_flight)
    in_flight =
        std::min(queries_filling_memory, engine.load.smoothed_local_queries + remote_queries(engine, now));
  return *in_flight + *report.waiting_for_memory;
}

}  // namespace sablelink
