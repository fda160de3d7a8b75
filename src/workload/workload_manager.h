// The workload manager receives events and decides on admission, placement, starts, retries and rejections. A
// delegate carries the decisions out.
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

/// Carries out the manager's decisions immediately and in the order of the calls. Must not call the manager
/// from within a call.
class WorkloadManagerDelegate {
 public:
  virtual ~WorkloadManagerDelegate() = default;
  /// Applies to the request's following attempts. Higher priorities run first; with grant_mb of 0 the engine
  /// chooses the grant.
  virtual void set_execution_hints(RequestId id, int priority, double grant_mb) = 0;
  /// With timeout_us of 0 the attempt may run until the client's deadline.
  virtual void send_attempt(RequestId id, EngineId engine, TimeUs timeout_us) = 0;
  /// The attempt still ends with on_attempt_completed().
  virtual void cancel_attempt(RequestId id, int attempt) = 0;
  /// Final response: the client may safely retry, after retry_after_us if that is not 0.
  virtual void reject(RequestId id, TimeUs retry_after_us) = 0;
  /// Final response: the query may have run.
  virtual void fail(RequestId id) = 0;
  /// on_timer() is called with the token after the delay.
  virtual void set_timer(TimeUs delay_us, uint32_t token) = 0;
  virtual void watch_endpoints(bool on) = 0;
  virtual void fetch_endpoints() = 0;
  /// on_health_check_completed() is called with the result.
  virtual void check_health(EngineId engine) = 0;
  virtual void close_idle_connections(EngineId engine) = 0;
  virtual void send_gossip(uint32_t peer, std::string_view bytes) = 0;
  /// Writes one line for operators, without a timestamp.
  virtual void log(std::string_view line) = 0;
};

/// All decisions of a gateway. Deterministic: the same settings, seed and events result in the same calls of
/// the delegate. Reads no clock and does no I/O. Not thread-safe: all calls must come from one strand. The
/// time must not decrease from one call to the next. No call throws; unknown identifiers are ignored.
class WorkloadManager {
 public:
  WorkloadManager(Settings settings, uint64_t seed);
  ~WorkloadManager();
  WorkloadManager(WorkloadManager&&) noexcept;
  WorkloadManager& operator=(WorkloadManager&&) noexcept;

  /// Called once, before any other event.
  void on_start(TimeUs now, WorkloadManagerDelegate& delegate);
  void on_endpoints_changed(TimeUs now, EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints,
                            WorkloadManagerDelegate& delegate);
  /// A request that has not been sent yet still receives its final response before its deadline.
  void on_request(TimeUs now, const QueryRequest& request, WorkloadManagerDelegate& delegate);
  /// A part of a streamed response has reached the client, so the attempt is neither cancelled nor retried.
  void on_response_started(TimeUs now, RequestId id, int attempt, WorkloadManagerDelegate& delegate);
  /// Called exactly once for each attempt that was sent, including cancelled ones.
  void on_attempt_completed(TimeUs now, const AttemptCompletion& completion,
                            WorkloadManagerDelegate& delegate);
  void on_progress(TimeUs now, const ProgressUpdate& update, WorkloadManagerDelegate& delegate);
  /// The request no longer needs a response.
  void on_client_disconnected(TimeUs now, RequestId id, WorkloadManagerDelegate& delegate);
  void on_timer(TimeUs now, uint32_t token, WorkloadManagerDelegate& delegate);
  /// duration_us: time since check_health(). The outcome kTimeout means that the engine does not respond.
  void on_health_check_completed(TimeUs now, EngineId engine, Outcome outcome, TimeUs duration_us,
                                 const std::optional<LoadReport>& report, WorkloadManagerDelegate& delegate);
  /// The process is about to exit: every request receives its final response now, except streams that have
  /// started.
  void on_shutdown(TimeUs now, WorkloadManagerDelegate& delegate);
  /// Called before an attempt is sent later than it was decided. If the result is false, the attempt must not
  /// be sent and must be reported as completed with kSuperseded.
  bool is_attempt_still_valid(TimeUs now, RequestId id, int attempt, WorkloadManagerDelegate& delegate);
  /// Ignored: no gateway sends gossip, as it has a cost.
  void on_gossip(TimeUs now, int peer, std::string_view bytes, WorkloadManagerDelegate& delegate);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sablelink
