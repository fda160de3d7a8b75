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
constexpr TimeUs kReportDecayUs =
    3 * kSecondUs;  // of a report to the fleet's mean, and of that to the local load

constexpr double kMinReportWeight = 0.1;
constexpr double kMinFleetReportWeight = 0.02;
constexpr double kMinLocalQueries = 0.02;  // fewer in flight, smoothed, say nothing about the typical query

bool is_usable(const std::optional<double>& value) { return value && std::isfinite(*value) && *value >= 0; }

}  // namespace

void LoadEstimator::on_engine_started(Engine& engine, TimeUs now) { engine.load.smoothed_at = now; }

void LoadEstimator::refresh(EngineMap& engines, TimeUs now) {
  double queries = 0;
  double threads = 0;
  double remaining_work_us = 0;
  double memory_mb = 0;
  fleet_cores_ = 0;
  for (auto& [id, engine] : engines) {
    EngineLoad& load = engine.load;
    const TimeUs elapsed_us = now - load.smoothed_at;
    load.smoothed_at = now;
    load.local_in_flight += std::min(1.0, 1.0 * elapsed_us / kReportSmoothingUs) *
                            (engine.in_flight.size() - load.local_in_flight);
    for (const Query* query : engine.in_flight) {
      remaining_work_us += cost_model_.remaining_work_us(*query, engine, now);
      memory_mb += cost_model_.memory_grant_mb(*query, engine);
    }
    queries += engine.in_flight.size();
    threads += engine.in_flight_threads();
    if (engine.is_ready()) fleet_cores_ += engine.cores;
  }
  const double rate = 1.0 * kHousekeepingIntervalUs / kLocalLoadSmoothingUs;
  local_queries_ += rate * (queries - local_queries_);
  local_threads_ += rate * (threads - local_threads_);
  local_remaining_work_us_ += rate * (remaining_work_us - local_remaining_work_us_);
  local_memory_mb_ += rate * (memory_mb - local_memory_mb_);
  if (local_queries_ < kMinLocalQueries) return;
  threads_per_query_ = local_threads_ / local_queries_;
  remaining_work_per_query_us_ = local_remaining_work_us_ / local_queries_;
  memory_per_query_mb_ = local_memory_mb_ / local_queries_;
}

void LoadEstimator::on_load_report(Engine& engine, const LoadReport& report, double saturation, TimeUs now) {
  const std::optional<double> reported = reported_in_flight(report, engine, now);
  const double min_in_flight =
      saturation > 0 ? saturation * concurrency_limit_threads(settings_, engine, now) / threads_per_query_
                     : 0;
  if (!reported && min_in_flight <= 0) return;
  EngineLoad& load = engine.load;
  const double remote = std::max(0.0, std::max(reported.value_or(0), min_in_flight) - load.local_in_flight);
  const double elapsed_us = now - load.reported_at;
  const double weight = load.has_report ? 1 - std::exp(-elapsed_us / kReportSmoothingUs) : 1;
  load.remote_in_flight += std::max(weight, kMinReportWeight) * (remote - load.remote_in_flight);
  load.has_report = true;
  load.reported_at = now;
  const double fleet_weight =
      fleet_reported_at_ ? 1 - std::exp(-1.0 * (now - fleet_reported_at_) / kFleetReportSmoothingUs) : 1;
  reported_in_flight_per_core_ +=
      std::max(fleet_weight, kMinFleetReportWeight) * (remote / engine.cores - reported_in_flight_per_core_);
  fleet_reported_at_ = now;
}

double LoadEstimator::remote_threads(const Engine& engine, TimeUs now) const {
  return remote_in_flight(engine, now) * threads_per_query_;
}

double LoadEstimator::fleet_remote_threads(TimeUs now) const {
  return fleet_remote_in_flight_per_core(now) * fleet_cores_ * threads_per_query_;
}

double LoadEstimator::drain_time_us(const Engine& engine, TimeUs now) const {
  double work_us = remote_in_flight(engine, now) * remaining_work_per_query_us_;
  for (const Query* query : engine.in_flight) work_us += cost_model_.remaining_work_us(*query, engine, now);
  for (const Query* query : engine.queue) work_us += cost_model_.work_us(*query);
  return work_us * engine.latency.current() / concurrency_limit_threads(settings_, engine, now);
}

// A report decays to the fleet's mean.
double LoadEstimator::remote_in_flight(const Engine& engine, TimeUs now) const {
  const double fleet_mean = fleet_remote_in_flight_per_core(now) * engine.cores *
                            warmed_capacity_fraction(settings_, engine.endpoint, now);
  if (!engine.load.has_report) return fleet_mean;
  return fleet_mean + (engine.load.remote_in_flight - fleet_mean) *
                          std::exp(-1.0 * (now - engine.load.reported_at) / kReportDecayUs);
}

// The fleet's mean decays to the local load, taken for typical. A stale mean would keep an idle gateway from
// sending and therefore from ever receiving a new report.
double LoadEstimator::fleet_remote_in_flight_per_core(TimeUs now) const {
  const double typical =
      local_threads_ * (settings_.gateway_count - 1) / std::max(fleet_cores_, 1.0) / threads_per_query_;
  if (fleet_reported_at_ == 0) return typical;
  return typical + (reported_in_flight_per_core_ - typical) *
                       std::exp(-1.0 * (now - fleet_reported_at_) / kReportDecayUs);
}

// Queries in flight by whichever fields the report has. Busy cores stand for their fraction of the
// concurrency limit: they say nothing about the load beyond it, and little where memory pages. Memory in use
// keeps growing.
std::optional<double> LoadEstimator::reported_in_flight(const LoadReport& report, const Engine& engine,
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
    in_flight = std::min(queries_filling_memory, engine.load.local_in_flight + remote_in_flight(engine, now));
  return *in_flight + *report.waiting_for_memory;
}

}  // namespace sablelink
