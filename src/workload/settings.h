// Typed settings of the workload manager. settings_parser.h reads them from text.
#pragma once

#include <vector>

#include "workload/types.h"

namespace sablelink {

enum class Idempotency {
  kIdempotent,
  kIdempotentWithKey,
  kNotIdempotent
};                                             // may it run twice; dedup: engines of a group drop repeats
enum class DedupScope { kAll, kZone, kCell };  // which engines share the memory of repeats
enum class MemoryPressurePolicy { kQueue, kReduceGrant, kOvercommit };

struct ClassSettings {
  TimeUs latency_objective_us = 1'000'000;  // answered within this: full worth
  double latency_objective_stretch = 0;     // the aim grows by this times work over threads
  TimeUs request_timeout_us = 5'000'000;    // the client's whole patience, over all its tries
  double priority_weight = 1;
  double late_weight_fraction = 0;  // share of the worth paid past the aim
  Idempotency idempotency = Idempotency::kIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;
  TimeUs dedup_window_us = 0;  // dedup: how long repeats are remembered
  bool streams_response = false;
  bool ordered_by_key = false;            // requests of one key take turns
  std::vector<int> allowed_zones;         // empty: any
  std::vector<int> allowed_engine_types;  // empty: any
  double threads = 1;                     // threads that a query runs on
  bool writes_tables = false;             // a load: holds its table group while it runs
  bool blocked_by_table_loads = false;    // stands still while a load holds its group
};

struct TenantSettings {
  double quota_requests_per_s = 0;  // requests within its share, over all gateways; 0: not told
};

struct Settings {
  int gateway_count = 1;
  int gateway_index = 0;
  int zone = 0;
  TimeUs tick_us = 1000;
  bool watch_endpoints = false;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_quota_weight_fraction = 1;  // share of its worth that a request past its tenant's share keeps
  std::vector<double> engine_type_cores;  // by kind; 0 or missing: unknown
  std::vector<double> engine_type_memory_mb;
  double max_grant_fraction = 1;
  bool engines_honor_grants = false;
  bool engines_honor_priorities = false;
  bool engines_report_cost = false;
  TimeUs progress_interval_us = 0;
  MemoryPressurePolicy memory_pressure_policy = MemoryPressurePolicy::kQueue;
  bool cancellation_allowed = false;
  bool health_checks_allowed = false;
  bool load_reports_in_responses = true;  // else in probe results alone, or nowhere
  bool load_reports_in_health_checks = false;
  bool gossip_allowed = false;
  bool hedging_allowed = false;
  bool clients_honor_retry_after = false;
  TimeUs max_retry_after_us = 0;
  int max_attempts = 1;
  TimeUs response_slack_us = 0;
  TimeUs drain_grace_us = 0;
  TimeUs endpoint_poll_limit_us = 0;
  double slow_start_min_capacity_fraction = 1;  // share of its capacity that a fresh engine has at the least
  double collapse_load_multiple = 1;            // sent more than this times its present capacity ...
  TimeUs collapse_window_us = 0;                // ... for this long, a cold engine falls over; 0: never
  TimeUs slow_start_duration_us = 0;
  TimeUs ordering_gap_us = 0;
  bool retry_budget_enabled = false;
  double retry_budget_base = 0;
  double retry_budget_per_request = 0;
  TimeUs retry_budget_window_us = 0;
  TimeUs max_send_delay_us = 0;  // most from a send's decision to its leaving: a connection may be made first
  double cross_zone_cost = 0;
  double health_check_cost = 0;
};

}  // namespace sablelink
