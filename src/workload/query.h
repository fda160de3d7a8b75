// A client's request as the workload manager tracks it.
#pragma once

#include <map>
#include <vector>

#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

struct Engine;
/// By identifier: decisions must not depend on the order in which endpoints were listed.
using EngineMap = std::map<EngineId, Engine>;

/// Known from its arrival until it is completed and no attempt of it is in flight any more. Owned by the
/// workload manager; engines point to the queries that are queued or in flight there.
struct Query {
  QueryRequest request;
  const ClassSettings* class_settings = nullptr;  // owned by the manager's settings
  TimeUs arrived_at = 0;
  bool completed = false;          // the final response was given, or the client disconnected
  bool attempt_in_flight = false;  // sent without an outcome so far; never more than one attempt is
  bool response_started = false;   // a streamed response is on its way to the client
  bool cancel_requested = false;   // of the attempt in flight
  int attempts = 0;
  TimeUs sent_at = 0;                // of the latest attempt
  TimeUs predicted_duration_us = 0;  // of the attempt in flight, by its progress updates; 0: none came
  int cancelled_stragglers = 0;      // attempts
  bool may_have_run = false;
  Endpoint first_run_endpoint;  // of the first attempt that may have run
  TimeUs first_run_at = 0;
  EngineId avoided_engine = 0;           // where the latest attempt went wrong; 0: none
  std::vector<EngineId> failed_engines;  // answered with an error for which nobody is blamed yet
  TimeUs last_error_at = 0;
  Engine* engine = nullptr;                // where it is queued or in flight
  TimeUs health_checks_awaited_until = 0;  // 0: none were sent for it
};

}  // namespace sablelink
