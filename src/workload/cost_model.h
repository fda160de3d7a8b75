// Estimates work, service time and memory by query class, and learns them from the outcomes of attempts.
#pragma once

#include <vector>

#include "workload/events.h"
#include "workload/query.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

/// Ratio of an engine's service time to the fleet's mean: 1 is the mean, an engine with 2 takes twice as
/// long.
struct EngineLatency {
  double ratio = 1;             // learned from ended attempts
  double in_flight_ratio = 1;   // estimated from attempts in flight, at least 1
  TimeUs ratio_updated_at = 0;  // last time that ratio was learned from an attempt

  double current() const { return ratio > in_flight_ratio ? ratio : in_flight_ratio; }
};

/// Statistics of the completed queries of one class. Work is the time that a query takes on a single thread.
struct ClassStatistics {
  double mean_work_us = 0;
  double work_variance_us2 = 0;
  double completions = 0;
  double work_to_estimate_ratio = 1;    // reported work divided by estimated cost
  double memory_to_estimate_ratio = 1;  // used memory divided by estimated memory
  double mean_memory_mb = 0;
  double service_time_ratio = 1;  // duration divided by (work / threads)
};

class CostModel {
 public:
  /// settings must outlive the model.
  explicit CostModel(const Settings& settings);

  /// Called once, at the gateway's start.
  void on_start(TimeUs now) { started_at_ = now; }

  const ClassStatistics& class_statistics(const Query& query) const {
    return statistics_[query.request.class_index];
  }
  double max_class_work_us() const;
  /// Duration divided by (work / threads), over all classes.
  double service_time_ratio() const { return service_time_ratio_; }

  /// Estimated work of the query; at least 1 us.
  double work_us(const Query& query) const;
  /// Whether the query's work is below the mean of the classes' mean work.
  bool is_light(const Query& query) const;
  /// Expected duration of an attempt on the engine in its current state.
  double expected_duration_us(const Query& query, const Engine& engine, TimeUs now) const;
  /// Remaining work of the query's attempt in flight on the engine.
  double remaining_work_us(const Query& query, const Engine& engine, TimeUs now) const;
  /// Memory that this gateway grants the query on the engine, or the grant expected from engines that choose
  /// it themselves.
  double memory_grant_mb(const Query& query, const Engine& engine) const;

  /// Learns from a successful attempt. duration_valid is false if a stall of this gateway delayed the
  /// outcome.
  void on_success(const Query& query, Engine& engine, const AttemptCompletion& completion,
                  bool duration_valid, TimeUs now);
  /// Learns from an attempt that was cancelled or timed out after duration_us.
  void on_interrupted(const Query& query, Engine& engine, TimeUs duration_us, TimeUs now);
  static void on_engine_recovered(Engine& engine);
  /// ratio: time in flight divided by expected duration, averaged over the attempts in flight on the engine.
  static void on_in_flight_latency(Engine& engine, double ratio);
  /// Moves the latency ratio of an engine without recent outcomes back towards 1; called every interval_us.
  static void decay_latency_ratio(Engine& engine, TimeUs interval_us, TimeUs now);

 private:
  void learn_work(const Query& query, const AttemptCompletion& completion, double work, double rate);
  void learn_memory(const Query& query, const AttemptCompletion& completion, double rate);
  void learn_latency_ratio(Engine& engine, double observed_ratio, TimeUs now) const;

  const Settings& settings_;
  std::vector<ClassStatistics> statistics_;  // by class index
  double service_time_ratio_;
  TimeUs started_at_ = 0;
};

}  // namespace sablelink
