// What the workload manager is notified of: endpoints, requests, attempts and load reports.
#pragma once

#include <cstdint>
#include <optional>

#include "workload/types.h"

namespace sablelink {

enum class EndpointState { kRemoved, kReady, kDraining };
enum class EndpointUpdateKind { kDelta, kFull, kCached, kFailed };
enum class Outcome { kOk, kError, kOverloaded, kTimeout, kConnectFailed, kReset, kCancelled, kSuperseded };
enum class ProgressKind { kProgress, kSpill, kWaiting };

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

}  // namespace sablelink
