#include "platform/engine_client/engine_client.h"

#include <algorithm>
#include <utility>

#include "platform/engine_client/engine_protocol.h"

namespace sablelink::platform {
namespace {

// Delay before a cancellation without a response is repeated while its connection is open.
constexpr TimeUs kOverdueCancelRetryDelayUs = 1'000'000;
constexpr TimeUs kKeepAliveIntervalUs = kAbandonTimeoutUs / 2;

ConnectionPoolOptions pool_options(const EngineClientOptions& options) {
  ConnectionPoolOptions out;
  out.budget = options.budget;
  out.dial_timeout_us = options.dial_timeout_us;
  out.engine_idle_timeout_us = options.engine_idle_timeout_us;
  out.memory = options.memory;
  return out;
}

}  // namespace

EngineClient::EngineClient(EngineClientOptions options, rpc::Dialer& dialer, Clock& clock,
                           const membership::EndpointRegistry& registry, Log& log)
    : options_(std::move(options)),
      clock_(clock),
      log_(log),
      fetch_queue_(options_.result_memory),
      pool_(pool_options(options_), dialer, clock, registry, *this, counters_, log_) {
  expire();
}

// ---- Attempts

void EngineClient::start(dispatch::AttemptId id, EngineId engine, const dispatch::AttemptSpec& spec) {
  const auto attempt =
      std::make_shared<EngineAttempt>(id, engine, spec, clock_.now(), options_.result_memory);
  attempts_[{id.request, id.number}] = attempt;
  pool_.add_attempt(attempt);
  if (!options_.hedging_allowed && orphans_.delay_if_needed(attempt)) {
    ++counters_.attempts_delayed;
    log_.attempt_delayed(*attempt);
    return;
  }
  schedule_call(CallType::kStart, attempt);
}

void EngineClient::cancel(dispatch::AttemptId id) {
  const auto it = attempts_.find({id.request, id.number});
  if (it == attempts_.end()) return;
  const AttemptPtr attempt = it->second;
  remove_attempt(attempt);
  if (attempt->was_sent()) orphan(attempt);
}

void EngineClient::check_health(dispatch::HealthCheckId check, EngineId) {
  clock_.call_after(0, [self = weak_factory_.get_weak_ptr(), check] {
    if (self) self->dispatcher_->on_health_check_completed(check, Outcome::kConnectFailed, std::nullopt);
  });
}

void EngineClient::complete(const AttemptPtr& attempt, Outcome outcome) {
  if (attempt->is_finished()) return;
  remove_attempt(attempt);
  dispatcher_->on_attempt_completed(attempt->id(), attempt->result(outcome));
}

// Removes the attempt. Nothing is reported to the dispatcher for it afterwards.
void EngineClient::remove_attempt(const AttemptPtr& attempt) {
  attempt->finish();
  attempts_.erase({attempt->id().request, attempt->id().number});
  pool_.remove_calls(attempt);
  orphans_.remove_delayed(attempt);
  fetch_queue_.remove(attempt);
  for (const AttemptPtr& released : fetch_queue_.release()) fetch_pages(released);
}

// Completes an attempt that may still run. It is orphaned before, so that the dispatcher's next attempt is
// delayed.
void EngineClient::give_up(const AttemptPtr& attempt) {
  orphan(attempt);
  complete(attempt, Outcome::kReset);
}

// Adds the attempt to the orphaned attempts and cancels it on its engine.
void EngineClient::orphan(const AttemptPtr& attempt) {
  orphans_.add(attempt);
  schedule_cancel(attempt, std::max<TimeUs>(attempt->earliest_cancel_at() - clock_.now(), 0));
}

void EngineClient::on_orphan_ended(const AttemptPtr& attempt) {
  attempt->forget();
  for (const AttemptPtr& released : orphans_.on_attempt_ended(attempt)) {
    ++counters_.attempts_released;
    counters_.delay_us += static_cast<uint64_t>(clock_.now() - released->created_at());
    log_.attempt_released(*released);
    schedule_call(CallType::kStart, released);
  }
}

// ---- Calls

void EngineClient::schedule_call(CallType type, const AttemptPtr& attempt) {
  pool_.enqueue({type, attempt});
  pool_.schedule_dispatch(attempt->engine());
}

std::optional<http::Request> EngineClient::prepare_call(EngineCall& call) {
  EngineAttempt& attempt = *call.attempt;
  call.start_was_settled = attempt.is_start_settled(clock_.now());
  switch (call.type) {
    case CallType::kCancel:
      attempt.on_cancel_sent();
      return make_cancel_request(attempt.client_tag());
    case CallType::kStart: {
      if (!attempt.still_valid()) {
        complete(call.attempt, Outcome::kSuperseded);
        return std::nullopt;
      }
      const TimeUs now = clock_.now();
      attempt.on_start_sent(now);
      const std::string& class_name = options_.class_names[attempt.spec().class_index];
      return make_start_request(attempt.spec(), class_name, attempt.remaining_us(now));
    }
    case CallType::kFetchPage:
    case CallType::kPoll:
      break;
  }
  attempt.on_fetch_sent(clock_.now());
  return make_fetch_request(attempt.client_tag(), call.page);
}

// Whether the response is a result without a length that no second response has confirmed.
bool EngineClient::is_cut_off_possible(const EngineCall& call, const http::Response& response) {
  if (response.status != kStatusOk || response.has_known_length) return false;
  ++counters_.results_without_length;
  return !call.attempt->confirm_page(call.page, response.body);
}

void EngineClient::on_response(EngineCall call, const http::Response& response) {
  const AttemptPtr attempt = call.attempt;
  if (is_cut_off_possible(call, response)) {
    discard_result(std::move(call));
    return;
  }
  switch (call.type) {
    case CallType::kCancel:
      on_cancel_response(call, response);
      return;
    case CallType::kFetchPage: {
      if (attempt->is_finished()) return;
      const int page = call.page;
      apply_step(std::move(call), attempt->on_page_response(page, parse_page_response(response, page)));
      return;
    }
    case CallType::kStart:
    case CallType::kPoll:
      on_poll_response(std::move(call), parse_poll_response(response));
      return;
  }
}

// An engine that has not read an attempt's start yet reports the attempt as unknown too.
void EngineClient::on_cancel_response(const EngineCall& call, const http::Response& response) {
  const CancelResponse cancelled = parse_cancel_response(response);
  const bool is_unknown = cancelled == CancelResponse::kUnknownAttempt;
  if (cancelled == CancelResponse::kCancelled || (is_unknown && call.start_was_settled)) {
    on_orphan_ended(call.attempt);
    return;
  }
  if (is_unknown) ++counters_.starts_unread;
  schedule_cancel(call.attempt, call.attempt->next_cancel_delay_us());
}

void EngineClient::on_cancel_refused(const AttemptPtr& attempt) {
  if (attempt->on_cancel_refused(clock_.now())) {
    on_orphan_ended(attempt);
  } else {
    schedule_cancel(attempt, attempt->next_cancel_delay_us());
  }
}

// Handles the response to a start or to a poll.
void EngineClient::on_poll_response(EngineCall call, PollResponse poll) {
  const AttemptPtr attempt = call.attempt;
  const bool is_start = call.type == CallType::kStart;
  if (is_start && poll.status != PollResponse::Status::kMalformed) attempt->on_start_read();
  if (attempt->is_finished()) return;
  const bool start_was_settled = is_start || call.start_was_settled;
  const std::optional<AttemptProgress> progress = poll.progress;
  apply_step(std::move(call), attempt->on_poll_response(std::move(poll), start_was_settled));
  if (progress) dispatcher_->on_attempt_progress(attempt->id(), progress->kind, progress->value);
}

void EngineClient::on_late_response(EngineCall call, const http::Response& response) {
  if (call.type == CallType::kCancel) {
    on_cancel_response(call, response);
  } else if (is_cut_off_possible(call, response)) {
    on_late_start_read(call.attempt);
  } else {
    on_late_start_response(std::move(call), parse_poll_response(response));
  }
}

// The attempt is polled since its start has timed out, so a response without a result needs no further poll.
void EngineClient::on_late_start_response(EngineCall call, PollResponse poll) {
  const AttemptPtr attempt = call.attempt;
  if (poll.status == PollResponse::Status::kMalformed) return;
  if (poll.status == PollResponse::Status::kRunning) {
    on_late_start_read(attempt);
    return;
  }
  attempt->on_start_read();
  if (attempt->is_finished()) {
    on_orphan_ended(attempt);
  } else {
    on_poll_response(std::move(call), std::move(poll));
  }
}

// From now on, the response to a cancellation proves the attempt's end.
void EngineClient::on_late_start_read(const AttemptPtr& attempt) {
  attempt->on_start_read();
  if (orphans_.contains(attempt)) schedule_cancel(attempt, 0);
}

void EngineClient::on_late_result_discarded(const EngineCall& call) { on_late_start_read(call.attempt); }

void EngineClient::on_late_connection_closed(const EngineCall& call) {
  if (call.type == CallType::kStart) {
    call.attempt->on_start_connection_closed();
  } else {
    schedule_cancel(call.attempt, call.attempt->next_cancel_delay_us());
  }
}

void EngineClient::apply_step(EngineCall call, const AttemptStep& step) {
  const AttemptPtr attempt = call.attempt;
  switch (step.type) {
    case AttemptStep::Type::kMalformedResponse:
      ++counters_.malformed_responses;
      retry(std::move(call));
      return;
    case AttemptStep::Type::kPoll:
      pool_.enqueue({CallType::kPoll, attempt});
      return;
    case AttemptStep::Type::kPollLater:
      ++counters_.starts_unread;
      poll_later(attempt);
      return;
    case AttemptStep::Type::kFetchPages:
      if (fetch_queue_.reserve_or_wait(attempt)) {
        fetch_pages(attempt);
      } else {
        ++counters_.results_delayed;
        keep_alive(attempt);
      }
      return;
    case AttemptStep::Type::kAwaitPages:
      if (fetch_queue_.contains(attempt)) keep_alive(attempt);
      return;
    case AttemptStep::Type::kComplete:
      if (step.outcome == Outcome::kOk) {
        dispatcher_->on_attempt_message(attempt->id(), attempt->joined_rows());
      }
      complete(attempt, step.outcome);
      return;
  }
}

void EngineClient::poll_later(const AttemptPtr& attempt) {
  clock_.call_after(attempt->next_unknown_poll_delay_us(), [self = weak_factory_.get_weak_ptr(), attempt] {
    if (self && !attempt->is_finished()) self->schedule_call(CallType::kPoll, attempt);
  });
}

void EngineClient::fetch_pages(const AttemptPtr& attempt) {
  for (int page = 1; page < attempt->page_count(); ++page) {
    pool_.enqueue({CallType::kFetchPage, attempt, page});
  }
  pool_.schedule_dispatch(attempt->engine());
}

// Polls an attempt whose result waits for memory, since its engine abandons it otherwise.
void EngineClient::keep_alive(const AttemptPtr& attempt) {
  clock_.call_after(kKeepAliveIntervalUs, [self = weak_factory_.get_weak_ptr(), attempt] {
    if (self && self->fetch_queue_.contains(attempt)) self->schedule_call(CallType::kPoll, attempt);
  });
}

void EngineClient::on_call_failed(EngineCall call, CallFailure failure) {
  switch (failure) {
    case CallFailure::kNotSent:
      complete(call.attempt, Outcome::kConnectFailed);
      return;
    case CallFailure::kConnectionClosed:
      if (call.type == CallType::kStart) call.attempt->on_start_connection_closed();
      retry(std::move(call));
      return;
    case CallFailure::kTimedOut:
      // The response may still come: a cancellation that the engine reads later can end the attempt
      // unnoticed.
      if (call.type == CallType::kCancel) {
        schedule_cancel(call.attempt, kOverdueCancelRetryDelayUs);
      } else {
        retry(std::move(call));
      }
      return;
    case CallFailure::kTrailingBytes:
      discard_result(std::move(call));
      return;
    case CallFailure::kMalformed:
      retry(std::move(call));
      return;
    case CallFailure::kRefused:
      if (call.type == CallType::kCancel) {
        on_cancel_refused(call.attempt);
      } else if (!call.attempt->is_finished()) {
        give_up(call.attempt);
      }
      return;
  }
}

// The result in the response to the call may be a part. The engine still has the whole: the call is repeated.
void EngineClient::discard_result(EngineCall call) {
  if (call.type == CallType::kStart) call.attempt->on_start_read();
  retry(std::move(call));
}

// Repeats a call that ended without a valid response. A second start call could execute the statement twice;
// a poll returns the state of the first one.
void EngineClient::retry(EngineCall call) {
  const AttemptPtr attempt = call.attempt;
  if (call.type == CallType::kCancel) {
    schedule_cancel(attempt, attempt->next_cancel_delay_us());
    return;
  }
  if (attempt->is_finished()) return;
  if (call.type == CallType::kStart) call.type = CallType::kPoll;
  if (!attempt->on_call_failed()) {
    give_up(attempt);
    return;
  }
  pool_.enqueue_first(std::move(call));
}

// The cancellation is repeated for as long as the attempt is orphaned.
void EngineClient::schedule_cancel(const AttemptPtr& attempt, TimeUs delay) {
  const TimeUs at = clock_.now() + delay;
  if (!attempt->schedule_cancel_at(at)) return;
  clock_.call_after(delay, [self = weak_factory_.get_weak_ptr(), attempt, at] {
    if (!self || !attempt->start_scheduled_cancel(at) || !self->orphans_.contains(attempt)) return;
    self->pool_.remove_cancellation(attempt);
    self->schedule_call(CallType::kCancel, attempt);
  });
}

// ---- Timeouts

void EngineClient::expire() {
  const TimeUs now = clock_.now();
  pool_.expire();
  // Engines abandon an attempt while its calls wait too long for a connection.
  std::vector<AttemptPtr> abandoned;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt->was_sent() && now > attempt->abandoned_at()) abandoned.push_back(attempt);
  }
  for (const AttemptPtr& attempt : abandoned) give_up(attempt);
  for (const AttemptPtr& expired : orphans_.expire(now)) {
    expired->forget();
    pool_.remove_cancellation(expired);
  }
  clock_.call_after(ConnectionPool::kExpiryIntervalUs, [self = weak_factory_.get_weak_ptr()] {
    if (self) self->expire();
  });
}

}  // namespace sablelink::platform
