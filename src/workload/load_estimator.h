// Estimates the load of engines: from this gateway's own queries, and from load reports for the queries of
// other gateways.
#pragma once

#include <optional>

#include "workload/cost_model.h"
#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

/// Estimated number of queries in flight on one engine.
struct EngineLoad {
  double smoothed_local_queries = 0;   // smoothed like the load reports
  double smoothed_remote_queries = 0;  // queries of other gateways, from load reports
  bool has_report = false;
  TimeUs local_smoothed_at = 0;  // last update of smoothed_local_queries
  TimeUs reported_at = 0;
};

/// The queries of other gateways are not visible: they are assumed to resemble this gateway's queries in
/// flight.
class LoadEstimator {
 public:
  /// Both arguments must outlive this object.
  LoadEstimator(const Settings& settings, const CostModel& cost_model)
      : settings_(settings), cost_model_(cost_model) {}

  static void on_engine_started(Engine& engine, TimeUs now);
  /// Called at regular intervals and whenever the set or the state of engines changes.
  void refresh(EngineMap& engines, TimeUs now);
  /// saturation: lower bound of the engine's load as a multiple of its concurrency limit; 0: unknown.
  void on_load_report(Engine& engine, const LoadReport& report, double saturation, TimeUs now);

  /// Number of threads of the other gateways' queries on the engine.
  double remote_threads(const Engine& engine, TimeUs now) const;
  /// Number of threads of the other gateways' queries on all ready engines.
  double fleet_remote_threads(TimeUs now) const;
  /// Time that the engine needs to complete its queries in flight and the queries that this gateway has
  /// queued for it.
  double drain_time_us(const Engine& engine, TimeUs now) const;

 private:
  double remote_queries(const Engine& engine, TimeUs now) const;
  double fleet_remote_queries_per_core(TimeUs now) const;
  std::optional<double> reported_queries(const LoadReport& report, const Engine& engine, TimeUs now) const;

  const Settings& settings_;
  const CostModel& cost_model_;
  // Smoothed totals of this gateway's queries in flight.
  double smoothed_local_queries_ = 0;
  double smoothed_local_threads_ = 0;
  double smoothed_local_remaining_work_us_ = 0;
  double smoothed_local_memory_mb_ = 0;
  // Means per query in flight.
  double threads_per_query_ = 1.5;
  double remaining_work_per_query_us_ = 500'000;
  double memory_per_query_mb_ = 0;
  // Mean number of other gateways' queries per core over all load reports.
  double fleet_mean_remote_queries_per_core_ = 0;
  TimeUs fleet_reported_at_ = 0;  // 0: no report received yet
  double ready_cores_ = 0;        // total cores of the ready engines
};

}  // namespace sablelink
