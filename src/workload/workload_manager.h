// The workload manager: it is notified of events, decides on admission, placement, starts, retries and
// rejections, and has its delegate carry them out.
#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

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
