// The workload manager's view of an engine: its endpoint, the queries queued or in flight there and the state
// that each component keeps for it.
#pragma once

#include <vector>

#include "workload/concurrency_limiter.h"
#include "workload/cost_model.h"
#include "workload/events.h"
#include "workload/load_estimator.h"
#include "workload/outlier_detector.h"
#include "workload/query.h"
#include "workload/slow_start.h"
#include "workload/types.h"

namespace sablelink {

/// Owned by the workload manager. Each member below the queues is changed by a single component.
struct Engine {
  Endpoint endpoint;
  double cores = 0;
  std::vector<Query*> queue;              // not sent yet, in the order in which they start
  std::vector<Query*> in_flight;          // sent and without an outcome so far, in the order of their sends
  int64_t last_started_table_group = -1;  // table group of the query sent last; -1: none
  EngineLatency latency;
  EngineLoad load;
  EngineOverload overload;
  EngineHealth health;
  SlowStartState slow_start;
  TimeUs pending_health_check_sent_at = 0;  // 0: no health check is pending

  bool is_ready() const { return endpoint.state == EndpointState::kReady; }

  /// Number of threads of this gateway's queries in flight on the engine.
  double in_flight_threads() const {
    double threads = 0;
    for (const Query* query : in_flight) threads += query->class_settings->threads;
    return threads;
  }
};

}  // namespace sablelink
