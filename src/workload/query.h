// State of a client's request in the workload manager.
#pragma once

#include <map>
#include <vector>

#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

struct Engine;
/// Ordered by identifier, so that decisions don't depend on the order of the endpoint list.
using EngineMap = std::map<EngineId, Engine>;

/// Exists from the request's arrival until it is completed and has no attempt in flight. Owned by the
/// workload manager; engines point to the queries that are queued or in flight there.
struct Query {
  QueryRequest request;
  const ClassSettings* class_settings = nullptr;  // points into the manager's settings
  TimeUs arrived_at = 0;
  bool completed = false;  // the final response was sent, or the client disconnected
  // sent and without an outcome so far; a query has at most one attempt in flight
  bool attempt_in_flight = false;
  bool response_started = false;  // a part of a streamed response has reached the client
  bool cancel_requested = false;  // for the attempt in flight
  int attempts = 0;
  TimeUs sent_at = 0;                // send time of the latest attempt
  TimeUs predicted_duration_us = 0;  // of the attempt in flight, from its progress updates; 0: unknown
  int straggler_cancellations = 0;   // number of attempts cancelled as stragglers
  bool may_have_run = false;
  Endpoint first_run_endpoint;  // endpoint of the first attempt that may have run
  TimeUs first_run_at = 0;
  EngineId avoided_engine = 0;                       // engine of the latest unsuccessful attempt; 0: none
  std::vector<EngineId> unattributed_error_engines;  // engines whose errors are not attributed yet
  TimeUs last_error_at = 0;
  Engine* engine = nullptr;            // engine on which the query is queued or in flight
  TimeUs health_check_wait_until = 0;  // 0: no health checks were sent for this query
};

}  // namespace sablelink
