#include "workload/query_scheduler.h"

#include <cstddef>
#include <utility>

#include "workload/latency_objective.h"

namespace sablelink {
namespace {

constexpr int kDefaultPriority = 1;  // used if engines don't honor priorities
constexpr int kLatePriority = 0;
constexpr int kHeavyPriority = 1;
constexpr int kLightPriority = 3;

// Whether it is certain that the engine did not start the attempt.
bool never_ran(Outcome outcome) {
  return outcome == Outcome::kOverloaded || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kSuperseded;
}

// Whether the engine may still run the attempt after its outcome.
bool may_still_run(Outcome outcome) {
  return outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled;
}

}  // namespace

void QueryScheduler::begin_event(TimeUs now, WorkloadManagerDelegate& delegate) {
  now_ = now;
  delegate_ = &delegate;
}

void QueryScheduler::add(const QueryRequest& request) {
  const auto [item, inserted] = queries_.try_emplace(request.id);
  if (!inserted) return;
  Query& query = item->second;
  query.request = request;
  query.class_settings = &parts_.settings.classes[request.class_index];
  query.arrived_at = now_;
  parts_.retry_policy.record_request(now_);
  parts_.key_ordering.add(query);
  place(query);
}

Query* QueryScheduler::find(RequestId id) {
  const auto found = queries_.find(id);
  return found == queries_.end() ? nullptr : &found->second;
}

Query* QueryScheduler::find_in_flight(RequestId id, int attempt) {
  Query* const query = find(id);
  const bool in_flight = query != nullptr && query->attempt_in_flight && attempt == query->attempts - 1;
  return in_flight ? query : nullptr;
}

bool QueryScheduler::may_still_be_sent(RequestId id, int attempt) {
  Query* const query = find_in_flight(id, attempt);
  return query != nullptr && !query->completed && send_guard_.may_still_be_sent(*query, *query->engine, now_);
}

void QueryScheduler::requeue(Engine& engine) {
  for (Query* query : std::exchange(engine.queue, {})) place(*query);
}

void QueryScheduler::place(Query& query) {
  query.engine = nullptr;
  if (now_ < query.health_check_wait_until || !parts_.key_ordering.may_start(query, now_)) {
    admission_.park(query);
    return;
  }
  CandidateSearch search = find_candidates(query);
  if (search.candidates.empty()) {
    if (search.may_wait || !endpoints_known_) {
      admission_.park(query);
    } else {
      complete(query);
    }
    return;
  }
  placement_.add_preferred_engine_gain(query, search.candidates);
  const std::vector<Engine*> to_check = parts_.health_checker.start_checks(query, search.candidates, now_);
  for (const Engine* engine : to_check) delegate_->check_health(engine->endpoint.engine);
  if (!to_check.empty()) {
    admission_.park(query);
    return;
  }
  const PlacementCandidate* const chosen = placement_.choose(search.candidates);
  if (chosen == nullptr) {
    complete(query);
    return;
  }
  query.engine = chosen->engine;
  std::vector<Query*>& queue = chosen->engine->queue;
  queue.insert(queue.begin() + static_cast<std::ptrdiff_t>(chosen->position), &query);
  start_queued(*chosen->engine);
}

// Considers engines on which the query has failed only if there are no other candidates.
QueryScheduler::CandidateSearch QueryScheduler::find_candidates(const Query& query) {
  CandidateSearch search;
  for (const bool avoid_failed : {true, false}) {
    if (!search.candidates.empty()) break;
    for (auto& [id, engine] : parts_.engines) {
      if (avoid_failed && (id == query.avoided_engine || OutlierDetector::has_failed_on(query, id))) continue;
      if (!send_guard_.may_ever_send(query, engine, now_)) continue;
      if (send_guard_.may_send(query, engine, now_) && parts_.outlier_detector.accepts(query, engine, now_)) {
        search.candidates.push_back(placement_.evaluate(query, engine, now_));
      } else {
        search.may_wait = true;
      }
    }
  }
  return search;
}

void QueryScheduler::place_parked() {
  for (Query* query : admission_.take_parked()) place(*query);
}

void QueryScheduler::start_queued(Engine& engine) {
  while (Query* const query = queue_scheduler_.take_next(engine, now_)) {
    if (send_guard_.may_send(*query, engine, now_)) {
      send(*query, engine);
    } else {
      admission_.park(*query);
    }
  }
}

void QueryScheduler::steal_work() {
  std::vector<Engine*> sources;
  for (auto& [id, engine] : parts_.engines)
    if (queue_scheduler_.has_stealable_query(engine, now_)) sources.push_back(&engine);
  if (sources.empty()) return;
  for (auto& [id, thief] : parts_.engines) {
    while (thief.queue.empty() && thief.is_ready()) {
      Query* const query = queue_scheduler_.choose_to_steal(thief, sources, now_);
      if (query == nullptr) break;
      dequeue(*query);
      send(*query, thief);
    }
  }
}

void QueryScheduler::send(Query& query, Engine& engine) {
  send_guard_.on_sent(query, engine, now_);
  if (parts_.settings.engines_honor_priorities || parts_.settings.engines_honor_grants) {
    const int priority =
        parts_.settings.engines_honor_priorities ? execution_priority(query) : kDefaultPriority;
    const double grant_mb =
        parts_.settings.engines_honor_grants ? parts_.cost_model.memory_grant_mb(query, engine) : 0;
    delegate_->set_execution_hints(query.request.id, priority, grant_mb);
  }
  delegate_->send_attempt(query.request.id, engine.endpoint.engine,
                          parts_.straggler_detector.attempt_timeout_us(query, engine, now_));
  query.attempt_in_flight = true;
  query.cancel_requested = false;
  query.engine = &engine;
  query.sent_at = now_;
  query.predicted_duration_us = 0;
  ++query.attempts;
  engine.in_flight.push_back(&query);
  engine.last_started_table_group = query.request.table_group;
  parts_.limiter.on_attempt_sent(query);
}

// A heavy query without an estimate has the same priority as a late query, as it is likely to be late.
int QueryScheduler::execution_priority(const Query& query) const {
  if (now_ > latency_objective_at(parts_.cost_model, query)) return kLatePriority;
  if (parts_.cost_model.is_light(query)) return kLightPriority;
  return query.request.estimated_cost_us ? kHeavyPriority : kLatePriority;
}

void QueryScheduler::cancel_attempt(Query& query) {
  query.cancel_requested = true;
  delegate_->cancel_attempt(query.request.id, query.attempts - 1);
}

void QueryScheduler::complete(Query& query) {
  dequeue(query);
  if (!query.completed) send_final_response(query);
  close(query);
}

void QueryScheduler::abandon(Query& query) {
  dequeue(query);
  close(query);
}

void QueryScheduler::dequeue(Query& query) {
  admission_.unpark(query);
  if (query.engine == nullptr || query.attempt_in_flight) return;
  std::erase(query.engine->queue, &query);
  query.engine = nullptr;
}

// Rejects the query if that is safe, as a rejection tells the client that it may retry; otherwise fails it.
void QueryScheduler::send_final_response(const Query& query) {
  if (RetryPolicy::is_rejection_safe(query)) {
    delegate_->reject(query.request.id, admission_.retry_after_us(parts_.engines, now_));
  } else {
    delegate_->fail(query.request.id);
  }
}

void QueryScheduler::close(Query& query) {
  if (!query.completed) {
    query.completed = true;
    if (query.attempt_in_flight && parts_.settings.cancellation_allowed && !query.response_started)
      delegate_->cancel_attempt(query.request.id, query.attempts - 1);
  }
  if (!query.attempt_in_flight) forget(query);
}

void QueryScheduler::forget(const Query& query) {
  parts_.key_ordering.remove(query, now_);
  queries_.erase(query.request.id);
}

void QueryScheduler::complete_all() {
  std::vector<Query*> to_complete;
  for (auto& [id, query] : queries_)
    if (!query.completed && !query.response_started) to_complete.push_back(&query);
  for (Query* query : to_complete) complete(*query);
}

void QueryScheduler::complete_near_deadline_or_useless(bool may_cancel_useless_attempts) {
  std::vector<Query*> to_complete;
  for (auto& [id, query] : queries_) {
    if (query.completed || query.response_started) continue;
    const bool should_cancel_useless_attempt =
        may_cancel_useless_attempts && admission_.should_cancel_useless_attempt(query, now_);
    if (should_cancel_useless_attempt || admission_.is_near_deadline(query, now_) ||
        admission_.is_expected_useless(query, now_))
      to_complete.push_back(&query);
  }
  for (Query* query : to_complete) complete(*query);
}

void QueryScheduler::end_attempt(Query& query, Engine& engine, Outcome outcome) {
  std::erase(engine.in_flight, &query);
  parts_.limiter.on_attempt_ended(query);
  query.attempt_in_flight = false;
  query.cancel_requested = false;
  query.engine = nullptr;
  if (!never_ran(outcome) && !query.may_have_run) {
    query.may_have_run = true;
    query.first_run_endpoint = engine.endpoint;
    query.first_run_at = query.sent_at;
  }
  if (may_still_run(outcome))
    parts_.key_ordering.delay_key_until(query, now_ + parts_.settings.ordering_gap_us);
}

}  // namespace sablelink
