#include "workload/workload_manager.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "workload/decision_parts.h"
#include "workload/engine_capacity.h"
#include "workload/housekeeping.h"
#include "workload/latency_objective.h"
#include "workload/query_scheduler.h"

namespace sablelink {
namespace {

constexpr TimeUs kWatchRetryUs = 500 * kMillisecondUs;  // delay after a failed endpoint watch
// Lower limit of the progress from which a duration is predicted.
constexpr double kMinProgressFraction = 0.002;

constexpr uint32_t kHousekeepingToken = 1;
constexpr uint32_t kWatchRetryToken = 2;

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

}  // namespace

/// Passes each event to the components that learn from it and then lets the scheduler act on the queries.
class WorkloadManager::Impl {
 public:
  Impl(Settings settings, uint64_t seed);

  /// Called before each event.
  Impl& begin_event(TimeUs now, WorkloadManagerDelegate& delegate);
  QueryScheduler& scheduler() { return scheduler_; }

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

 private:
  bool resumed_from_stall() const { return now_ == last_stall_ended_at_; }
  void update_endpoint(const Endpoint& endpoint);
  void refresh_load();
  void learn_from(Query& query, Engine& engine, const AttemptCompletion& completion);
  void retry_or_complete(Query& query);
  void record_outcome(Engine& engine, Outcome outcome);
  void eject(Engine& engine, EjectionReason reason);
  bool is_request_at_fault(const Query& query) const;
  void attribute_errors(Query& query);
  void attribute_due_errors();
  void check_stragglers();

  DecisionParts parts_;
  QueryScheduler scheduler_{parts_};
  TimeUs started_at_ = 0;
  TimeUs last_stall_ended_at_ = 0;  // end of the most recent stall
  // Time and delegate of the current event.
  TimeUs now_ = 0;
  WorkloadManagerDelegate* delegate_ = nullptr;
};

WorkloadManager::Impl::Impl(Settings settings, uint64_t seed) : parts_(std::move(settings), seed) {}

WorkloadManager::Impl& WorkloadManager::Impl::begin_event(TimeUs now, WorkloadManagerDelegate& delegate) {
  if (now_ > 0 && now - now_ > kStallThresholdUs) last_stall_ended_at_ = now;
  now_ = now;
  delegate_ = &delegate;
  scheduler_.begin_event(now, delegate);
  return *this;
}

void WorkloadManager::Impl::on_start() {
  started_at_ = now_;
  parts_.cost_model.on_start(now_);
  if (parts_.settings.watch_endpoints) delegate_->watch_endpoints(true);
  delegate_->set_timer(kHousekeepingIntervalUs, kHousekeepingToken);
}

void WorkloadManager::Impl::on_endpoints_changed(EndpointUpdateKind kind,
                                                 const std::vector<Endpoint>& endpoints) {
  if (kind == EndpointUpdateKind::kFailed) {
    if (parts_.settings.watch_endpoints) delegate_->set_timer(kWatchRetryUs, kWatchRetryToken);
    return;
  }
  scheduler_.set_endpoints_known();
  std::set<EngineId> listed;
  for (const Endpoint& endpoint : endpoints) {
    listed.insert(endpoint.engine);
    update_endpoint(endpoint);
  }
  if (kind != EndpointUpdateKind::kDelta) {
    for (auto& [id, engine] : parts_.engines)
      if (!listed.contains(id)) engine.endpoint.state = EndpointState::kRemoved;
  }
  refresh_load();
  for (auto& [id, engine] : parts_.engines)
    if (!engine.is_ready()) scheduler_.requeue(engine);
  std::erase_if(parts_.engines, [](const auto& item) {
    const Engine& engine = item.second;
    return engine.endpoint.state == EndpointState::kRemoved && engine.in_flight.empty();
  });
  scheduler_.place_parked();
}

void WorkloadManager::Impl::on_request(const QueryRequest& request) {
  const int class_count = static_cast<int>(parts_.settings.classes.size());
  if (request.class_index < 0 || request.class_index >= class_count) {
    delegate_->reject(request.id, 0);
    return;
  }
  scheduler_.add(request);
}

void WorkloadManager::Impl::on_response_started(RequestId id, int attempt) {
  if (Query* const query = scheduler_.find_in_flight(id, attempt)) query->response_started = true;
}

void WorkloadManager::Impl::on_attempt_completed(const AttemptCompletion& completion) {
  const auto reporting_engine = parts_.engines.find(completion.engine);
  if (reporting_engine != parts_.engines.end() && completion.load_report)
    parts_.load_estimator.on_load_report(reporting_engine->second, *completion.load_report, 0, now_);
  Query* const found = scheduler_.find_in_flight(completion.id, completion.attempt);
  if (found == nullptr) return;
  Query& query = *found;
  Engine& engine = *query.engine;
  const Outcome outcome = completion.outcome;
  const bool cancel_requested = query.cancel_requested;
  scheduler_.end_attempt(query, engine, outcome);
  learn_from(query, engine, completion);
  const bool cancelled_by_others = outcome == Outcome::kCancelled && !cancel_requested;
  if (completion.request_finished || query.completed || outcome == Outcome::kOk) {
    scheduler_.forget(query);
  } else if (query.response_started || outcome == Outcome::kSuperseded || cancelled_by_others) {
    scheduler_.complete(query);
  } else {
    retry_or_complete(query);
  }
  scheduler_.start_queued(engine);
  scheduler_.place_parked();
}

void WorkloadManager::Impl::on_progress(const ProgressUpdate& update) {
  Query* const query = scheduler_.find_in_flight(update.id, update.attempt);
  if (query == nullptr) return;
  OutlierDetector::on_response(*query->engine, now_);
  if (update.kind != ProgressKind::kProgress) return;
  query->predicted_duration_us =
      static_cast<TimeUs>((now_ - query->sent_at) / std::clamp(update.value, kMinProgressFraction, 1.0));
}

void WorkloadManager::Impl::on_client_disconnected(RequestId id) {
  if (Query* const query = scheduler_.find(id)) scheduler_.abandon(*query);
}

void WorkloadManager::Impl::on_timer(uint32_t token) {
  if (token == kWatchRetryToken) delegate_->watch_endpoints(true);
  if (token != kHousekeepingToken) return;
  delegate_->set_timer(kHousekeepingIntervalUs, kHousekeepingToken);
  refresh_load();
  scheduler_.complete_near_deadline_or_useless(!resumed_from_stall());
  attribute_due_errors();
  // After a stall, outcomes received during the stall have not been processed yet.
  if (!resumed_from_stall()) check_stragglers();
  for (auto& [id, engine] : parts_.engines) scheduler_.start_queued(engine);
  scheduler_.steal_work();
  scheduler_.place_parked();
}

void WorkloadManager::Impl::on_health_check_completed(EngineId id, Outcome outcome, TimeUs duration_us,
                                                      const std::optional<LoadReport>& report) {
  const auto found = parts_.engines.find(id);
  if (found == parts_.engines.end()) return;
  Engine& engine = found->second;
  const double saturation = parts_.health_checker.on_completed(engine, outcome, duration_us);
  if (report) parts_.load_estimator.on_load_report(engine, *report, saturation, now_);
  if (outcome == Outcome::kOk) {
    OutlierDetector::on_response(engine, now_);
  } else if (outcome == Outcome::kTimeout && !resumed_from_stall()) {
    eject(engine, EjectionReason::kSilence);
  } else {
    record_outcome(engine, outcome);
  }
  scheduler_.place_parked();
}

void WorkloadManager::Impl::update_endpoint(const Endpoint& endpoint) {
  const auto found = parts_.engines.find(endpoint.engine);
  const bool is_new = found == parts_.engines.end();
  if (is_new && endpoint.state == EndpointState::kRemoved) return;
  Engine& engine = is_new ? parts_.engines[endpoint.engine] : found->second;
  const bool started = is_new || endpoint.started_at > engine.endpoint.started_at;
  if (started) {  // what was learned before the restart is no longer valid
    Engine restarted;
    restarted.queue.swap(engine.queue);
    restarted.in_flight.swap(engine.in_flight);
    engine = std::move(restarted);
  }
  engine.endpoint = endpoint;
  engine.cores = core_count(parts_.settings, endpoint);
  if (!started) return;
  OutlierDetector::on_engine_started(engine, now_);
  LoadEstimator::on_engine_started(engine, now_);
  parts_.slow_start.on_engine_started(engine, started_at_, now_);
}

void WorkloadManager::Impl::refresh_load() {
  for (auto& [id, engine] : parts_.engines) parts_.slow_start.accrue_credit(engine, now_);
  parts_.load_estimator.refresh(parts_.engines, now_);
  parts_.limiter.refresh(parts_.engines, now_);
}

void WorkloadManager::Impl::learn_from(Query& query, Engine& engine, const AttemptCompletion& completion) {
  const Outcome outcome = completion.outcome;
  if (outcome == Outcome::kOk)
    parts_.cost_model.on_success(query, engine, completion, !resumed_from_stall(), now_);
  if (outcome == Outcome::kCancelled || outcome == Outcome::kTimeout)
    parts_.cost_model.on_interrupted(query, engine, completion.duration_us, now_);
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
    query.unattributed_error_engines.clear();
  } else if (parts_.retry_policy.has_attempts_left(query) &&
             parts_.retry_policy.has_budget_for(query, now_) &&
             useful_until(parts_.cost_model, query) > now_) {
    scheduler_.place(query);
    return;
  }
  attribute_errors(query);
  scheduler_.complete(query);
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
  if (!parts_.outlier_detector.eject(engine, reason, now_)) return;
  if (!was_ejected) delegate_->log(std::string("engine taken out: ") + reason_text(reason));
  scheduler_.requeue(engine);
  if (engine.in_flight.size() < 2) return;  // a single attempt is left to the straggler check
  for (Query* query : std::vector<Query*>(engine.in_flight))
    if (!query->completed && parts_.straggler_detector.may_cancel_and_retry(*query, engine, now_))
      scheduler_.cancel_attempt(*query);
}

bool WorkloadManager::Impl::is_request_at_fault(const Query& query) const {
  size_t eligible_engines = 0;
  for (const auto& [id, engine] : parts_.engines) eligible_engines += SendGuard::is_eligible(query, engine);
  return OutlierDetector::is_request_at_fault(query, eligible_engines);
}

// Attributes the query's errors to the engines that returned them.
void WorkloadManager::Impl::attribute_errors(Query& query) {
  for (const EngineId id : std::exchange(query.unattributed_error_engines, {}))
    if (const auto found = parts_.engines.find(id); found != parts_.engines.end())
      record_outcome(found->second, Outcome::kError);
}

void WorkloadManager::Impl::attribute_due_errors() {
  std::vector<RequestId> due;
  for (const auto& [id, query] : scheduler_.queries())
    if (OutlierDetector::is_error_attribution_due(query, now_)) due.push_back(id);
  // An ejection may complete other queries in this list.
  for (const RequestId id : due)
    if (Query* const query = scheduler_.find(id)) attribute_errors(*query);
}

void WorkloadManager::Impl::check_stragglers() {
  for (auto& [id, engine] : parts_.engines)
    CostModel::decay_latency_ratio(engine, kHousekeepingIntervalUs, now_);
  const StragglerDetector::ScanResult result = parts_.straggler_detector.scan(parts_.engines, now_);
  for (Query* query : result.stragglers) {
    ++query->straggler_cancellations;
    scheduler_.cancel_attempt(*query);
  }
  for (Engine* engine : result.silent_engines) eject(*engine, EjectionReason::kSilence);
}

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
  impl_->begin_event(now, delegate).scheduler().complete_all();
}

bool WorkloadManager::is_attempt_still_valid(TimeUs now, RequestId id, int attempt,
                                             WorkloadManagerDelegate& delegate) {
  return impl_->begin_event(now, delegate).scheduler().may_still_be_sent(id, attempt);
}

void WorkloadManager::on_gossip(TimeUs /*now*/, int /*peer*/, std::string_view /*bytes*/,
                                WorkloadManagerDelegate& /*delegate*/) {}

}  // namespace sablelink
