// Events that the workload manager receives: endpoint updates, requests, outcomes of attempts and load
// reports.
#pragma once

#include <cstdint>
#include <optional>

#include "workload/types.h"

namespace sablelink {

enum class EndpointState { kRemoved, kReady, kDraining };
/// Which endpoints an update lists. kDelta: the changed ones. kFull: all. kCached: all, from a copy that
/// may be out of date. kFailed: none.
enum class EndpointUpdateKind { kDelta, kFull, kCached, kFailed };
/// kSuperseded: the attempt was never sent or its statement is invalid. It is not retried and nothing is
/// learned from it.
enum class Outcome { kOk, kError, kOverloaded, kTimeout, kConnectFailed, kReset, kCancelled, kSuperseded };
enum class ProgressKind { kProgress, kSpill, kWaiting };

/// An engine as described in the endpoint list.
struct Endpoint {
  EngineId engine = 0;
  EndpointState state = EndpointState::kReady;
  int cell = 0;  // engines of one cell may share the memory of idempotency keys
  int zone = 0;
  int engine_type = 0;  // index into the settings that are listed by engine type
  double size = 1;
  TimeUs started_at = 0;  // a later value denotes a restarted engine; 0: long ago
};

/// Load of an engine. Fields that the engine doesn't report are empty.
struct LoadReport {
  std::optional<double> in_flight;           // queries of all gateways
  std::optional<double> waiting_for_memory;  // queries in flight that wait for memory
  std::optional<double> cpu_utilization;     // fraction of all cores
  std::optional<double>
      memory_utilization;                  // fraction of the memory that is granted; above 1 if overcommitted
  std::optional<double> disk_utilization;  // fraction of time that the disks are busy
};

struct QueryRequest {
  RequestId id = 0;
  int class_index = 0;                      // index into Settings::classes
  int tenant = 0;                           // index into Settings::tenants
  uint64_t key = 0;                         // ordering key; 0: none
  TimeUs deadline = 0;                      // time at which the client disconnects
  std::optional<double> estimated_cost_us;  // work of all threads, as time on a single thread
  double estimated_memory_mb = 0;           // 0: unknown
  int64_t table_group = -1;                 // queries of one group read the same tables; -1: unknown
  bool is_client_retry = false;
  bool is_write = false;
};

struct AttemptCompletion {
  RequestId id = 0;
  int attempt = 0;  // 0 for the request's first attempt
  EngineId engine = 0;
  Outcome outcome = Outcome::kOk;
  TimeUs duration_us = 0;         // time since the send
  bool request_finished = false;  // the client has received its final response
  std::optional<double> work_us;  // work of all threads, as time on a single thread; empty: not reported
  std::optional<double> memory_used_mb;
  std::optional<LoadReport> load_report;
  bool engine_responsive = false;  // the connection failed, but the engine responds on another connection
};

struct ProgressUpdate {
  RequestId id = 0;
  int attempt = 0;
  EngineId engine = 0;
  ProgressKind kind = ProgressKind::kProgress;
  double value = 0;  // for kProgress: completed fraction of the query
};

}  // namespace sablelink
