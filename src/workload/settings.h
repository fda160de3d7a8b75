// Settings of the workload manager; settings_parser.h reads them from text.
#pragma once

#include <vector>

#include "workload/types.h"

namespace sablelink {

/// Whether a query may run more than once. With a key, engines drop repeats of keys that they still remember.
enum class Idempotency { kIdempotent, kIdempotentWithKey, kNotIdempotent };
/// Which engines share the memory of idempotency keys: all engines, those of one zone, or those of one cell.
enum class DedupScope { kAll, kZone, kCell };
/// What an engine does with a query that needs more memory than is free: queue it, reduce its grant, or
/// overcommit.
enum class MemoryPressurePolicy { kQueue, kReduceGrant, kOvercommit };

/// Settings of one class of queries.
struct ClassSettings {
  TimeUs latency_objective_us = 1'000'000;  // a response within this time has the full priority weight
  double latency_objective_stretch = 0;     // the objective grows by this factor times work / threads
  TimeUs request_timeout_us = 5'000'000;    // time until the client disconnects, over all attempts
  double priority_weight = 1;
  double late_weight_fraction = 0;  // fraction of the priority weight for a response after the objective
  Idempotency idempotency = Idempotency::kIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;
  TimeUs dedup_window_us = 0;  // for idempotency keys: how long engines remember a key
  bool streams_response = false;
  bool ordered_by_key = false;            // queries with the same key run one at a time, in order of arrival
  std::vector<int> allowed_zones;         // empty: any
  std::vector<int> allowed_engine_types;  // empty: any
  double threads = 1;                     // number of threads that a query uses
  bool writes_tables = false;             // a table load, which locks its table group while it runs
  bool blocked_by_table_loads = false;    // waits on the engine while a table load locks its table group
};

struct TenantSettings {
  double quota_requests_per_s = 0;  // summed over all gateways; 0: unknown
};

struct Settings {
  int gateway_count = 1;  // number of gateways that use the engines, including this one
  int gateway_index = 0;
  int zone = 0;                  // zone of this gateway
  TimeUs tick_us = 1000;         // shortest interval between two batches of events
  bool watch_endpoints = false;  // endpoint updates must be subscribed to

  std::vector<ClassSettings> classes;  // requests refer to a class by its index
  std::vector<TenantSettings> tenants;
  double over_quota_weight_fraction =
      1;  // fraction of the priority weight for requests over their tenant's quota

  // Engines.
  std::vector<double> engine_type_cores;      // by engine type; 0 or missing: unknown
  std::vector<double> engine_type_memory_mb;  // by engine type; missing: unknown
  double max_grant_fraction = 1;  // largest fraction of an engine's memory that one query may be granted
  bool engines_honor_grants = false;
  bool engines_honor_priorities = false;
  bool engines_report_cost = false;
  TimeUs progress_interval_us = 0;  // interval of progress updates; 0: there are none
  MemoryPressurePolicy memory_pressure_policy = MemoryPressurePolicy::kQueue;

  // Permissions and limits of the gateway.
  bool cancellation_allowed = false;
  bool health_checks_allowed = false;
  bool load_reports_in_responses = true;  // if false, load reports come only with health checks or not at all
  bool load_reports_in_health_checks = false;
  bool gossip_allowed = false;
  bool hedging_allowed = false;
  bool clients_honor_retry_after = false;
  TimeUs max_retry_after_us = 0;
  int max_attempts = 1;               // largest number of attempts per request
  TimeUs response_slack_us = 0;       // a final response may follow the deadline by this much
  TimeUs drain_grace_us = 0;          // sends to a draining engine must end this long after the notification
  TimeUs endpoint_poll_limit_us = 0;  // an endpoint list that isn't watched is polled within this interval

  // Slow start of engines.
  double slow_start_min_capacity_fraction = 1;  // fraction of the capacity at the engine's start
  TimeUs slow_start_duration_us = 0;            // time until the engine reaches its full capacity
  double collapse_load_multiple =
      1;  // a warming engine collapses under more than this multiple of its current capacity ...
  TimeUs collapse_window_us = 0;  // ... sent within this window; 0: engines don't collapse

  TimeUs ordering_gap_us =
      0;  // minimum delay of a key's next query after an attempt that may still be running

  // Retry budget: within any window, at most base + per_request * (number of requests in the window) retries.
  bool retry_budget_enabled = false;
  double retry_budget_base = 0;
  double retry_budget_per_request = 0;
  TimeUs retry_budget_window_us = 0;

  TimeUs max_send_delay_us =
      0;  // longest time between the decision to send and the send, which may need a new connection
  double cross_zone_cost = 0;    // fee per attempt in another zone; 0: none
  double health_check_cost = 0;  // fee at a rate of one health check per first attempt
};

}  // namespace sablelink
