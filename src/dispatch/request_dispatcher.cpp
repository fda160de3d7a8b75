#include "dispatch/request_dispatcher.h"

#include <algorithm>

namespace sablelink::dispatch {

constexpr TimeUs kStallUs = 20'000;  // a timer this late is worth a line in the log

const char* request_status_name(RequestStatus verdict) {
  switch (verdict) {
    case RequestStatus::kServed:
      return "served";
    case RequestStatus::kRejected:
      return "refused";
    case RequestStatus::kFailed:
      return "failed";
  }
  return "unknown";
}

const char* completion_reason_name(CompletionReason reason) {
  switch (reason) {
    case CompletionReason::kCompleted:
      return "answered";
    case CompletionReason::kPolicyDecision:
      return "decided";
    case CompletionReason::kGatewayOverloaded:
      return "gateway-full";
    case CompletionReason::kConnectionLimit:
      return "connection-full";
    case CompletionReason::kShuttingDown:
      return "stopping";
    case CompletionReason::kStatementError:
      return "statement";
    case CompletionReason::kStreamInterrupted:
      return "stream-broken";
    case CompletionReason::kDeadlineExceeded:
      return "overdue";
  }
  return "unknown";
}

RequestDispatcher::RequestDispatcher(Settings settings, uint64_t seed, const DispatcherLimits& limits,
                                     Clock& clock, EngineTransport& nodes, EndpointSource& lists, Log& log)
    : limits_(limits),
      second_copies_(settings.hedging_allowed),
      gateway_(std::move(settings), seed),
      clock_(clock),
      nodes_(nodes),
      lists_(lists),
      log_(log),
      self_(std::make_shared<RequestDispatcher*>(this)) {}

RequestDispatcher::~RequestDispatcher() { *self_ = nullptr; }

void RequestDispatcher::start() {
  tell([&] { gateway_.on_start(now_, *this); });
}

// The clock of events never runs back, whatever the clock given does.
TimeUs RequestDispatcher::now() { return now_ = std::max(now_, clock_.now()); }

// Every event passes here: what the module does in it may bring about ends of attempts, which it must hear of
// only after it has returned.
template <typename Event>
void RequestDispatcher::tell(Event&& event) {
  now();
  event();
  tell_late_ends();
}

void RequestDispatcher::tell_late_ends() {
  while (!late_ends_.empty()) {
    const LateEnd late = late_ends_.front();
    late_ends_.pop_front();
    if (late.outcome != Outcome::kSuperseded) {
      AttemptResult result;
      result.outcome = late.outcome;
      end_attempt({late.request, late.attempt}, std::move(result));
      continue;
    }
    const auto it = requests_.find(late.request);
    AttemptCompletion end;
    end.id = late.request;
    end.attempt = late.attempt;
    end.engine = late.engine;
    end.outcome = Outcome::kSuperseded;
    end.request_finished = it == requests_.end() || !it->second.sink;
    gateway_.on_attempt_completed(now_, end, *this);
  }
}

RequestDispatcher::Request* RequestDispatcher::find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

RequestDispatcher::Attempt* RequestDispatcher::find(AttemptId key, Request** request) {
  Request* const r = find(key.request);
  if (r == nullptr) return nullptr;
  if (request != nullptr) *request = r;
  const auto it =
      std::find_if(r->out.begin(), r->out.end(), [&](const Attempt& a) { return a.number == key.number; });
  return it == r->out.end() ? nullptr : &*it;
}

// Ids are never repeated among those that either side still knows. After 2^32 requests they start over.
RequestId RequestDispatcher::next_id() {
  do ++last_id_;
  while (last_id_ == 0 || requests_.contains(last_id_) || unsent_.contains(last_id_));
  return last_id_;
}

RequestId RequestDispatcher::submit(QueryRequest query, std::shared_ptr<const Statement> statement,
                                    std::shared_ptr<ResponseSink> sink) {
  ++counts_.accepted;
  const bool late = query.deadline <= now();
  if (late || stopping_ || open_ >= limits_.max_open_requests) {
    ++counts_.rejected;
    FinalResponse end;
    end.status = RequestStatus::kRejected;
    end.reason = late        ? CompletionReason::kDeadlineExceeded
                 : stopping_ ? CompletionReason::kShuttingDown
                             : CompletionReason::kGatewayOverloaded;
    sink->finish(end);
    return 0;
  }
  query.id = next_id();
  Request& request = requests_[query.id];
  request.statement = std::move(statement);
  request.sink = std::move(sink);
  request.due_us = query.deadline;
  request.cls = query.class_index;
  ++open_;
  if (log_.wants(LogLevel::kDebug))
    log_.write(LogLevel::kDebug, "taken",
               {{"request", std::to_string(query.id)},
                {"tag", request.statement->client_tag},
                {"class", std::to_string(query.class_index)},
                {"due_in_us", std::to_string(query.deadline - now())}});
  watch({request.due_us, Watch::kRequest, query.id, 0});
  request.watched = true;
  tell([&] { gateway_.on_request(now_, query, *this); });
  const Request* const left = find(query.id);
  return left != nullptr && left->sink ? query.id : 0;
}

void RequestDispatcher::on_client_disconnected(RequestId id) {
  const bool unread = unsent_.contains(id);
  forget_unconsumed(id);
  Request* const request = find(id);
  if (request == nullptr || !request->sink) return;
  counts_.disconnected_unread += unread;
  ++counts_.disconnected;
  --open_;
  request->sink = nullptr;
  for (Attempt& attempt : request->out) {
    release(attempt);
    if (attempt.streaming) {  // nobody's any more; the module doesn't cancel streams
      nodes_.cancel({id, attempt.number});
      late_ends_.push_back({id, attempt.number, attempt.engine, Outcome::kCancelled});
    }
  }
  tell([&] { gateway_.on_client_disconnected(now_, id, *this); });
  forget_if_over(id);
}

void RequestDispatcher::give(RequestId id, Request& request, std::string message) {
  if (!request.sink->consumes_immediately()) {
    held_all_ += message.size();
    unsent_[id] += message.size();
  }
  request.sink->write(std::move(message));
}

void RequestDispatcher::on_response_consumed(RequestId id, size_t bytes) {
  const auto it = unsent_.find(id);
  if (it == unsent_.end()) return;
  const size_t taken = std::min(bytes, it->second);
  held_all_ -= taken;
  it->second -= taken;
  const size_t left = it->second;
  if (left == 0) unsent_.erase(it);
  Request* const request = find(id);
  if (request == nullptr || left > limits_.stream_window_bytes / 2) return;
  for (Attempt& attempt : request->out) {
    if (!attempt.paused) continue;
    attempt.paused = false;
    nodes_.resume({id, attempt.number});
  }
}

void RequestDispatcher::forget_unconsumed(RequestId id) {
  const auto it = unsent_.find(id);
  if (it == unsent_.end()) return;
  held_all_ -= it->second;
  unsent_.erase(it);
}

void RequestDispatcher::on_endpoints_changed(EndpointUpdateKind form, const std::vector<Endpoint>& entries) {
  tell([&] { gateway_.on_endpoints_changed(now_, form, entries, *this); });
}

void RequestDispatcher::release(Attempt& attempt) {
  held_all_ -= attempt.held_bytes;
  attempt.held_bytes = 0;
  attempt.held.clear();
}

// From here on the client owns this attempt: it has seen part of its answer.
void RequestDispatcher::start_stream(AttemptId key, Request& request, Attempt& attempt) {
  ++counts_.streamed_responses;
  attempt.streaming = true;
  unwatch({attempt.until, Watch::kAttempt, key.request, key.number});
  if (request.watched) unwatch({request.due_us, Watch::kRequest, key.request, 0});
  request.watched = false;
  std::vector<std::string> held = std::move(attempt.held);
  release(attempt);
  for (std::string& message : held) give(key.request, request, std::move(message));
  for (const Attempt& other : request.out) {
    if (&other == &attempt) continue;
    nodes_.cancel({key.request, other.number});
    late_ends_.push_back({key.request, other.number, other.engine, Outcome::kCancelled});
  }
  tell([&] { gateway_.on_response_started(now_, key.request, key.number, *this); });
}

bool RequestDispatcher::on_attempt_message(AttemptId key, std::string message) {
  Request* request = nullptr;
  Attempt* attempt = find(key, &request);
  if (attempt == nullptr || !request->sink) return true;
  if (attempt->streaming) {
    give(key.request, *request, std::move(message));
  } else {
    attempt->held_bytes += message.size();
    held_all_ += message.size();
    attempt->held.push_back(std::move(message));
    if (attempt->held_bytes <= limits_.response_buffer_bytes && held_all_ <= limits_.total_buffer_bytes)
      return true;
    if (attempt->held_bytes <= limits_.response_buffer_bytes) ++counts_.buffer_limit_reached;
    start_stream(key, *request, *attempt);
    attempt = find(key);
    if (attempt == nullptr) return true;
  }
  const auto unsent = unsent_.find(key.request);
  attempt->paused = unsent != unsent_.end() && unsent->second > limits_.stream_window_bytes;
  return !attempt->paused;
}

void RequestDispatcher::on_attempt_progress(AttemptId key, ProgressKind kind, double value) {
  const Attempt* const attempt = find(key);
  if (attempt == nullptr) return;
  ProgressUpdate note;
  note.id = key.request;
  note.attempt = key.number;
  note.engine = attempt->engine;
  note.kind = kind;
  note.value = value;
  tell([&] { gateway_.on_progress(now_, note, *this); });
}

void RequestDispatcher::on_attempt_completed(AttemptId key, const AttemptResult& result) {
  now();
  end_attempt(key, result);
}

void RequestDispatcher::end_attempt(AttemptId key, AttemptResult result) {
  Request* request = nullptr;
  Attempt* const found = find(key, &request);
  if (found == nullptr) return;
  Attempt attempt = std::move(*found);
  std::erase_if(request->out, [&](const Attempt& a) { return a.number == key.number; });
  if (!attempt.streaming) unwatch({attempt.until, Watch::kAttempt, key.request, key.number});
  const bool owed = request->sink != nullptr;
  if (result.outcome != Outcome::kOk) request->last_error = result.error;

  if (owed && result.outcome == Outcome::kOk) {
    std::vector<std::string> held = std::move(attempt.held);
    release(attempt);
    for (std::string& message : held) give(key.request, *request, std::move(message));
    answer(key.request, *request,
           {RequestStatus::kServed, CompletionReason::kCompleted, 0, request->attempts, {}});
  } else if (owed && result.is_statement_error) {
    answer(key.request, *request,
           {RequestStatus::kFailed, CompletionReason::kStatementError, 0, request->attempts,
            std::move(result.error)});
  } else if (owed && attempt.streaming) {
    answer(key.request, *request,
           {RequestStatus::kFailed, CompletionReason::kStreamInterrupted, 0, request->attempts,
            std::move(result.error)});
  }
  release(attempt);

  if (log_.wants(LogLevel::kDebug))
    log_.write(LogLevel::kDebug, "ended",
               {{"request", std::to_string(key.request)},
                {"attempt", std::to_string(key.number)},
                {"outcome", std::to_string(static_cast<int>(result.outcome))},
                {"took_us", std::to_string(now_ - attempt.sent_at)}});
  AttemptCompletion end;
  end.id = key.request;
  end.attempt = key.number;
  end.engine = attempt.engine;
  // The engine is not to blame for a wrong statement, and its time tells nothing about the class: moot is the
  // outcome from which the module learns nothing.
  end.outcome = result.is_statement_error ? Outcome::kSuperseded : result.outcome;
  end.duration_us = now_ - attempt.sent_at;
  end.request_finished = !request->sink;
  end.work_us = result.work_us;
  end.memory_used_mb = result.memory_used_mb;
  end.load_report = result.load_report;
  end.engine_responsive = result.engine_responsive;
  tell([&] { gateway_.on_attempt_completed(now_, end, *this); });
  forget_if_over(key.request);
}

void RequestDispatcher::answer(RequestId id, Request& request, FinalResponse end) {
  const std::shared_ptr<ResponseSink> sink = std::move(request.sink);
  request.sink = nullptr;
  --open_;
  switch (end.status) {
    case RequestStatus::kServed:
      ++counts_.served;
      break;
    case RequestStatus::kRejected:
      ++counts_.rejected;
      break;
    case RequestStatus::kFailed:
      ++counts_.failed;
      break;
  }
  if (log_.wants(LogLevel::kDebug))
    log_.write(LogLevel::kDebug, "answered",
               {{"request", std::to_string(id)},
                {"verdict", request_status_name(end.status)},
                {"reason", completion_reason_name(end.reason)},
                {"attempts", std::to_string(end.attempts)},
                {"due_in_us", std::to_string(request.due_us - now_)}});
  for (Attempt& attempt : request.out) release(attempt);
  if (request.watched) unwatch({request.due_us, Watch::kRequest, id, 0});
  request.watched = false;
  sink->finish(end);
}

void RequestDispatcher::forget_if_over(RequestId id) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && !it->second.sink && it->second.out.empty()) {
    if (it->second.watched) unwatch({it->second.due_us, Watch::kRequest, id, 0});
    requests_.erase(it);
  }
  check_idle();
}

void RequestDispatcher::check_idle() {
  if (stopping_ && open_ == 0 && on_idle_) std::exchange(on_idle_, nullptr)();
}

void RequestDispatcher::stop_accepting(std::function<void()> on_idle) {
  stopping_ = true;
  on_idle_ = std::move(on_idle);
  check_idle();
}

void RequestDispatcher::cancel_in_flight() {
  stopping_ = true;
  tell([&] { gateway_.on_shutdown(now_, *this); });
}

// An attempt may have waited for a connection, or for the end of an earlier one.
bool RequestDispatcher::may_leave(AttemptId key) {
  now();
  Request* request = nullptr;
  const Attempt* const attempt = find(key, &request);
  if (attempt == nullptr || !request->sink || now_ >= attempt->until) return false;
  if (request->sink->is_client_disconnected()) {
    on_client_disconnected(key.request);
    return false;
  }
  return gateway_.is_attempt_still_valid(now_, key.request, key.number, *this);
}

// ---- Actions -------------------------------------------------------------------------------------------

// Holds for the request's next sends. The module sets terms only before a send, so none is out that would
// have to hear of it.
void RequestDispatcher::set_execution_hints(RequestId id, int priority, double grant_mb) {
  if (Request* const request = find(id)) {
    request->priority = priority;
    request->grant_mb = grant_mb;
  }
}

void RequestDispatcher::send_attempt(RequestId id, EngineId engine, TimeUs timeout_us) {
  Request* const request = find(id);
  const int number = request == nullptr ? 0 : request->attempts;
  const bool doubled = request != nullptr && !request->out.empty() && !second_copies_;
  if (request == nullptr || !request->sink || doubled || now_ >= request->due_us) {
    if (doubled || request == nullptr) {
      ++counts_.blocked_sends;
      log_.error("send_blocked", {{"request", std::to_string(id)}, {"doubled", doubled ? "true" : "false"}});
    }
    if (request != nullptr) ++request->attempts;
    late_ends_.push_back({id, number, engine, Outcome::kSuperseded});
    return;
  }
  if (log_.wants(LogLevel::kDebug))
    log_.write(LogLevel::kDebug, "sent",
               {{"request", std::to_string(id)},
                {"attempt", std::to_string(number)},
                {"node", std::to_string(engine)},
                {"timeout_us", std::to_string(timeout_us)}});
  ++request->attempts;
  ++counts_.attempts;
  if (number > 0) ++counts_.retries;
  Attempt attempt;
  attempt.number = number;
  attempt.engine = engine;
  attempt.sent_at = now_;
  attempt.until = timeout_us > 0 ? std::min(now_ + timeout_us, request->due_us) : request->due_us;
  AttemptSpec order;
  order.statement = request->statement;
  order.class_index = request->cls;
  order.priority = request->priority;
  order.memory_grant_mb = request->grant_mb;
  order.remaining_us = attempt.until - now_;
  order.still_valid = [self = self_, key = AttemptId{id, number}] {
    return *self != nullptr && (*self)->may_leave(key);
  };
  watch({attempt.until, Watch::kAttempt, id, number});
  request->out.push_back(std::move(attempt));
  nodes_.start({id, number}, engine, order);
}

void RequestDispatcher::cancel_attempt(RequestId id, int attempt) {
  const Attempt* const found = find({id, attempt});
  if (found == nullptr || found->streaming) return;  // over, or the client's
  nodes_.cancel({id, attempt});
  late_ends_.push_back({id, attempt, found->engine, Outcome::kCancelled});
}

void RequestDispatcher::reject(RequestId id, TimeUs retry_after_us) {
  decide(id, RequestStatus::kRejected, retry_after_us);
}
void RequestDispatcher::fail(RequestId id) { decide(id, RequestStatus::kFailed, 0); }

void RequestDispatcher::decide(RequestId id, RequestStatus verdict, TimeUs retry_after_us) {
  Request* const request = find(id);
  if (request == nullptr || !request->sink) return;
  answer(
      id, *request,
      {verdict, CompletionReason::kPolicyDecision, retry_after_us, request->attempts, request->last_error});
  forget_if_over(id);
}

void RequestDispatcher::set_timer(TimeUs delay_us, uint32_t token) {
  clock_.call_after(delay_us, [self = self_, token, due = now_ + delay_us] {
    RequestDispatcher* const c = *self;
    if (c == nullptr) return;
    c->note_lateness(c->now() - due);
    c->tell([&] { c->gateway_.on_timer(c->now_, token, *c); });
  });
}

// A timer that comes late tells that this process stood still: for want of CPU, or because one event took
// long.
void RequestDispatcher::note_lateness(TimeUs late_us) {
  counts_.max_timer_delay_us = std::max(counts_.max_timer_delay_us, late_us);
  if (late_us < kStallUs) return;
  ++counts_.timer_stalls;
  log_.warn("stalled", {{"late_ms", std::to_string(late_us / 1000)}, {"open", std::to_string(open_)}});
}

void RequestDispatcher::watch_endpoints(bool on) { lists_.watch(on); }
void RequestDispatcher::fetch_endpoints() { lists_.fetch(); }

void RequestDispatcher::check_health(EngineId engine) {
  const uint32_t id = ++last_probe_;
  probes_[id] = {engine, now_};
  watch({now_ + limits_.health_check_timeout_us, Watch::kProbe, id, 0});
  nodes_.check_health(id, engine);
}

void RequestDispatcher::on_health_check_completed(uint32_t probe, Outcome outcome,
                                                  const std::optional<LoadReport>& report) {
  const auto it = probes_.find(probe);
  if (it == probes_.end()) return;
  const Probe ended = it->second;
  probes_.erase(it);
  unwatch({ended.sent_at + limits_.health_check_timeout_us, Watch::kProbe, probe, 0});
  tell([&] {
    gateway_.on_health_check_completed(now_, ended.engine, outcome, now_ - ended.sent_at, report, *this);
  });
}

void RequestDispatcher::close_idle_connections(EngineId engine) { nodes_.close_idle_connections(engine); }

// Gateways share nothing: Settings::may_tell_peers is never set by the program.
void RequestDispatcher::send_gossip(uint32_t, std::string_view) {}

void RequestDispatcher::log(std::string_view line) { log_.info("decision", {{"line", std::string(line)}}); }

// ---- Times ---------------------------------------------------------------------------------------------

void RequestDispatcher::watch(WatchItem item) {
  watches_.insert(item);
  arm();
}

void RequestDispatcher::unwatch(const WatchItem& item) { watches_.erase(item); }

// The clock owes one callback for the earliest watch; ones for watches that are gone come for nothing.
void RequestDispatcher::arm() {
  if (watches_.empty()) return;
  const TimeUs first = std::get<0>(*watches_.begin());
  if (armed_for_ != 0 && armed_for_ <= first) return;
  armed_for_ = first;
  clock_.call_after(std::max<TimeUs>(first - now(), 0), [self = self_, first] {
    RequestDispatcher* const c = *self;
    if (c == nullptr || c->armed_for_ != first) return;
    c->armed_for_ = 0;
    c->run_watches();
  });
}

void RequestDispatcher::run_watches() {
  while (!watches_.empty() && std::get<0>(*watches_.begin()) <= now()) {
    const auto [when, what, id, number] = *watches_.begin();
    watches_.erase(watches_.begin());
    switch (what) {
      case Watch::kAttempt: {
        nodes_.cancel({id, number});
        AttemptResult result;
        result.outcome = Outcome::kTimeout;
        end_attempt({id, number}, std::move(result));
        break;
      }
      case Watch::kRequest: {
        // Attempts end before, so the module has had its chance to answer.
        Request* const request = find(id);
        if (request == nullptr || !request->sink) break;
        request->watched = false;
        ++counts_.deadline_exceeded;
        const RequestStatus verdict =
            request->attempts == 0 ? RequestStatus::kRejected : RequestStatus::kFailed;
        answer(id, *request,
               {verdict, CompletionReason::kDeadlineExceeded, 0, request->attempts, request->last_error});
        tell([&, request_id = id] { gateway_.on_client_disconnected(now_, request_id, *this); });
        forget_if_over(id);
        break;
      }
      case Watch::kProbe:
        on_health_check_completed(id, Outcome::kTimeout, std::nullopt);
        break;
    }
  }
  arm();
}

}  // namespace sablelink::dispatch
