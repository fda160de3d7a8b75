// Typed settings of the workload manager. settings_parser.h reads them from text.
#pragma once

#include <vector>

#include "workload/types.h"

namespace sablelink {

/// Whether a query may run more than once. With a key, engines drop repeats that they still remember.
enum class Idempotency { kIdempotent, kIdempotentWithKey, kNotIdempotent };
/// Which engines share the memory of idempotency keys: all, those of one zone, or those of one cell.
enum class DedupScope { kAll, kZone, kCell };
/// What engines do with a query whose memory isn't free: queue it, grant it less, or grant it all the same.
enum class MemoryPressurePolicy { kQueue, kReduceGrant, kOvercommit };

/// Settings of one class of queries.
struct ClassSettings {
  TimeUs latency_objective_us = 1'000'000;  // a response within this has the full priority weight
  double latency_objective_stretch = 0;     // raises the objective by this times work over threads
  TimeUs request_timeout_us = 5'000'000;    // how long a client waits, over all its attempts
  double priority_weight = 1;
  double late_weight_fraction = 0;  // of the priority weight, for a response after the objective
  Idempotency idempotency = Idempotency::kIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;
  TimeUs dedup_window_us = 0;  // with a key: how long engines remember it
  bool streams_response = false;
  bool ordered_by_key = false;            // queries of one key run one at a time, in order of arrival
  std::vector<int> allowed_zones;         // empty: any
  std::vector<int> allowed_engine_types;  // empty: any
  double threads = 1;                     // on which a query runs
  bool writes_tables = false;             // a table load: locks its table group while it runs
  bool blocked_by_table_loads = false;    // waits on the engine while a table load locks its group
};

struct TenantSettings {
  double quota_requests_per_s = 0;  // over all gateways; 0: unknown
};

struct Settings {
  int gateway_count = 1;  // gateways that share the engines, this one included
  int gateway_index = 0;
  int zone = 0;                  // of this gateway
  TimeUs tick_us = 1000;         // shortest time between two batches of events
  bool watch_endpoints = false;  // the endpoint list comes only if watched

  std::vector<ClassSettings> classes;  // requests name theirs by its index
  std::vector<TenantSettings> tenants;
  double over_quota_weight_fraction = 1;  // of the priority weight, for a request over its tenant's quota

  // Engines.
  std::vector<double> engine_type_cores;      // by engine type; 0 or missing: unknown
  std::vector<double> engine_type_memory_mb;  // by engine type; missing: unknown
  double max_grant_fraction = 1;              // of an engine's memory, for one query
  bool engines_honor_grants = false;
  bool engines_honor_priorities = false;
  bool engines_report_cost = false;
  TimeUs progress_interval_us = 0;  // of progress updates; 0: none come
  MemoryPressurePolicy memory_pressure_policy = MemoryPressurePolicy::kQueue;

  // What the gateway may do.
  bool cancellation_allowed = false;
  bool health_checks_allowed = false;
  bool load_reports_in_responses = true;  // else with health checks alone, or not at all
  bool load_reports_in_health_checks = false;
  bool gossip_allowed = false;
  bool hedging_allowed = false;
  bool clients_honor_retry_after = false;
  TimeUs max_retry_after_us = 0;
  int max_attempts = 1;          // per request
  TimeUs response_slack_us = 0;  // a final response this long after the deadline is still in time
  TimeUs drain_grace_us = 0;     // sends to an engine stop this long after the notification that it drains
  TimeUs endpoint_poll_limit_us = 0;  // an unwatched endpoint list is polled within this

  // Engines that warm up after their start.
  double slow_start_min_capacity_fraction = 1;  // at the start
  TimeUs slow_start_duration_us = 0;            // until the full capacity is reached
  double collapse_load_multiple = 1;  // of its present capacity: under more work an engine collapses ...
  TimeUs collapse_window_us = 0;      // ... if it was sent within this; 0: never

  TimeUs ordering_gap_us = 0;  // a key rests this long after an attempt that may still be running

  // At most base + per_request times the requests of the window, within any window.
  bool retry_budget_enabled = false;
  double retry_budget_base = 0;
  double retry_budget_per_request = 0;
  TimeUs retry_budget_window_us = 0;

  TimeUs max_send_delay_us = 0;  // from a send's decision until it leaves: it may need a new connection
  double cross_zone_cost = 0;    // fee for attempts in other zones; 0: none
  double health_check_cost = 0;  // fee for a health check per first attempt
};

}  // namespace sablelink
