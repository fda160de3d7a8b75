// Limits how many threads this gateway's queries in flight use on each engine and on the fleet.
#pragma once

#include "workload/cost_model.h"
#include "workload/load_estimator.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

struct EngineOverload {
  TimeUs last_rejection_at = 0;  // last rejection of an attempt as overloaded; 0: never
};

class ConcurrencyLimiter {
 public:
  /// All arguments must outlive this object.
  ConcurrencyLimiter(const Settings& settings, const CostModel& cost_model,
                     const LoadEstimator& load_estimator);

  /// Called at regular intervals and whenever the set or the state of engines changes.
  void refresh(const EngineMap& engines, TimeUs now);
  void on_attempt_sent(const Query& query) { local_in_flight_threads_ += query.class_settings->threads; }
  void on_attempt_ended(const Query& query) { local_in_flight_threads_ -= query.class_settings->threads; }
  static void on_engine_overloaded(Engine& engine, TimeUs now);

  /// Number of threads that this gateway may use on the engine while gateways compete for it: an equal part
  /// of the limit, or the part that the other gateways leave free if that is larger.
  double local_quota_threads(const Engine& engine, TimeUs now) const;
  /// Number of additional threads that this gateway may use on the engine now. The quota applies only while
  /// the engine is under pressure.
  double free_threads(const Engine& engine, TimeUs now) const;
  /// Whether a query may start on an engine with this many free threads. While the load of the fleet is above
  /// its limit, heavy queries wait until this gateway is below its quota of the fleet.
  bool has_capacity_for(const Query& query, double free_threads, TimeUs now) const;

 private:
  bool is_under_pressure(const Engine& engine, TimeUs now) const;

  const Settings& settings_;
  const CostModel& cost_model_;
  const LoadEstimator& load_estimator_;
  double max_class_threads_ = 1;        // largest number of threads per query of all classes
  double local_in_flight_threads_ = 0;  // threads of this gateway's queries in flight
  double ready_limit_threads_ = 0;      // sum of the concurrency limits of all ready engines
};

}  // namespace sablelink
