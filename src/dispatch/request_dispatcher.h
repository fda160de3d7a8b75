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
  size_t max_open_requests = 20'000;        // further ones are rejected
  size_t response_buffer_bytes = 1 << 20;   // withheld of one response; past it, it is streamed
  size_t total_buffer_bytes = 256u << 20;   // of all responses, what clients have yet to read included
  size_t stream_window_bytes = 256u << 10;  // of a streamed response, unread; past it, reading pauses
  TimeUs health_check_timeout_us = 1'000'000;
};

/// Totals since the start, for metrics.
struct DispatcherCounters {
  uint64_t accepted = 0;  // submitted, those rejected at once included
  uint64_t served = 0;
  uint64_t rejected = 0;
  uint64_t failed = 0;
  uint64_t disconnected = 0;  // clients that left before their final response
  uint64_t attempts = 0;
  uint64_t retries = 0;  // attempts after a request's first, hedged ones included
  uint64_t streamed_responses = 0;
  uint64_t buffer_limit_reached = 0;  // responses streamed because all together exceeded total_buffer_bytes
  uint64_t disconnected_unread = 0;   // clients that left before they had read what was forwarded to them
  uint64_t deadline_exceeded = 0;     // requests that only the dispatcher's own timeout completed
  uint64_t timer_stalls = 0;          // timers that were late by the threshold of the log event "stalled"
  TimeUs max_timer_delay_us = 0;
  uint64_t blocked_sends = 0;  // sends that broke a guarantee of the dispatcher; a defect of the manager
};

/// Owns the workload manager, notifies it of every event and carries out its decisions; owns the requests and
/// attempts that both refer to.
///
/// Guarantees, whatever the workload manager decides:
/// - each request gets exactly one final response, unless its client disconnects first;
/// - the client has seen nothing of a response whose request may still be retried;
/// - a request has at most one attempt in flight, unless hedging is allowed;
/// - requests and buffered bytes stay within the limits;
/// - a request that isn't streaming is completed by its client's deadline.
///
/// The class is long because all events meet here: those of clients, transports and timers, and the manager's
/// decisions. The state itself stands in the parts below (requests, buffers, timeouts, health checks).
///
/// Belongs to one strand, on which the clock, the transport and the servers call it. It performs no I/O and
/// reads neither the wall clock nor a random device, so that equal events at equal times have equal effects.
/// No method throws; errors of attempts arrive as results.
class RequestDispatcher : private WorkloadManagerDelegate {
 public:
  /// The references must outlive the dispatcher. Timers that are pending when it is destroyed do nothing.
  RequestDispatcher(Settings settings, uint64_t seed, const DispatcherLimits& limits, Clock& clock,
                    EngineTransport& transport, EndpointSource& endpoint_source, Log& log);
  ~RequestDispatcher() override;

  /// Starts the workload manager. Must be called before any other method.
  void start();

  /// Accepts a request and assigns its id; the deadline in the query is a moment on the dispatcher's clock.
  /// The sink gets the response, within this call if the request is rejected at once. Returns the request's
  /// id, or 0 if it has been completed already.
  RequestId submit(QueryRequest query, std::shared_ptr<const Statement> statement,
                   std::shared_ptr<ResponseSink> sink);
  /// Cancels a request whose client has disconnected. Its sink isn't called again, and bytes that it hasn't
  /// consumed are no longer counted. Also to be called for completed requests with unconsumed bytes; unknown
  /// ids are ignored.
  void on_client_disconnected(RequestId id);
  /// The client has read so many bytes of what was written to the sink.
  void on_response_consumed(RequestId id, size_t bytes);

  void on_endpoints_changed(EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints);

  /// A part of an attempt's response. Returns whether the transport may continue to read the response; if
  /// not, it waits for EngineTransport::resume.
  bool on_attempt_message(AttemptId id, std::string message);
  void on_attempt_progress(AttemptId id, ProgressKind kind, double value);
  void on_attempt_completed(AttemptId id, const AttemptResult& result);
  void on_health_check_completed(HealthCheckId id, Outcome outcome, const std::optional<LoadReport>& report);

  /// Rejects every new request from now on; on_idle is called once, when no request is open, maybe at once.
  void stop_accepting(std::function<void()> on_idle);
  /// Rejects every new request and completes the open ones.
  void cancel_in_flight();

  /// Requests without a final response.
  size_t open_requests() const { return requests_.open_count(); }
  /// Open requests and those that still have attempts in flight.
  size_t tracked_requests() const { return requests_.size(); }
  /// Withheld until a response is complete, or forwarded and not yet read by clients.
  size_t buffered_bytes() const { return buffers_.total_bytes(); }
  size_t outstanding_health_checks() const { return health_checks_.size(); }
  const DispatcherCounters& counters() const { return counters_; }

 protected:
  /// Stops counting what the client of a request hasn't read. Virtual for tests that plant a defect.
  virtual void forget_unconsumed(RequestId id);

 private:
  // The completion of an attempt that the workload manager caused itself, by a decision in an event. It is
  // notified once the event has been handled.
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

  // Events of the workload manager.
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
