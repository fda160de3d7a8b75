// Estimates the load of engines: this gateway's own, and that of the other gateways from load reports.
#pragma once

#include <optional>

#include "workload/cost_model.h"
#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

/// What is known of the queries in flight on one engine.
struct EngineLoad {
  double local_in_flight = 0;   // this gateway's queries, smoothed as reports are
  double remote_in_flight = 0;  // other gateways' queries by the load reports, smoothed
  bool has_report = false;
  TimeUs smoothed_at = 0;  // local_in_flight
  TimeUs reported_at = 0;
};

/// Other gateways' queries aren't seen themselves: they are taken to be like this gateway's own in flight.
class LoadEstimator {
 public:
  /// Both must outlive this object.
  LoadEstimator(const Settings& settings, const CostModel& cost_model)
      : settings_(settings), cost_model_(cost_model) {}

  static void on_engine_started(Engine& engine, TimeUs now);
  /// Called at regular intervals and when the engines have changed.
  void refresh(EngineMap& engines, TimeUs now);
  /// saturation: multiple of its concurrency limit at which the engine is known to run at the least; 0:
  /// unknown.
  void on_load_report(Engine& engine, const LoadReport& report, double saturation, TimeUs now);

  /// Threads of the other gateways' queries on the engine.
  double remote_threads(const Engine& engine, TimeUs now) const;
  /// Threads of the other gateways' queries on all engines that are ready.
  double fleet_remote_threads(TimeUs now) const;
  /// Time in which the engine would complete what is in flight there and what this gateway has queued for it.
  double drain_time_us(const Engine& engine, TimeUs now) const;

 private:
  double remote_in_flight(const Engine& engine, TimeUs now) const;
  double fleet_remote_in_flight_per_core(TimeUs now) const;
  std::optional<double> reported_in_flight(const LoadReport& report, const Engine& engine, TimeUs now) const;

  const Settings& settings_;
  const CostModel& cost_model_;
  // This gateway's queries in flight, smoothed.
  double local_queries_ = 0;
  double local_threads_ = 0;
  double local_remaining_work_us_ = 0;
  double local_memory_mb_ = 0;
  // Of the typical query in flight.
  double threads_per_query_ = 1.5;
  double remaining_work_per_query_us_ = 500'000;
  double memory_per_query_mb_ = 0;
  // Fleet's mean of reports: other gateways' queries per core.
  double reported_in_flight_per_core_ = 0;
  TimeUs fleet_reported_at_ = 0;  // 0: no report came so far
  double fleet_cores_ = 0;        // of the engines that are ready
};

}  // namespace sablelink
