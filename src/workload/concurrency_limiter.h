// Limits how many threads of queries this gateway keeps in flight on an engine, and on the fleet.
#pragma once

#include "workload/cost_model.h"
#include "workload/load_estimator.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

struct EngineOverload {
  TimeUs rejected_at = 0;  // when the engine last rejected an attempt as overloaded; 0: never
};

class ConcurrencyLimiter {
 public:
  /// All must outlive this object.
  ConcurrencyLimiter(const Settings& settings, const CostModel& cost_model,
                     const LoadEstimator& load_estimator);

  /// Called at regular intervals and when the engines have changed.
  void refresh(const EngineMap& engines, TimeUs now);
  void on_attempt_sent(const Query& query) { local_threads_ += query.class_settings->threads; }
  void on_attempt_ended(const Query& query) { local_threads_ -= query.class_settings->threads; }
  static void on_engine_overloaded(Engine& engine, TimeUs now);

  /// Threads that this gateway may keep on the engine while gateways compete for it: its equal quota, or what
  /// the others leave where that is more.
  double local_quota_threads(const Engine& engine, TimeUs now) const;
  /// Threads that this gateway may add on the engine now. The quota binds under pressure alone.
  double free_threads(const Engine& engine, TimeUs now) const;
  /// Whether a query may start where an engine has this many free threads. While the whole fleet is over its
  /// limit, heavy queries wait until this gateway is below its quota of the fleet.
  bool has_capacity_for(const Query& query, double free_threads, TimeUs now) const;

 private:
  bool is_under_pressure(const Engine& engine, TimeUs now) const;

  const Settings& settings_;
  const CostModel& cost_model_;
  const LoadEstimator& load_estimator_;
  double max_class_threads_ = 1;    // of a query of any class
  double local_threads_ = 0;        // of this gateway's queries in flight
  double fleet_limit_threads_ = 0;  // concurrency limits of the engines that are ready
};

}  // namespace sablelink
