#include "workload/workload_manager.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "workload/admission.h"
#include "workload/concurrency_limiter.h"
#include "workload/cost_model.h"
#include "workload/engine.h"
#include "workload/engine_capacity.h"
#include "workload/engine_queue.h"
#include "workload/health_checker.h"
#include "workload/housekeeping.h"
#include "workload/key_ordering.h"
#include "workload/latency_objective.h"
#include "workload/load_estimator.h"
#include "workload/outlier_detector.h"
#include "workload/placement.h"
#include "workload/query.h"
#include "workload/random.h"
#include "workload/retry_policy.h"
#include "workload/send_guard.h"
#include "workload/slow_start.h"
#include "workload/straggler_detector.h"

namespace sablelink {
namespace {

constexpr TimeUs kWatchRetryUs = 500 * kMillisecondUs;  // after the endpoint list couldn't be watched
constexpr double kMinProgress = 0.002;                  // a smaller fraction predicts no more than this one

constexpr uint32_t kHousekeepingToken = 1;
constexpr uint32_t kWatchRetryToken = 2;

constexpr int kDefaultPriority = 1;  // where engines don't honor priorities
constexpr int kLatePriority = 0;
constexpr int kHeavyPriority = 1;
constexpr int kLightPriority = 3;

const char* reason_text(EjectionReason reason) {
  switch (reason) {
    case EjectionReason::kSilence:
      return "silence";
    case EjectionReason::kErrors:
      return "failures";
    case EjectionReason::kUnreachable:
      return "unreachable";
  }
  return "";
}

// The engine certainly didn't start to run the attempt.
bool never_ran(Outcome outcome) {
  return outcome == Outcome::kOverloaded || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kSuperseded;
}

// The engine may run the attempt after its outcome.
bool may_still_run(Outcome outcome) {
  return outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled;
}

}  // namespace

/// Owns the queries, the engines and the parts that decide, and passes each event through them.
class WorkloadManager::Impl {
 public:
  Impl(Settings settings, uint64_t seed);

  /// Called before each event.
  Impl& begin_event(TimeUs now, WorkloadManagerDelegate& delegate);

  void on_start();
  void on_endpoints_changed(EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints);
  void on_request(const QueryRequest& request);
  void on_response_started(RequestId id, int attempt);
  void on_attempt_completed(const AttemptCompletion& completion);
  void on_progress(const ProgressUpdate& update);
  void on_client_disconnected(RequestId id);
  void on_timer(uint32_t token);
  void on_health_check_completed(EngineId id, Outcome outcome, TimeUs duration_us,
                                 const std::optional<LoadReport>& report);
  void on_shutdown();
  bool is_attempt_still_valid(RequestId id, int attempt);

 private:
  struct CandidateSearch {
    std::vector<PlacementCandidate> candidates;
    bool may_wait = false;  // an engine that can't take the query now might take it later
  };

  bool resumed_from_stall() const { return now_ == stall_ended_at_; }
  Query* find_in_flight(RequestId id, int attempt);

  // Endpoints.
  void update_endpoint(const Endpoint& endpoint);
  void refresh_load();
  void requeue(Engine& engine);

  // Placement and sends.
  void place(Query& query);
  CandidateSearch find_candidates(const Query& query);
  void place_parked();
  void start_queued(Engine& engine);
  void steal_work();
  void send(Query& query, Engine& engine);
  int execution_priority(const Query& query) const;
  void cancel_attempt(Query& query);

  // Completion.
  void complete(Query& query);
  void abandon(Query& query);
  void dequeue(Query& query);
  void send_final_response(const Query& query);
  void close(Query& query);
  void forget(const Query& query);
  void complete_due_and_hopeless();

  // Outcomes.
  void end_attempt(Query& query, Engine& engine, const AttemptCompletion& completion);
  void learn_from(Query& query, Engine& engine, const AttemptCompletion& completion);
  void retry_or_complete(Query& query);
  void record_outcome(Engine& engine, Outcome outcome);
  void eject(Engine& engine, EjectionReason reason);
  bool is_request_at_fault(const Query& query) const;
  void attribute_errors(Query& query);
  void attribute_pending_errors();
  void check_stragglers();

  // The parts refer to one another and are constructed in this order.
  const Settings settings_;
  Random random_;
  EngineMap engines_;
  std::map<RequestId, Query> queries_;
  CostModel cost_model_{settings_};
  LoadEstimator load_estimator_{settings_, cost_model_};
  ConcurrencyLimiter limiter_{settings_, cost_model_, load_estimator_};
  SlowStart slow_start_{settings_, cost_model_, random_};
  RetryPolicy retry_policy_{settings_};
  KeyOrdering key_ordering_;
  OutlierDetector outlier_detector_{engines_, cost_model_};
  StragglerDetector straggler_detector_{settings_, cost_model_, retry_policy_};
  SendGuard send_guard_{slow_start_, retry_policy_, key_ordering_};
  Placement placement_{settings_, cost_model_, load_estimator_, limiter_, random_};
  EngineQueueScheduler queue_scheduler_{cost_model_, load_estimator_, limiter_, outlier_detector_,
                                        send_guard_};
  HealthChecker health_checker_{settings_, cost_model_, random_};
  Admission admission_{settings_, cost_model_, load_estimator_};

  bool endpoints_known_ = false;
  TimeUs started_at_ = 0;
  TimeUs stall_ended_at_ = 0;  // the last one's
  // Of the present event.
  TimeUs now_ = 0;
  WorkloadManagerDelegate* delegate_ = nullptr;
};

WorkloadManager::Impl::Impl(Settings settings, uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {}

WorkloadManager::Impl& WorkloadManager::Impl::begin_event(TimeUs now, WorkloadManagerDelegate& delegate) {
  if (now_ > 0 && now - now_ > kStallThresholdUs) stall_ended_at_ = now;
  now_ = now;
  delegate_ = &delegate;
  return *this;
}

// ---- Events
// ------------------------------------------------------------------------------------------------

void WorkloadManager::Impl::on_start() {
  started_at_ = now_;
  cost_model_.on_start(now_);
  if (settings_.watch_endpoints) delegate_->watch_endpoints(true);
  delegate_->set_timer(kHousekeepingIntervalUs, kHousekeepingToken);
}

void WorkloadManager::Impl::on_endpoints_changed(EndpointUpdateKind kind,
                                                 const std::vector<Endpoint>& endpoints) {
  if (kind == EndpointUpdateKind::kFailed) {
    if (settings_.watch_endpoints) delegate_->set_timer(kWatchRetryUs, kWatchRetryToken);
    return;
  }
  endpoints_known_ = true;
  std::set<EngineId> listed;
  for (const Endpoint& endpoint : endpoints) {
    listed.insert(endpoint.engine);
    update_endpoint(endpoint);
  }
  if (kind != EndpointUpdateKind::kDelta) {
    for (auto& [id, engine] : engines_)
      if (!listed.contains(id)) engine.endpoint.state = EndpointState::kRemoved;
  }
  refresh_load();
  for (auto& [id, engine] : engines_)
    if (!engine.is_ready()) requeue(engine);
  std::erase_if(engines_, [](const auto& item) {
    const Engine& engine = item.second;
    return engine.endpoint.state == EndpointState::kRemoved && engine.in_flight.empty();
  });
  place_parked();
}

void WorkloadManager::Impl::on_request(const QueryRequest& request) {
  if (request.class_index < 0 || request.class_index >= static_cast<int>(settings_.classes.size())) {
    delegate_->reject(request.id, 0);
    return;
  }
  const auto [item, inserted] = queries_.try_emplace(request.id);
  if (!inserted) return;
  Query& query = item->second;
  query.request = request;
  query.class_settings = &settings_.classes[request.class_index];
  query.arrived_at = now_;
  retry_policy_.record_request(now_);
  key_ordering_.add(query);
  place(query);
}

void WorkloadManager::Impl::on_response_started(RequestId id, int attempt) {
  if (Query* const query = find_in_flight(id, attempt)) query->response_started = true;
}

void WorkloadManager::Impl::on_attempt_completed(const AttemptCompletion& completion) {
  const auto reporter = engines_.find(completion.engine);
  if (reporter != engines_.end() && completion.load_report)
    load_estimator_.on_load_report(reporter->second, *completion.load_report, 0, now_);
  Query* const found = find_in_flight(completion.id, completion.attempt);
  if (found == nullptr) return;
  Query& query = *found;
  Engine& engine = *query.engine;
  const Outcome outcome = completion.outcome;
  const bool cancel_requested = query.cancel_requested;
  end_attempt(query, engine, completion);
  learn_from(query, engine, completion);
  const bool cancelled_by_others = outcome == Outcome::kCancelled && !cancel_requested;
  if (completion.request_finished || query.completed || outcome == Outcome::kOk) {
    forget(query);
  } else if (query.response_started || outcome == Outcome::kSuperseded || cancelled_by_others) {
    complete(query);
  } else {
    retry_or_complete(query);
  }
  start_queued(engine);
  place_parked();
}

void WorkloadManager::Impl::on_progress(const ProgressUpdate& update) {
  Query* const query = find_in_flight(update.id, update.attempt);
  if (query == nullptr) return;
  OutlierDetector::on_response(*query->engine, now_);
  if (update.kind != ProgressKind::kProgress) return;
  query->predicted_duration_us =
      static_cast<TimeUs>((now_ - query->sent_at) / std::clamp(update.value, kMinProgress, 1.0));
}

void WorkloadManager::Impl::on_client_disconnected(RequestId id) {
  if (const auto found = queries_.find(id); found != queries_.end()) abandon(found->second);
}

void WorkloadManager::Impl::on_timer(uint32_t token) {
  if (token == kWatchRetryToken) delegate_->watch_endpoints(true);
  if (token != kHousekeepingToken) return;
  delegate_->set_timer(kHousekeepingIntervalUs, kHousekeepingToken);
  refresh_load();
  complete_due_and_hopeless();
  attribute_pending_errors();
  // After a stall, outcomes that came in the meantime are still to be read.
  if (!resumed_from_stall()) check_stragglers();
  for (auto& [id, engine] : engines_) start_queued(engine);
  steal_work();
  place_parked();
}

void WorkloadManager::Impl::on_health_check_completed(EngineId id, Outcome outcome, TimeUs duration_us,
                                                      const std::optional<LoadReport>& report) {
  const auto found = engines_.find(id);
  if (found == engines_.end()) return;
  Engine& engine = found->second;
  const double saturation = health_checker_.on_completed(engine, outcome, duration_us);
  if (report) load_estimator_.on_load_report(engine, *report, saturation, now_);
  if (outcome == Outcome::kOk) {
    OutlierDetector::on_response(engine, now_);
  } else if (outcome == Outcome::kTimeout && !resumed_from_stall()) {
    eject(engine, EjectionReason::kSilence);
  } else {
    record_outcome(engine, outcome);
  }
  place_parked();
}

void WorkloadManager::Impl::on_shutdown() {
  std::vector<Query*> open;
  for (auto& [id, query] : queries_)
    if (!query.completed && !query.response_started) open.push_back(&query);
  for (Query* query : open) complete(*query);
}

bool WorkloadManager::Impl::is_attempt_still_valid(RequestId id, int attempt) {
  Query* const query = find_in_flight(id, attempt);
  return query != nullptr && !query->completed && send_guard_.may_still_leave(*query, *query->engine, now_);
}

// The query whose latest attempt this is, if that is in flight.
Query* WorkloadManager::Impl::find_in_flight(RequestId id, int attempt) {
  const auto found = queries_.find(id);
  if (found == queries_.end()) return nullptr;
  Query& query = found->second;
  return query.attempt_in_flight && attempt == query.attempts - 1 ? &query : nullptr;
}

// ---- Endpoints
// ---------------------------------------------------------------------------------------------

void WorkloadManager::Impl::update_endpoint(const Endpoint& endpoint) {
  const auto found = engines_.find(endpoint.engine);
  const bool is_new = found == engines_.end();
  if (is_new && endpoint.state == EndpointState::kRemoved) return;
  Engine& engine = is_new ? engines_[endpoint.engine] : found->second;
  const bool started = is_new || endpoint.started_at > engine.endpoint.started_at;
  if (started) {  // what was learned of its former incarnation doesn't hold
    Engine restarted;
    restarted.queue.swap(engine.queue);
    restarted.in_flight.swap(engine.in_flight);
    engine = std::move(restarted);
  }
  engine.endpoint = endpoint;
  engine.cores = core_count(settings_, endpoint);
  if (!started) return;
  OutlierDetector::on_engine_started(engine, now_);
  LoadEstimator::on_engine_started(engine, now_);
  slow_start_.on_engine_started(engine, started_at_, now_);
}

void WorkloadManager::Impl::refresh_load() {
  for (auto& [id, engine] : engines_) slow_start_.accrue_credit(engine, now_);
  load_estimator_.refresh(engines_, now_);
  limiter_.refresh(engines_, now_);
}

void WorkloadManager::Impl::requeue(Engine& engine) {
  for (Query* query : std::exchange(engine.queue, {})) place(*query);
}

// ---- Placement and sends
// -----------------------------------------------------------------------------------

void WorkloadManager::Impl::place(Query& query) {
  query.engine = nullptr;
  if (now_ < query.health_checks_awaited_until || !key_ordering_.may_start(query, now_)) {
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
  const std::vector<Engine*> to_check = health_checker_.start_checks(query, search.candidates, now_);
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

// Engines on which the query has failed are candidates only where no other is.
WorkloadManager::Impl::CandidateSearch WorkloadManager::Impl::find_candidates(const Query& query) {
  CandidateSearch search;
  for (const bool avoid_failed : {true, false}) {
    if (!search.candidates.empty()) break;
    for (auto& [id, engine] : engines_) {
      if (avoid_failed && (id == query.avoided_engine || OutlierDetector::has_failed_on(query, id))) continue;
      if (!send_guard_.may_ever_send(query, engine, now_)) continue;
      if (send_guard_.may_send(query, engine, now_) && outlier_detector_.accepts(query, engine, now_)) {
        search.candidates.push_back(placement_.evaluate(query, engine, now_));
      } else {
        search.may_wait = true;
      }
    }
  }
  return search;
}

void WorkloadManager::Impl::place_parked() {
  for (Query* query : admission_.take_parked()) place(*query);
}

void WorkloadManager::Impl::start_queued(Engine& engine) {
  while (Query* const query = queue_scheduler_.take_next(engine, now_)) {
    if (send_guard_.may_send(*query, engine, now_)) {
      send(*query, engine);
    } else {
      admission_.park(*query);
    }
  }
}

// Placements become outdated: an engine with free capacity and an empty queue takes over queries from others.
void WorkloadManager::Impl::steal_work() {
  std::vector<Engine*> sources;
  for (auto& [id, engine] : engines_)
    if (queue_scheduler_.has_stealable(engine, now_)) sources.push_back(&engine);
  if (sources.empty()) return;
  for (auto& [id, thief] : engines_) {
    while (thief.queue.empty() && thief.is_ready()) {
      Query* const query = queue_scheduler_.choose_to_steal(thief, sources, now_);
      if (query == nullptr) break;
      dequeue(*query);
      send(*query, thief);
    }
  }
}

void WorkloadManager::Impl::send(Query& query, Engine& engine) {
  send_guard_.on_sent(query, engine, now_);
  if (settings_.engines_honor_priorities || settings_.engines_honor_grants) {
    const int priority = settings_.engines_honor_priorities ? execution_priority(query) : kDefaultPriority;
    const double grant_mb = settings_.engines_honor_grants ? cost_model_.memory_grant_mb(query, engine) : 0;
    delegate_->set_execution_hints(query.request.id, priority, grant_mb);
  }
  delegate_->send_attempt(query.request.id, engine.endpoint.engine,
                          straggler_detector_.attempt_timeout_us(query, engine, now_));
  query.attempt_in_flight = true;
  query.cancel_requested = false;
  query.engine = &engine;
  query.sent_at = now_;
  query.predicted_duration_us = 0;
  ++query.attempts;
  engine.in_flight.push_back(&query);
  engine.last_table_group = query.request.table_group;
  limiter_.on_attempt_sent(query);
}

// A heavy query without an estimate yields like a late one, as it may well become late.
int WorkloadManager::Impl::execution_priority(const Query& query) const {
  if (now_ > latency_objective_at(cost_model_, query)) return kLatePriority;
  if (cost_model_.is_light(query)) return kLightPriority;
  return query.request.estimated_cost_us ? kHeavyPriority : kLatePriority;
}

void WorkloadManager::Impl::cancel_attempt(Query& query) {
  query.cancel_requested = true;
  delegate_->cancel_attempt(query.request.id, query.attempts - 1);
}

// ---- Completion
// --------------------------------------------------------------------------------------------

// Gives the final response.
void WorkloadManager::Impl::complete(Query& query) {
  dequeue(query);
  if (!query.completed) send_final_response(query);
  close(query);
}

// The client has disconnected and awaits no response.
void WorkloadManager::Impl::abandon(Query& query) {
  dequeue(query);
  close(query);
}

void WorkloadManager::Impl::dequeue(Query& query) {
  admission_.unpark(query);
  if (query.engine == nullptr || query.attempt_in_flight) return;
  std::erase(query.engine->queue, &query);
  query.engine = nullptr;
}

// Rejected where that is safe: only then does the client know that it may retry.
void WorkloadManager::Impl::send_final_response(const Query& query) {
  if (RetryPolicy::may_reject(query)) {
    delegate_->reject(query.request.id, admission_.retry_after_us(engines_, now_));
  } else {
    delegate_->fail(query.request.id);
  }
}

void WorkloadManager::Impl::close(Query& query) {
  if (!query.completed) {
    query.completed = true;
    if (query.attempt_in_flight && settings_.cancellation_allowed && !query.response_started)
      delegate_->cancel_attempt(query.request.id, query.attempts - 1);
  }
  if (!query.attempt_in_flight) forget(query);
}

void WorkloadManager::Impl::forget(const Query& query) {
  key_ordering_.remove(query, now_);
  queries_.erase(query.request.id);
}

void WorkloadManager::Impl::complete_due_and_hopeless() {
  std::vector<Query*> ending;
  for (auto& [id, query] : queries_) {
    if (query.completed || query.response_started) continue;
    const bool is_wasteful = !resumed_from_stall() && admission_.is_wasteful(query, now_);
    if (is_wasteful || admission_.is_due(query, now_) || admission_.is_hopeless(query, now_))
      ending.push_back(&query);
  }
  for (Query* query : ending) complete(*query);
}

// ---- Outcomes
// ----------------------------------------------------------------------------------------------

void WorkloadManager::Impl::end_attempt(Query& query, Engine& engine, const AttemptCompletion& completion) {
  std::erase(engine.in_flight, &query);
  limiter_.on_attempt_ended(query);
  query.attempt_in_flight = false;
  query.cancel_requested = false;
  query.engine = nullptr;
  if (!never_ran(completion.outcome) && !query.may_have_run) {
    query.may_have_run = true;
    query.first_run_endpoint = engine.endpoint;
    query.first_run_at = query.sent_at;
  }
  if (may_still_run(completion.outcome))
    key_ordering_.delay_key_until(query, now_ + settings_.ordering_gap_us);
}

void WorkloadManager::Impl::learn_from(Query& query, Engine& engine, const AttemptCompletion& completion) {
  const Outcome outcome = completion.outcome;
  if (outcome == Outcome::kOk) cost_model_.on_success(query, engine, completion, !resumed_from_stall(), now_);
  if (outcome == Outcome::kCancelled || outcome == Outcome::kTimeout)
    cost_model_.on_interrupted(query, engine, completion.duration_us, now_);
  if (outcome == Outcome::kError) {
    OutlierDetector::on_error(query, engine, now_);
  } else if (completion.engine_responsive) {
    OutlierDetector::on_response(engine, now_);
  } else {
    record_outcome(engine, outcome);
  }
  if (outcome == Outcome::kOk || query.completed || completion.request_finished) attribute_errors(query);
  query.avoided_engine = outcome == Outcome::kOk ? 0 : completion.engine;
}

void WorkloadManager::Impl::retry_or_complete(Query& query) {
  if (is_request_at_fault(query)) {
    query.failed_engines.clear();
  } else if (retry_policy_.has_attempts_left(query) && retry_policy_.has_budget_for(query, now_) &&
             useful_until(cost_model_, query) > now_) {
    place(query);
    return;
  }
  attribute_errors(query);
  complete(query);
}

void WorkloadManager::Impl::record_outcome(Engine& engine, Outcome outcome) {
  if (outcome == Outcome::kOverloaded) ConcurrencyLimiter::on_engine_overloaded(engine, now_);
  switch (OutlierDetector::on_outcome(engine, outcome, now_)) {
    case HealthChange::kNone:
      break;
    case HealthChange::kRecovered:
      CostModel::on_engine_recovered(engine);
      delegate_->log("engine back in service");
      break;
    case HealthChange::kShouldEject:
      eject(engine,
            outcome == Outcome::kConnectFailed ? EjectionReason::kUnreachable : EjectionReason::kErrors);
      break;
  }
}

void WorkloadManager::Impl::eject(Engine& engine, EjectionReason reason) {
  const bool was_ejected = engine.health.is_ejected();
  if (!outlier_detector_.eject(engine, reason, now_)) return;
  if (!was_ejected) delegate_->log(std::string("engine taken out: ") + reason_text(reason));
  requeue(engine);
  if (engine.in_flight.size() < 2) return;  // a single attempt is left to the check for stragglers
  for (Query* query : std::vector<Query*>(engine.in_flight))
    if (!query->completed && straggler_detector_.may_cancel_and_retry(*query, engine, now_))
      cancel_attempt(*query);
}

bool WorkloadManager::Impl::is_request_at_fault(const Query& query) const {
  size_t eligible_engines = 0;
  for (const auto& [id, engine] : engines_) eligible_engines += SendGuard::is_eligible(query, engine);
  return OutlierDetector::is_request_at_fault(query, eligible_engines);
}

// Blames the query's errors on the engines that answered with them.
void WorkloadManager::Impl::attribute_errors(Query& query) {
  for (const EngineId id : std::exchange(query.failed_engines, {}))
    if (const auto found = engines_.find(id); found != engines_.end())
      record_outcome(found->second, Outcome::kError);
}

void WorkloadManager::Impl::attribute_pending_errors() {
  std::vector<RequestId> due;
  for (const auto& [id, query] : queries_)
    if (OutlierDetector::is_blame_due(query, now_)) due.push_back(id);
  // An ejection may complete other queries of this list.
  for (const RequestId id : due)
    if (const auto found = queries_.find(id); found != queries_.end()) attribute_errors(found->second);
}

void WorkloadManager::Impl::check_stragglers() {
  for (auto& [id, engine] : engines_) CostModel::decay_latency_ratio(engine, kHousekeepingIntervalUs, now_);
  const StragglerDetector::ScanResult result = straggler_detector_.scan(engines_, now_);
  for (Query* query : result.stragglers) {
    ++query->cancelled_stragglers;
    cancel_attempt(*query);
  }
  for (Engine* engine : result.silent_engines) eject(*engine, EjectionReason::kSilence);
}

// ---- Public interface
// --------------------------------------------------------------------------------------

WorkloadManager::WorkloadManager(Settings settings, uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
WorkloadManager::~WorkloadManager() = default;
WorkloadManager::WorkloadManager(WorkloadManager&&) noexcept = default;
WorkloadManager& WorkloadManager::operator=(WorkloadManager&&) noexcept = default;

void WorkloadManager::on_start(TimeUs now, WorkloadManagerDelegate& delegate) {
  impl_->begin_event(now, delegate).on_start();
}

void WorkloadManager::on_endpoints_changed(TimeUs now, EndpointUpdateKind kind,
                                           const std::vector<Endpoint>& endpoints,
                                           WorkloadManagerDelegate& delegate) {
  impl_->begin_event(now, delegate).on_endpoints_changed(kind, endpoints);
}

void WorkloadManager::on_request(TimeUs now, const QueryRequest& request, WorkloadManagerDelegate& delegate) {
  impl_->begin_event(now, delegate).on_request(request);
}

void WorkloadManager::on_response_started(TimeUs now, RequestId id, int attempt,
                                          WorkloadManagerDelegate& delegate) {
  impl_->begin_event(now, delegate).on_response_started(id, attempt);
}

void WorkloadManager::on_attempt_completed(TimeUs now, const AttemptCompletion& completion,
                                           WorkloadManagerDelegate& delegate) {
  impl_->begin_event(now, delegate).on_attempt_completed(completion);
}

void WorkloadManager::on_progress(TimeUs now, const ProgressUpdate& update,
                                  WorkloadManagerDelegate& delegate) {
  impl_->begin_event(now, delegate).on_progress(update);
}

void WorkloadManager::on_client_disconnected(TimeUs now, RequestId id, WorkloadManagerDelegate& delegate) {
  impl_->begin_event(now, delegate).on_client_disconnected(id);
}

void WorkloadManager::on_timer(TimeUs now, uint32_t token, WorkloadManagerDelegate& delegate) {
  impl_->begin_event(now, delegate).on_timer(token);
}

void WorkloadManager::on_health_check_completed(TimeUs now, EngineId engine, Outcome outcome,
                                                TimeUs duration_us, const std::optional<LoadReport>& report,
                                                WorkloadManagerDelegate& delegate) {
  impl_->begin_event(now, delegate).on_health_check_completed(engine, outcome, duration_us, report);
}

void WorkloadManager::on_shutdown(TimeUs now, WorkloadManagerDelegate& delegate) {
  impl_->begin_event(now, delegate).on_shutdown();
}

bool WorkloadManager::is_attempt_still_valid(TimeUs now, RequestId id, int attempt,
                                             WorkloadManagerDelegate& delegate) {
  return impl_->begin_event(now, delegate).is_attempt_still_valid(id, attempt);
}

void WorkloadManager::on_gossip(TimeUs /*now*/, int /*peer*/, std::string_view /*bytes*/,
                                WorkloadManagerDelegate& /*delegate*/) {}

}  // namespace sablelink
