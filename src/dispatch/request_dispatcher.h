// Executes the decisions of the workload manager: accepts requests, sends attempts and responds to clients.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "base/weak_ptr.h"
#include "dispatch/attempt.h"
#include "dispatch/dispatch_log.h"
#include "dispatch/endpoint_source.h"
#include "dispatch/engine_transport.h"
#include "dispatch/event_clock.h"
#include "dispatch/health_check_table.h"
#include "dispatch/request_table.h"
#include "dispatch/response_buffer.h"
#include "dispatch/response_sink.h"
#include "dispatch/timeout_queue.h"
#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"
#include "workload/workload_manager.h"

namespace sablelink::dispatch {

struct DispatcherLimits {
  size_t max_open_requests = 20'000;        // further requests are rejected
  size_t response_buffer_bytes = 1 << 20;   // per response; a response that exceeds it is streamed
  size_t total_buffer_bytes = 256u << 20;   // of all responses, including forwarded bytes not yet read
  size_t stream_window_bytes = 256u << 10;  // unread bytes of a streamed response that pause its reading
  TimeUs health_check_timeout_us = 1'000'000;
};

/// Totals since the start, for metrics.
struct DispatcherCounters {
  uint64_t accepted = 0;  // submitted requests, including those rejected immediately
  uint64_t served = 0;
  uint64_t rejected = 0;
  uint64_t failed = 0;
  uint64_t disconnected = 0;  // clients that disconnected before their final response
  uint64_t attempts = 0;
  uint64_t retries = 0;  // attempts after a request's first, including hedged ones
  uint64_t streamed_responses = 0;
  uint64_t buffer_limit_reached = 0;  // responses streamed because total_buffer_bytes was exceeded
  uint64_t disconnected_unread = 0;   // those of `disconnected` that had unread forwarded bytes
  uint64_t deadline_exceeded = 0;     // requests completed by the dispatcher's own deadline timeout
  uint64_t timer_stalls = 0;          // timers late enough for the log event "stalled"
  TimeUs max_timer_delay_us = 0;
  uint64_t blocked_sends = 0;  // attempts not sent as they violate a guarantee; a workload manager bug
};

/// Owns the workload manager, notifies it of every event and executes its decisions. Also owns the requests
/// and attempts that events and decisions refer to.
///
/// Guarantees, whatever the workload manager decides:
/// - each request gets exactly one final response, unless its client disconnects first;
/// - no part of a response is forwarded to the client while its request may still be retried;
/// - a request has at most one attempt in flight, unless hedging is allowed;
/// - requests and buffered bytes stay within the limits;
/// - a request that isn't streaming is completed by its client's deadline.
///
/// The class is long because it handles all events of clients, transports and timers, and all decisions of
/// the workload manager. Separate classes hold the state (requests, buffers, timeouts, health checks).
///
/// Belongs to one strand, on which the clock, the transport and the servers call it. It performs no I/O and
/// reads neither the wall clock nor a random device, so its behavior is deterministic for given events at
/// given times. No method throws; errors of attempts arrive as results.
class RequestDispatcher : private WorkloadManagerDelegate {
 public:
  /// The references must outlive the dispatcher. Timers that are pending when it is destroyed do nothing.
  RequestDispatcher(Settings settings, uint64_t seed, const DispatcherLimits& limits, Clock& clock,
                    EngineTransport& transport, EndpointSource& endpoint_source, Log& log);
  ~RequestDispatcher() override;

  /// Starts the workload manager. Must be called before any other method.
  void start();

  /// Accepts a request and assigns its id. The query's deadline is a time on the dispatcher's clock. The sink
  /// receives the response, within this call if the request is rejected immediately. Returns the request's
  /// id, or 0 if the request has already been completed.
  RequestId submit(QueryRequest query, std::shared_ptr<const Statement> statement,
                   std::shared_ptr<ResponseSink> sink);
  /// Cancels a request whose client has disconnected. Its sink isn't called again, and its unconsumed bytes
  /// are no longer counted. Must also be called for completed requests with unconsumed bytes. Ignores unknown
  /// ids.
  void on_client_disconnected(RequestId id);
  /// Reports that the client has read this number of bytes that were written to the sink.
  void on_response_consumed(RequestId id, size_t bytes);

  void on_endpoints_changed(EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints);

  /// Handles a part of an attempt's response. Returns whether the transport may continue to read the
  /// response; if not, the transport must wait for EngineTransport::resume.
  bool on_attempt_message(AttemptId id, std::string message);
  void on_attempt_progress(AttemptId id, ProgressKind kind, double value);
  void on_attempt_completed(AttemptId id, const AttemptResult& result);
  void on_health_check_completed(HealthCheckId id, Outcome outcome, const std::optional<LoadReport>& report);

  /// Rejects every new request from now on. Calls on_idle once, when no request is open; possibly within this
  /// call.
  void stop_accepting(std::function<void()> on_idle);
  /// Rejects every new request and completes the open ones.
  void cancel_in_flight();

  /// Requests without a final response.
  size_t open_requests() const { return requests_.open_count(); }
  /// Open requests and those that still have attempts in flight.
  size_t tracked_requests() const { return requests_.size(); }
  /// Bytes that are buffered until their response is complete, or forwarded but not yet read by clients.
  size_t buffered_bytes() const { return buffers_.total_bytes(); }
  size_t outstanding_health_checks() const { return health_checks_.size(); }
  const DispatcherCounters& counters() const { return counters_; }

 protected:
  /// Stops counting the unconsumed bytes of a request. Virtual so that tests can inject a defect.
  virtual void discard_unconsumed(RequestId id);

 private:
  // Completion of an attempt that results from a decision of the workload manager during an event. The
  // manager is notified of it after the event has been handled.
  struct DeferredCompletion {
    AttemptId attempt;
    EngineId engine = 0;
    Outcome outcome = Outcome::kSuperseded;  // or kCancelled
  };

  // WorkloadManagerDelegate: decisions of the workload manager.
  void set_execution_hints(RequestId id, int priority, double grant_mb) override;
  void send_attempt(RequestId id, EngineId engine, TimeUs timeout_us) override;
  void cancel_attempt(RequestId id, int attempt) override;
  void reject(RequestId id, TimeUs retry_after_us) override;
  void fail(RequestId id) override;
  void set_timer(TimeUs delay_us, uint32_t token) override;
  void watch_endpoints(bool on) override;
  void fetch_endpoints() override;
  void check_health(EngineId engine) override;
  void close_idle_connections(EngineId engine) override;
  void send_gossip(uint32_t peer, std::string_view bytes) override;
  void log(std::string_view line) override;

  // Notifications of the workload manager.
  template <typename Event>
  void notify(Event&& event);
  void deliver_deferred_completions();
  void defer_completion(AttemptId id, EngineId engine, Outcome outcome);

  // Requests.
  std::optional<CompletionReason> rejection_at_submit(const QueryRequest& query);
  void reject_at_submit(ResponseSink& sink, CompletionReason reason);
  void complete_by_decision(RequestId id, RequestStatus status, TimeUs retry_after_us);
  void complete(RequestId id, TrackedRequest& request, const FinalResponse& response);
  void count_completion(RequestStatus status);
  void erase_if_done(RequestId id);
  void notify_if_idle();

  // Attempts.
  bool may_send(const TrackedRequest& request) const;
  void block_send(RequestId id, TrackedRequest* request, EngineId engine);
  AttemptSpec make_spec(AttemptId id, const TrackedRequest& request, TimeUs deadline);
  bool is_attempt_still_valid(AttemptId id);
  void complete_attempt(AttemptId id, const AttemptResult& result);
  void respond_if_final(AttemptId id, TrackedRequest& request, AttemptInFlight& attempt,
                        const AttemptResult& result);
  void cancel_streams_of_disconnected(RequestId id, TrackedRequest& request);

  // Responses.
  void start_streaming(AttemptId id, TrackedRequest& request, AttemptInFlight& attempt);
  void forward(RequestId id, TrackedRequest& request, std::string message);
  void forward_buffered(RequestId id, TrackedRequest& request, AttemptInFlight& attempt);

  // Timeouts and timers.
  void schedule_deadline(RequestId id, TrackedRequest& request);
  void cancel_deadline(RequestId id, TrackedRequest& request);
  void on_timeout(const Timeout& timeout);
  void on_attempt_timeout(AttemptId id);
  void on_request_timeout(RequestId id);
  void record_timer_delay(TimeUs delay_us);

  const DispatcherLimits limits_;
  const bool hedging_allowed_;
  WorkloadManager manager_;
  EventClock clock_;
  EngineTransport& transport_;
  EndpointSource& endpoint_source_;
  const DispatchLog log_;
  RequestTable requests_;
  ResponseBufferPool buffers_;
  HealthCheckTable health_checks_;
  TimeoutQueue timeouts_;
  std::deque<DeferredCompletion> deferred_completions_;
  bool is_shutting_down_ = false;
  std::function<void()> on_idle_;
  DispatcherCounters counters_;
  WeakPtrFactory<RequestDispatcher> weak_factory_{this};
};

}  // namespace sablelink::dispatch
