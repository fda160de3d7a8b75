// The interface of sablelink: what a query gateway is told (settings, events), what it may do (actions), and
// the Gateway class that decides. All decisions live in policy.cpp; this file holds none.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sablelink {

using TimeUs = int64_t;      // microseconds on the gateway's clock, which only advances
using RequestId = uint32_t;  // never repeated while a gateway lives
using EngineId = uint64_t;   // opaque; carries no meaning
constexpr uint32_t kAllGateways = 0xffffffff;

enum class Idempotency {
  kIdempotent,
  kIdempotentWithKey,
  kNotIdempotent
};                                             // may it run twice; dedup: engines of a group drop repeats
enum class DedupScope { kAll, kZone, kCell };  // which engines share the memory of repeats
enum class MemoryPressurePolicy { kQueue, kReduceGrant, kOvercommit };
enum class EndpointState { kRemoved, kReady, kDraining };
enum class EndpointUpdateKind { kDelta, kFull, kCached, kFailed };
enum class Outcome { kOk, kError, kOverloaded, kTimeout, kConnectFailed, kReset, kCancelled, kSuperseded };
enum class ProgressKind { kProgress, kSpill, kWaiting };

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

struct Endpoint {
  EngineId engine = 0;
  EndpointState state = EndpointState::kReady;
  int cell = 0;
  int zone = 0;
  int engine_type = 0;
  double size = 1;
  TimeUs started_at = 0;  // 0: long ago
};

struct LoadReport {
  std::optional<double> in_flight;           // queries in hand
  std::optional<double> waiting_for_memory;  // of these, waiting for memory
  std::optional<double> cpu_utilization;     // busy share of the cores
  std::optional<double> memory_utilization;  // share of the memory granted
  std::optional<double> disk_utilization;    // busy share of the disks
};

struct QueryRequest {
  RequestId id = 0;
  int class_index = 0;
  int tenant = 0;
  uint64_t key = 0;                         // 0: none
  TimeUs deadline = 0;                      // when the client gives this try up
  std::optional<double> estimated_cost_us;  // estimated work of all threads, as time on one
  double estimated_memory_mb = 0;           // 0: not told
  int64_t table_group = -1;                 // -1: not told
  bool is_client_retry = false;
  bool is_write = false;
};

struct AttemptCompletion {
  RequestId id = 0;
  int attempt = 0;
  EngineId engine = 0;
  Outcome outcome = Outcome::kOk;
  TimeUs duration_us = 0;
  bool request_finished = false;
  std::optional<double> work_us;  // told with an answer: the work that it took
  std::optional<double> memory_used_mb;
  std::optional<LoadReport> load_report;
  bool engine_responsive =
      false;  // the connection broke, but the engine answers on another: it is not to blame
};

struct ProgressUpdate {
  RequestId id = 0;
  int attempt = 0;
  EngineId engine = 0;
  ProgressKind kind = ProgressKind::kProgress;
  double value = 0;
};

// What a gateway does; the embedder carries each action out at once and in order.
class WorkloadManagerDelegate {
 public:
  virtual ~WorkloadManagerDelegate() = default;
  virtual void set_execution_hints(RequestId id, int priority, double grant_mb) = 0;  // for its next sends
  virtual void send_attempt(RequestId id, EngineId engine,
                            TimeUs timeout_us) = 0;  // 0: until the client gives up
  virtual void cancel_attempt(RequestId id, int attempt) = 0;
  virtual void reject(RequestId id, TimeUs retry_after_us) = 0;  // final: trying again is harmless
  virtual void fail(RequestId id) = 0;                           // final: no promise
  virtual void set_timer(TimeUs delay_us, uint32_t token) = 0;
  virtual void watch_endpoints(bool on) = 0;
  virtual void fetch_endpoints() = 0;
  virtual void check_health(EngineId engine) = 0;
  virtual void close_idle_connections(EngineId engine) = 0;
  virtual void send_gossip(uint32_t peer, std::string_view bytes) = 0;
  virtual void log(std::string_view line) = 0;
};

class WorkloadManager {
 public:
  WorkloadManager(Settings settings, uint64_t seed);
  ~WorkloadManager();
  WorkloadManager(WorkloadManager&&) noexcept;
  WorkloadManager& operator=(WorkloadManager&&) noexcept;

  void on_start(TimeUs now, WorkloadManagerDelegate& actions);
  void on_endpoints_changed(TimeUs now, EndpointUpdateKind form, const std::vector<Endpoint>& entries,
                            WorkloadManagerDelegate& actions);
  void on_request(TimeUs now, const QueryRequest& request, WorkloadManagerDelegate& actions);
  void on_response_started(TimeUs now, RequestId id, int attempt, WorkloadManagerDelegate& actions);
  void on_attempt_completed(TimeUs now, const AttemptCompletion& end, WorkloadManagerDelegate& actions);
  void on_progress(TimeUs now, const ProgressUpdate& note, WorkloadManagerDelegate& actions);
  void on_client_disconnected(TimeUs now, RequestId id, WorkloadManagerDelegate& actions);
  void on_timer(TimeUs now, uint32_t token, WorkloadManagerDelegate& actions);
  void on_health_check_completed(TimeUs now, EngineId engine, Outcome outcome, TimeUs took_us,
                                 const std::optional<LoadReport>& report, WorkloadManagerDelegate& actions);
  // The process is about to end: each request gets its final answer.
  void on_shutdown(TimeUs now, WorkloadManagerDelegate& actions);
  // Whether an attempt that was decided on earlier may still leave. Where not, its end is told as moot.
  bool is_attempt_still_valid(TimeUs now, RequestId id, int attempt, WorkloadManagerDelegate& actions);
  void on_gossip(TimeUs now, int peer, std::string_view bytes, WorkloadManagerDelegate& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sablelink
