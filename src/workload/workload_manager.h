// The workload manager: it is notified of events, decides on admission, placement, starts, retries and
// rejections, and has its delegate carry them out.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

/// Carries out what the manager decides, at once and in the order of the calls. It must not call the manager
/// back from within a call.
class WorkloadManagerDelegate {
 public:
  virtual ~WorkloadManagerDelegate() = default;
  /// Applies to the request's next attempts. Higher priorities go first; grant_mb of 0: the engine decides.
  virtual void set_execution_hints(RequestId id, int priority, double grant_mb) = 0;
  /// timeout_us of 0: the attempt may take until the client's deadline.
  virtual void send_attempt(RequestId id, EngineId engine, TimeUs timeout_us) = 0;
  /// The attempt's completion still follows.
  virtual void cancel_attempt(RequestId id, int attempt) = 0;
  /// Final response: the client may safely retry, after retry_after_us where that isn't 0.
  virtual void reject(RequestId id, TimeUs retry_after_us) = 0;
  /// Final response: the query may have run.
  virtual void fail(RequestId id) = 0;
  /// on_timer() follows with the token after the delay.
  virtual void set_timer(TimeUs delay_us, uint32_t token) = 0;
  virtual void watch_endpoints(bool on) = 0;
  virtual void fetch_endpoints() = 0;
  /// on_health_check_completed() follows.
  virtual void check_health(EngineId engine) = 0;
  virtual void close_idle_connections(EngineId engine) = 0;
  virtual void send_gossip(uint32_t peer, std::string_view bytes) = 0;
  /// One line for the operators, without a time.
  virtual void log(std::string_view line) = 0;
};

/// All decisions of a gateway. Deterministic: the same settings, seed and events give the same calls of the
/// delegate. Reads no clock and does no I/O. Not thread-safe: all calls come from one strand. Times never go
/// back from one call to the next. No call throws; what is unknown, or no longer known, is ignored.
class WorkloadManager {
 public:
  WorkloadManager(Settings settings, uint64_t seed);
  ~WorkloadManager();
  WorkloadManager(WorkloadManager&&) noexcept;
  WorkloadManager& operator=(WorkloadManager&&) noexcept;

  /// Called once, before all other events.
  void on_start(TimeUs now, WorkloadManagerDelegate& delegate);
  void on_endpoints_changed(TimeUs now, EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints,
                            WorkloadManagerDelegate& delegate);
  /// A request without an attempt so far gets its final response before its deadline.
  void on_request(TimeUs now, const QueryRequest& request, WorkloadManagerDelegate& delegate);
  /// A streamed response has begun to reach the client: the attempt is neither cancelled nor repeated.
  void on_response_started(TimeUs now, RequestId id, int attempt, WorkloadManagerDelegate& delegate);
  /// Called exactly once for each attempt that was sent, also for one that was cancelled.
  void on_attempt_completed(TimeUs now, const AttemptCompletion& completion,
                            WorkloadManagerDelegate& delegate);
  void on_progress(TimeUs now, const ProgressUpdate& update, WorkloadManagerDelegate& delegate);
  /// The request needs no response any more.
  void on_client_disconnected(TimeUs now, RequestId id, WorkloadManagerDelegate& delegate);
  void on_timer(TimeUs now, uint32_t token, WorkloadManagerDelegate& delegate);
  /// duration_us: from the delegate's check_health(). outcome kTimeout: the engine hangs.
  void on_health_check_completed(TimeUs now, EngineId engine, Outcome outcome, TimeUs duration_us,
                                 const std::optional<LoadReport>& report, WorkloadManagerDelegate& delegate);
  /// The process is about to exit: each request gets its final response now, but for streams that have begun.
  void on_shutdown(TimeUs now, WorkloadManagerDelegate& delegate);
  /// Asked before an attempt leaves later than it was decided. Where false, it must not leave, and is
  /// reported as completed with kSuperseded.
  bool is_attempt_still_valid(TimeUs now, RequestId id, int attempt, WorkloadManagerDelegate& delegate);
  /// Gossip is ignored: none is ever sent, as it has a cost.
  void on_gossip(TimeUs now, int peer, std::string_view bytes, WorkloadManagerDelegate& delegate);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sablelink
