#include "dispatch/request_dispatcher.h"

#include <algorithm>
#include <utility>

namespace sablelink::dispatch {
namespace {

constexpr TimeUs kStallThresholdUs = 20'000;  // a timer that is at least this late is logged as a stall

ResponseBufferLimits buffer_limits(const DispatcherLimits& limits) {
  return {limits.response_buffer_bytes, limits.total_buffer_bytes, limits.stream_window_bytes};
}

Timeout attempt_timeout(AttemptId id, TimeUs deadline) {
  return {deadline, TimeoutKind::kAttempt, id.request, id.number};
}

Timeout request_timeout(RequestId id, TimeUs deadline) { return {deadline, TimeoutKind::kRequest, id, 0}; }

Timeout health_check_timeout(HealthCheckId id, TimeUs deadline) {
  return {deadline, TimeoutKind::kHealthCheck, id, 0};
}

// Whether another attempt of the request would run concurrently with one in flight although hedging isn't
// allowed.
bool would_duplicate(const TrackedRequest& request, bool hedging_allowed) {
  return !request.attempts.empty() && !hedging_allowed;
}

}  // namespace

RequestDispatcher::RequestDispatcher(Settings settings, uint64_t seed, const DispatcherLimits& limits,
                                     Clock& clock, EngineTransport& transport,
                                     EndpointSource& endpoint_source, Log& log)
    : limits_(limits),
      hedging_allowed_(settings.hedging_allowed),
      manager_(std::move(settings), seed),
      clock_(clock),
      transport_(transport),
      endpoint_source_(endpoint_source),
      log_(log),
      buffers_(buffer_limits(limits)),
      timeouts_(clock_, [this](const Timeout& timeout) { on_timeout(timeout); }) {}

RequestDispatcher::~RequestDispatcher() = default;

void RequestDispatcher::start() {
  notify([&] { manager_.on_start(clock_.now(), *this); });
}

void RequestDispatcher::on_endpoints_changed(EndpointUpdateKind kind,
                                             const std::vector<Endpoint>& endpoints) {
  notify([&] { manager_.on_endpoints_changed(clock_.now(), kind, endpoints, *this); });
}

// ---- Notifications of the workload manager

// Notifies the workload manager of an event. The manager isn't reentrant, so completions that its decisions
// cause are delivered after it has handled the event.
template <typename Event>
void RequestDispatcher::notify(Event&& event) {
  clock_.update();
  event();
  deliver_deferred_completions();
}

void RequestDispatcher::deliver_deferred_completions() {
  while (!deferred_completions_.empty()) {
    const DeferredCompletion deferred = deferred_completions_.front();
    deferred_completions_.pop_front();
    if (deferred.outcome != Outcome::kSuperseded) {
      AttemptResult result;
      result.outcome = deferred.outcome;
      complete_attempt(deferred.attempt, result);
      continue;
    }
    // The attempt was never sent, so the request table has no entry for it.
    const TrackedRequest* const request = requests_.find(deferred.attempt.request);
    AttemptCompletion completion;
    completion.id = deferred.attempt.request;
    completion.attempt = deferred.attempt.number;
    completion.engine = deferred.engine;
    completion.outcome = Outcome::kSuperseded;
    completion.request_finished = request == nullptr || !request->is_open();
    manager_.on_attempt_completed(clock_.now(), completion, *this);
  }
}

void RequestDispatcher::defer_completion(AttemptId id, EngineId engine, Outcome outcome) {
  deferred_completions_.push_back({id, engine, outcome});
}

// ---- Requests

RequestId RequestDispatcher::submit(QueryRequest query, std::shared_ptr<const Statement> statement,
                                    std::shared_ptr<ResponseSink> sink) {
  ++counters_.accepted;
  if (const std::optional<CompletionReason> reason = rejection_at_submit(query)) {
    reject_at_submit(*sink, *reason);
    return 0;
  }
  // Unconsumed bytes are counted by id even after their request has been erased; its id isn't reused until
  // they are consumed.
  query.id = requests_.next_id([this](RequestId id) { return buffers_.has_unconsumed(id); });
  TrackedRequest& request = requests_.add(query.id, std::move(sink));
  request.statement = std::move(statement);
  request.deadline = query.deadline;
  request.class_index = query.class_index;
  log_.request_accepted(query.id, request, request.deadline - clock_.now());
  schedule_deadline(query.id, request);
  notify([&] { manager_.on_request(clock_.now(), query, *this); });
  const TrackedRequest* const remaining = requests_.find(query.id);
  return remaining != nullptr && remaining->is_open() ? query.id : 0;
}

std::optional<CompletionReason> RequestDispatcher::rejection_at_submit(const QueryRequest& query) {
  if (query.deadline <= clock_.update()) return CompletionReason::kDeadlineExceeded;
  if (is_shutting_down_) return CompletionReason::kShuttingDown;
  if (requests_.open_count() >= limits_.max_open_requests) return CompletionReason::kGatewayOverloaded;
  return std::nullopt;
}

void RequestDispatcher::reject_at_submit(ResponseSink& sink, CompletionReason reason) {
  count_completion(RequestStatus::kRejected);
  FinalResponse response;
  response.status = RequestStatus::kRejected;
  response.reason = reason;
  sink.finish(response);
}

void RequestDispatcher::on_client_disconnected(RequestId id) {
  const bool has_unread = buffers_.has_unconsumed(id);
  discard_unconsumed(id);
  TrackedRequest* const request = requests_.find(id);
  if (request == nullptr || !request->is_open()) return;
  if (has_unread) ++counters_.disconnected_unread;
  ++counters_.disconnected;
  requests_.close(*request);
  for (AttemptInFlight& attempt : request->attempts) buffers_.discard(attempt.buffered);
  cancel_streams_of_disconnected(id, *request);
  notify([&] { manager_.on_client_disconnected(clock_.now(), id, *this); });
  erase_if_done(id);
}

// Cancels the attempts whose responses are streamed. The workload manager cancels the others itself.
void RequestDispatcher::cancel_streams_of_disconnected(RequestId id, TrackedRequest& request) {
  for (const AttemptInFlight& attempt : request.attempts) {
    if (!attempt.is_streaming) continue;
    transport_.cancel({id, attempt.number});
    defer_completion({id, attempt.number}, attempt.engine, Outcome::kCancelled);
  }
}

void RequestDispatcher::reject(RequestId id, TimeUs retry_after_us) {
  complete_by_decision(id, RequestStatus::kRejected, retry_after_us);
}

void RequestDispatcher::fail(RequestId id) { complete_by_decision(id, RequestStatus::kFailed, 0); }

void RequestDispatcher::complete_by_decision(RequestId id, RequestStatus status, TimeUs retry_after_us) {
  TrackedRequest* const request = requests_.find(id);
  if (request == nullptr || !request->is_open()) return;
  complete(id, *request,
           {status, CompletionReason::kPolicyDecision, retry_after_us, request->attempts_sent,
            request->last_error});
  erase_if_done(id);
}

void RequestDispatcher::complete(RequestId id, TrackedRequest& request, const FinalResponse& response) {
  const std::shared_ptr<ResponseSink> sink = requests_.close(request);
  count_completion(response.status);
  log_.request_completed(id, response, request.deadline - clock_.now());
  for (AttemptInFlight& attempt : request.attempts) buffers_.discard(attempt.buffered);
  cancel_deadline(id, request);
  sink->finish(response);
}

void RequestDispatcher::count_completion(RequestStatus status) {
  switch (status) {
    case RequestStatus::kServed:
      ++counters_.served;
      break;
    case RequestStatus::kRejected:
      ++counters_.rejected;
      break;
    case RequestStatus::kFailed:
      ++counters_.failed;
      break;
  }
}

void RequestDispatcher::erase_if_done(RequestId id) {
  TrackedRequest* const request = requests_.find(id);
  if (request != nullptr && request->is_done()) {
    cancel_deadline(id, *request);
    requests_.erase(id);
  }
  notify_if_idle();
}

void RequestDispatcher::notify_if_idle() {
  if (!is_shutting_down_ || requests_.open_count() > 0 || !on_idle_) return;
  const std::function<void()> on_idle = std::exchange(on_idle_, nullptr);
  on_idle();
}

void RequestDispatcher::stop_accepting(std::function<void()> on_idle) {
  is_shutting_down_ = true;
  on_idle_ = std::move(on_idle);
  notify_if_idle();
}

void RequestDispatcher::cancel_in_flight() {
  is_shutting_down_ = true;
  notify([&] { manager_.on_shutdown(clock_.now(), *this); });
}

// ---- Attempts

// Applies to later attempts only. The workload manager sets hints before it sends an attempt, so attempts in
// flight don't need an update.
void RequestDispatcher::set_execution_hints(RequestId id, int priority, double grant_mb) {
  TrackedRequest* const request = requests_.find(id);
  if (request == nullptr) return;
  request->priority = priority;
  request->memory_grant_mb = grant_mb;
}

void RequestDispatcher::send_attempt(RequestId id, EngineId engine, TimeUs timeout_us) {
  TrackedRequest* const request = requests_.find(id);
  if (request == nullptr || !may_send(*request)) {
    block_send(id, request, engine);
    return;
  }
  const AttemptId attempt_id{id, request->attempts_sent};
  log_.attempt_sent(attempt_id, engine, timeout_us);
  ++request->attempts_sent;
  ++counters_.attempts;
  if (attempt_id.number > 0) ++counters_.retries;
  AttemptInFlight attempt;
  attempt.number = attempt_id.number;
  attempt.engine = engine;
  attempt.sent_at = clock_.now();
  attempt.deadline = request->deadline;
  if (timeout_us > 0) attempt.deadline = std::min(clock_.now() + timeout_us, request->deadline);
  const AttemptSpec spec = make_spec(attempt_id, *request, attempt.deadline);
  timeouts_.schedule(attempt_timeout(attempt_id, attempt.deadline));
  request->attempts.push_back(std::move(attempt));
  transport_.start(attempt_id, engine, spec);
}

bool RequestDispatcher::may_send(const TrackedRequest& request) const {
  return request.is_open() && !would_duplicate(request, hedging_allowed_) && clock_.now() < request.deadline;
}

// Completes an attempt as superseded without sending it. For a request that has just been completed this is
// a harmless race; for a duplicate or an unknown request it is a bug in the workload manager.
void RequestDispatcher::block_send(RequestId id, TrackedRequest* request, EngineId engine) {
  const bool is_duplicate = request != nullptr && would_duplicate(*request, hedging_allowed_);
  if (request == nullptr || is_duplicate) {
    ++counters_.blocked_sends;
    log_.send_blocked(id, is_duplicate);
  }
  const int number = request == nullptr ? 0 : request->attempts_sent++;
  defer_completion({id, number}, engine, Outcome::kSuperseded);
}

AttemptSpec RequestDispatcher::make_spec(AttemptId id, const TrackedRequest& request, TimeUs deadline) {
  AttemptSpec spec;
  spec.statement = request.statement;
  spec.class_index = request.class_index;
  spec.priority = request.priority;
  spec.memory_grant_mb = request.memory_grant_mb;
  spec.remaining_us = deadline - clock_.now();
  spec.request_remaining_us = request.deadline - clock_.now();
  spec.still_valid = [dispatcher = weak_factory_.get_weak_ptr(), id] {
    return dispatcher && dispatcher->is_attempt_still_valid(id);
  };
  return spec;
}

// The transport may have delayed the attempt until a connection was available or an earlier attempt had
// ended, so the conditions for sending are checked again.
bool RequestDispatcher::is_attempt_still_valid(AttemptId id) {
  clock_.update();
  const AttemptEntry entry = requests_.find(id);
  if (!entry || !entry.request->is_open() || clock_.now() >= entry.attempt->deadline) return false;
  if (entry.request->sink->is_client_disconnected()) {
    on_client_disconnected(id.request);
    return false;
  }
  return manager_.is_attempt_still_valid(clock_.now(), id.request, id.number, *this);
}

// An attempt whose response is streamed isn't cancelled: the client has received part of the response, which
// another attempt can't replace.
void RequestDispatcher::cancel_attempt(RequestId id, int attempt) {
  const AttemptEntry entry = requests_.find({id, attempt});
  if (!entry || entry.attempt->is_streaming) return;
  transport_.cancel({id, attempt});
  defer_completion({id, attempt}, entry.attempt->engine, Outcome::kCancelled);
}

void RequestDispatcher::on_attempt_progress(AttemptId id, ProgressKind kind, double value) {
  const AttemptEntry entry = requests_.find(id);
  if (!entry) return;
  ProgressUpdate update;
  update.id = id.request;
  update.attempt = id.number;
  update.engine = entry.attempt->engine;
  update.kind = kind;
  update.value = value;
  notify([&] { manager_.on_progress(clock_.now(), update, *this); });
}

void RequestDispatcher::on_attempt_completed(AttemptId id, const AttemptResult& result) {
  clock_.update();
  complete_attempt(id, result);
}

void RequestDispatcher::complete_attempt(AttemptId id, const AttemptResult& result) {
  const AttemptEntry entry = requests_.find(id);
  if (!entry) return;
  TrackedRequest& request = *entry.request;
  AttemptInFlight attempt = std::move(*entry.attempt);
  std::erase_if(request.attempts, [&](const AttemptInFlight& other) { return other.number == id.number; });
  if (!attempt.is_streaming) timeouts_.cancel(attempt_timeout(id, attempt.deadline));
  if (result.outcome != Outcome::kOk) request.last_error = result.error;
  if (request.is_open()) respond_if_final(id, request, attempt, result);
  buffers_.discard(attempt.buffered);

  AttemptCompletion completion;
  completion.id = id.request;
  completion.attempt = id.number;
  completion.engine = attempt.engine;
  // An invalid statement provides no information about the engine or the class, so its outcome is reported as
  // kSuperseded, which the workload manager excludes from its statistics.
  completion.outcome = result.is_statement_error ? Outcome::kSuperseded : result.outcome;
  completion.duration_us = clock_.now() - attempt.sent_at;
  completion.request_finished = !request.is_open();
  completion.work_us = result.work_us;
  completion.memory_used_mb = result.memory_used_mb;
  completion.load_report = result.load_report;
  completion.engine_responsive = result.engine_responsive;
  log_.attempt_completed(id, result.outcome, completion.duration_us);
  notify([&] { manager_.on_attempt_completed(clock_.now(), completion, *this); });
  erase_if_done(id.request);
}

// Completes the request if the result of this attempt is final: a success, an invalid statement or an
// interrupted stream, none of which is retried.
void RequestDispatcher::respond_if_final(AttemptId id, TrackedRequest& request, AttemptInFlight& attempt,
                                         const AttemptResult& result) {
  if (result.outcome == Outcome::kOk) {
    forward_buffered(id.request, request, attempt);
    complete(id.request, request,
             {RequestStatus::kServed, CompletionReason::kCompleted, 0, request.attempts_sent, {}});
    return;
  }
  if (!result.is_statement_error && !attempt.is_streaming) return;
  const CompletionReason reason =
      result.is_statement_error ? CompletionReason::kStatementError : CompletionReason::kStreamInterrupted;
  complete(id.request, request, {RequestStatus::kFailed, reason, 0, request.attempts_sent, result.error});
}

// ---- Responses

bool RequestDispatcher::on_attempt_message(AttemptId id, std::string message) {
  AttemptEntry entry = requests_.find(id);
  if (!entry || !entry.request->is_open()) return true;
  if (entry.attempt->is_streaming) {
    forward(id.request, *entry.request, std::move(message));
  } else {
    BufferedResponse& buffered = entry.attempt->buffered;
    buffers_.append(buffered, std::move(message));
    const bool exceeds_own_limit = buffers_.exceeds_response_limit(buffered);
    if (!exceeds_own_limit && !buffers_.exceeds_total_limit()) return true;
    if (!exceeds_own_limit) ++counters_.buffer_limit_reached;
    start_streaming(id, *entry.request, *entry.attempt);
    entry = requests_.find(id);
    if (!entry) return true;
  }
  entry.attempt->is_paused = buffers_.is_window_exceeded(id.request);
  return !entry.attempt->is_paused;
}

// Once its response is streamed, a request can't be retried, and neither it nor its attempt times out.
void RequestDispatcher::start_streaming(AttemptId id, TrackedRequest& request, AttemptInFlight& attempt) {
  ++counters_.streamed_responses;
  attempt.is_streaming = true;
  timeouts_.cancel(attempt_timeout(id, attempt.deadline));
  cancel_deadline(id.request, request);
  forward_buffered(id.request, request, attempt);
  for (const AttemptInFlight& other : request.attempts) {
    if (&other == &attempt) continue;
    transport_.cancel({id.request, other.number});
    defer_completion({id.request, other.number}, other.engine, Outcome::kCancelled);
  }
  notify([&] { manager_.on_response_started(clock_.now(), id.request, id.number, *this); });
}

void RequestDispatcher::forward_buffered(RequestId id, TrackedRequest& request, AttemptInFlight& attempt) {
  for (std::string& message : buffers_.take(attempt.buffered)) forward(id, request, std::move(message));
}

void RequestDispatcher::forward(RequestId id, TrackedRequest& request, std::string message) {
  if (!request.sink->consumes_immediately()) buffers_.add_unconsumed(id, message.size());
  request.sink->write(std::move(message));
}

void RequestDispatcher::on_response_consumed(RequestId id, size_t bytes) {
  buffers_.consume(id, bytes);
  TrackedRequest* const request = requests_.find(id);
  if (request == nullptr || !buffers_.is_window_available(id)) return;
  for (AttemptInFlight& attempt : request->attempts) {
    if (!attempt.is_paused) continue;
    attempt.is_paused = false;
    transport_.resume({id, attempt.number});
  }
}

void RequestDispatcher::discard_unconsumed(RequestId id) { buffers_.discard_unconsumed(id); }

// ---- Health checks

void RequestDispatcher::check_health(EngineId engine) {
  const HealthCheckId id = health_checks_.add(engine, clock_.now());
  timeouts_.schedule(health_check_timeout(id, clock_.now() + limits_.health_check_timeout_us));
  transport_.check_health(id, engine);
}

void RequestDispatcher::on_health_check_completed(HealthCheckId id, Outcome outcome,
                                                  const std::optional<LoadReport>& report) {
  const std::optional<HealthCheck> check = health_checks_.remove(id);
  if (!check) return;
  timeouts_.cancel(health_check_timeout(id, check->started_at + limits_.health_check_timeout_us));
  notify([&] {
    const TimeUs duration_us = clock_.now() - check->started_at;
    manager_.on_health_check_completed(clock_.now(), check->engine, outcome, duration_us, report, *this);
  });
}

// ---- Timeouts and timers

void RequestDispatcher::schedule_deadline(RequestId id, TrackedRequest& request) {
  timeouts_.schedule(request_timeout(id, request.deadline));
  request.is_deadline_scheduled = true;
}

void RequestDispatcher::cancel_deadline(RequestId id, TrackedRequest& request) {
  if (!request.is_deadline_scheduled) return;
  timeouts_.cancel(request_timeout(id, request.deadline));
  request.is_deadline_scheduled = false;
}

void RequestDispatcher::on_timeout(const Timeout& timeout) {
  switch (timeout.kind) {
    case TimeoutKind::kAttempt:
      on_attempt_timeout({timeout.id, timeout.attempt});
      break;
    case TimeoutKind::kRequest:
      on_request_timeout(timeout.id);
      break;
    case TimeoutKind::kHealthCheck:
      on_health_check_completed(timeout.id, Outcome::kTimeout, std::nullopt);
      break;
  }
}

void RequestDispatcher::on_attempt_timeout(AttemptId id) {
  transport_.cancel(id);
  AttemptResult result;
  result.outcome = Outcome::kTimeout;
  complete_attempt(id, result);
}

// The request's attempts have timed out before, so the workload manager has already had the opportunity to
// complete the request.
void RequestDispatcher::on_request_timeout(RequestId id) {
  TrackedRequest* const request = requests_.find(id);
  if (request == nullptr || !request->is_open()) return;
  request->is_deadline_scheduled = false;
  ++counters_.deadline_exceeded;
  const RequestStatus status =
      request->attempts_sent == 0 ? RequestStatus::kRejected : RequestStatus::kFailed;
  complete(id, *request,
           {status, CompletionReason::kDeadlineExceeded, 0, request->attempts_sent, request->last_error});
  notify([&] { manager_.on_client_disconnected(clock_.now(), id, *this); });
  erase_if_done(id);
}

void RequestDispatcher::set_timer(TimeUs delay_us, uint32_t token) {
  const TimeUs due_at = clock_.now() + delay_us;
  clock_.call_after(delay_us, [weak = weak_factory_.get_weak_ptr(), token, due_at] {
    RequestDispatcher* const self = weak.get();
    if (self == nullptr) return;
    self->record_timer_delay(self->clock_.update() - due_at);
    self->notify([&] { self->manager_.on_timer(self->clock_.now(), token, *self); });
  });
}

// A late timer indicates that the process stalled: it got no CPU time, or the handling of an event took long.
void RequestDispatcher::record_timer_delay(TimeUs delay_us) {
  counters_.max_timer_delay_us = std::max(counters_.max_timer_delay_us, delay_us);
  if (delay_us < kStallThresholdUs) return;
  ++counters_.timer_stalls;
  log_.stalled(delay_us, requests_.open_count());
}

// ---- Other decisions of the workload manager

void RequestDispatcher::watch_endpoints(bool on) { endpoint_source_.watch(on); }

void RequestDispatcher::fetch_endpoints() { endpoint_source_.fetch(); }

void RequestDispatcher::close_idle_connections(EngineId engine) { transport_.close_idle_connections(engine); }

// Gateways of this program don't exchange gossip: the workload manager never sends any.
void RequestDispatcher::send_gossip(uint32_t, std::string_view) {}

void RequestDispatcher::log(std::string_view line) { log_.decision(line); }

}  // namespace sablelink::dispatch
