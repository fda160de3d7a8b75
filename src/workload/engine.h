// An engine as the workload manager sees it: its endpoint, the queries there and what each part knows about
// it.
#pragma once

#include <vector>

#include "workload/cost_model.h"
#include "workload/events.h"
#include "workload/query.h"
#include "workload/slow_start.h"
#include "workload/types.h"

namespace sablelink {

/// Owned by the workload manager. Each part changes the member that has its type alone.
struct Engine {
  Endpoint endpoint;
  double cores = 0;
  std::vector<Query*> queue;      // not sent yet, in starting order
  std::vector<Query*> in_flight;  // sent, without an outcome so far, in sending order
  int64_t last_table_group = -1;  // of the query that was started there last; -1: none
  EngineLatency latency;
  double own_avg = 0;
  double others = 0;
  bool heard = false;
  TimeUs averaged_at = 0;
  TimeUs report_at = 0;
  TimeUs probe_at = 0;
  TimeUs full_at = 0;
  TimeUs life_at = 0;
  double errors = 0;
  TimeUs ejected_until = 0;
  TimeUs eject_for = 0;
  int trial_oks = 0;
  SlowStartState slow_start;

  /// Threads of this gateway's queries in flight there.
  double in_flight_threads() const {
    double threads = 0;
    for (const Query* query : in_flight) threads += query->class_settings->threads;
    return threads;
  }
};

}  // namespace sablelink
