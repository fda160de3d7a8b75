// An engine as the workload manager sees it: its endpoint, the queries there and what each part knows about
// it.
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

/// Owned by the workload manager. Of the members below the queues, each is changed by one part alone.
struct Engine {
  Endpoint endpoint;
  double cores = 0;
  std::vector<Query*> queue;      // not sent yet, in starting order
  std::vector<Query*> in_flight;  // sent, without an outcome so far, in sending order
  int64_t last_table_group = -1;  // of the query that was started there last; -1: none
  EngineLatency latency;
  EngineLoad load;
  EngineOverload overload;
  EngineHealth health;
  SlowStartState slow_start;
  TimeUs health_check_sent_at = 0;  // 0: none is awaited

  bool is_ready() const { return endpoint.state == EndpointState::kReady; }

  /// Threads of this gateway's queries in flight there.
  double in_flight_threads() const {
    double threads = 0;
    for (const Query* query : in_flight) threads += query->class_settings->threads;
    return threads;
  }
};

}  // namespace sablelink
