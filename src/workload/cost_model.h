// Estimates of work, service time and memory by query class, learned from the outcomes of attempts.
#pragma once

#include <vector>

#include "workload/events.h"
#include "workload/query.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

/// An engine's service time against the fleet's; 1 is the fleet's mean, 2 takes twice as long.
struct EngineLatency {
  double ratio = 1;            // learned from completed attempts
  double in_flight_ratio = 1;  // estimated from attempts in flight, at least 1
  TimeUs updated_at = 0;       // when ratio was learned last

  double current() const { return ratio > in_flight_ratio ? ratio : in_flight_ratio; }
};

/// What is known of a class's queries. Work is the time that a query would take on one thread alone.
struct ClassStatistics {
  double mean_work_us = 0;
  double work_variance_us2 = 0;
  double completions = 0;
  double cost_ratio = 1;    // reported work over estimated cost
  double memory_ratio = 1;  // used over estimated memory
  double mean_memory_mb = 0;
  double service_time_ratio = 1;  // duration over work divided by threads
};

class CostModel {
 public:
  /// settings must outlive the model.
  explicit CostModel(const Settings& settings);

  /// Called once, when the gateway starts.
  void on_start(TimeUs now) { started_at_ = now; }

  const ClassStatistics& class_statistics(const Query& query) const {
    return statistics_[query.request.class_index];
  }
  double max_class_work_us() const;
  /// Duration over work divided by threads, of all classes together.
  double service_time_ratio() const { return service_time_ratio_; }

  /// Estimated work; at least 1 us.
  double work_us(const Query& query) const;
  /// Whether the query's work is below the mean of all classes.
  bool is_light(const Query& query) const;
  /// Expected duration of an attempt on the engine in its present state.
  double expected_duration_us(const Query& query, const Engine& engine, TimeUs now) const;
  /// Work left of the query's attempt in flight on the engine.
  double remaining_work_us(const Query& query, const Engine& engine, TimeUs now) const;
  /// Memory that the query is granted on the engine, or is expected to be granted by the engine itself.
  double memory_grant_mb(const Query& query, const Engine& engine) const;

  /// Learns from a successful attempt. duration_valid: false where a stall of this gateway delayed the
  /// outcome.
  void on_success(const Query& query, Engine& engine, const AttemptCompletion& completion,
                  bool duration_valid, TimeUs now);
  /// Learns from an attempt that was cancelled or timed out after duration_us.
  void on_interrupted(const Query& query, Engine& engine, TimeUs duration_us, TimeUs now);
  static void on_engine_recovered(Engine& engine);
  /// ratio: time in flight over expected duration, mean of the attempts in flight on the engine.
  static void on_in_flight_latency(Engine& engine, double ratio);
  /// Moves the ratio of an engine without recent outcomes back towards 1; called every interval_us.
  static void decay_latency_ratio(Engine& engine, TimeUs interval_us, TimeUs now);

 private:
  void learn_work(const Query& query, const AttemptCompletion& completion, double work, double rate);
  void learn_memory(const Query& query, const AttemptCompletion& completion, double rate);
  void learn_latency_ratio(Engine& engine, double observed_ratio, TimeUs now) const;

  const Settings& settings_;
  std::vector<ClassStatistics> statistics_;  // by class
  double service_time_ratio_;
  TimeUs started_at_ = 0;
};

}  // namespace sablelink
