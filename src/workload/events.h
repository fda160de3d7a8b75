// What the workload manager is notified of: endpoints, requests, attempts and load reports.
#pragma once

#include <cstdint>
#include <optional>

#include "workload/types.h"

namespace sablelink {

enum class EndpointState { kRemoved, kReady, kDraining };
/// kDelta lists what has changed, the others everything; kCached comes from a copy, kFailed lists nothing.
enum class EndpointUpdateKind { kDelta, kFull, kCached, kFailed };
/// kSuperseded: nothing is to be learned from the attempt, and it is not retried; it never left, or its
/// statement is wrong.
enum class Outcome { kOk, kError, kOverloaded, kTimeout, kConnectFailed, kReset, kCancelled, kSuperseded };
enum class ProgressKind { kProgress, kSpill, kWaiting };

/// An engine as the endpoint list describes it.
struct Endpoint {
  EngineId engine = 0;
  EndpointState state = EndpointState::kReady;
  int cell = 0;  // engines of one cell may share the memory of idempotency keys
  int zone = 0;
  int engine_type = 0;  // index into the settings by engine type
  double size = 1;
  TimeUs started_at = 0;  // a later start is a new incarnation; 0: long ago
};

/// An engine's load. Fields that its reports don't have are empty.
struct LoadReport {
  std::optional<double> in_flight;           // queries, of all gateways
  std::optional<double> waiting_for_memory;  // queries, of those in flight
  std::optional<double> cpu_utilization;     // fraction of the cores
  std::optional<double>
      memory_utilization;                  // fraction of the memory that is granted; over 1 if overcommitted
  std::optional<double> disk_utilization;  // fraction of the disks' time
};

struct QueryRequest {
  RequestId id = 0;
  int class_index = 0;                      // into Settings::classes
  int tenant = 0;                           // index into Settings::tenants
  uint64_t key = 0;                         // for ordering by key; 0: none
  TimeUs deadline = 0;                      // the client disconnects then
  std::optional<double> estimated_cost_us;  // work of all threads, as time on one thread
  double estimated_memory_mb = 0;           // 0: unknown
  int64_t table_group = -1;                 // queries of one group read the same tables; -1: unknown
  bool is_client_retry = false;
  bool is_write = false;
};

struct AttemptCompletion {
  RequestId id = 0;
  int attempt = 0;  // 0 for the request's first
  EngineId engine = 0;
  Outcome outcome = Outcome::kOk;
  TimeUs duration_us = 0;         // from the send
  bool request_finished = false;  // the client has got its final response
  std::optional<double> work_us;  // of all threads, as time on one thread; empty: not reported
  std::optional<double> memory_used_mb;
  std::optional<LoadReport> load_report;
  bool engine_responsive = false;  // the connection failed, but the engine answers on another one
};

struct ProgressUpdate {
  RequestId id = 0;
  int attempt = 0;
  EngineId engine = 0;
  ProgressKind kind = ProgressKind::kProgress;
  double value = 0;  // kProgress: fraction of the query that is done
};

}  // namespace sablelink
