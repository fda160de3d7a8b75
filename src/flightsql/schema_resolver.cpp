#include "flightsql/schema_resolver.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "flightsql/messages.h"
#include "flightsql/protocol.h"
#include "sablelink.pb.h"
#include "sql/shape.h"

namespace sablelink::flightsql {

// Receives the response to a planning call. The dispatcher calls it while it handles an event, so waiting
// coroutines aren't resumed here but only scheduled.
class SchemaResolver::Sink : public dispatch::ResponseSink {
 public:
  Sink(SchemaResolver& resolver, std::string key, schemas::CachedStatement cached_statement,
       std::string parameters_key)
      : resolver_(resolver),
        key_(std::move(key)),
        cached_statement_(std::move(cached_statement)),
        parameters_key_(std::move(parameters_key)),
        changes_at_request_(resolver.cache_.change_count()) {}

  void write(std::string message) override { message_ = std::move(message); }
  bool consumes_immediately() const override { return true; }
  void finish(const dispatch::FinalResponse& response) override {
    wire::Plan plan;
    dispatch::EngineError statement_error;
    const TimeUs now = resolver_.clock_.now();
    if (response.status == dispatch::RequestStatus::kServed && plan.ParseFromString(message_)) {
      if (!plan.dataset().empty())
        resolver_.cache_.put(now, cached_statement_, plan.dataset(), changes_at_request_);
      if (plan.has_parameters() && !parameters_key_.empty())
        resolver_.cache_.put(now, {parameters_key_, cached_statement_.tables}, plan.parameters(),
                             changes_at_request_);
    } else {
      resolver_.log_.info("plan_failed", {{"verdict", dispatch::request_status_name(response.status)},
                                          {"reason", dispatch::completion_reason_name(response.reason)},
                                          {"error", response.error.message}});
      if (response.reason == dispatch::CompletionReason::kStatementError) statement_error = response.error;
    }
    resolver_.on_planning_call_completed(key_, statement_error);
  }

 private:
  SchemaResolver& resolver_;
  const std::string key_;
  const schemas::CachedStatement cached_statement_;
  const std::string parameters_key_;
  const schemas::SchemaCache::ChangeCount changes_at_request_;
  std::string message_;
};

SchemaResolver::SchemaResolver(const schemas::SchemaCacheLimits& cache_limits,
                               const schemas::PlanningSettings& planning_settings, int planning_class,
                               uint64_t incarnation, dispatch::RequestDispatcher& dispatcher, Clock& clock,
                               Log& log)
    : planning_settings_(planning_settings),
      planning_class_(planning_class),
      incarnation_(incarnation),
      dispatcher_(dispatcher),
      clock_(clock),
      log_(log),
      cache_(cache_limits),
      planning_coordinator_(planning_settings) {}

SchemaResolver::~SchemaResolver() = default;

schemas::CachedStatement SchemaResolver::cached_statement_for(const std::string& text,
                                                              const sql::StatementInfo& info,
                                                              int class_index) const {
  return {"d" + std::to_string(class_index) + " " + sql::shape_of(text), info.tables};
}

// Engines may encode the same schema in different ways, so the schema is decoded and encoded again. All
// schemas with types that can't be decoded here have the same hash: the client's own decoder detects a
// difference.
uint64_t SchemaResolver::hash_schema(const std::string& schema) {
  constexpr uint64_t kUnreadableSchema = 1;
  if (schema.empty()) return 0;
  try {
    const std::string normalized =
        arrowipc::encode_schema(arrowipc::decode_encapsulated_schema(schema)).header;
    return std::max<uint64_t>(XXH3_64bits(normalized.data(), normalized.size()), kUnreadableSchema + 1);
  } catch (const arrowipc::FormatError&) {
    return kUnreadableSchema;
  }
}

void SchemaResolver::start_planning_call(const std::string& key, const std::string& text,
                                         const schemas::CachedStatement& cached_statement,
                                         const std::string& parameters_key) {
  QueryRequest query;
  query.class_index = planning_class_;
  query.deadline = clock_.now() + planning_settings_.call_timeout_us;
  auto statement = std::make_shared<dispatch::Statement>();
  statement->text = text;
  statement->kind = dispatch::ExecutionKind::kPlan;
  statement->client_tag =
      std::string(kPlanTagPrefix) + std::to_string(incarnation_) + "/" + std::to_string(++last_call_number_);
  log_.write(LogLevel::kInfo, kPlanEvent, {{"tag", statement->client_tag}});
  dispatcher_.submit(query, std::move(statement),
                     std::make_shared<Sink>(*this, key, cached_statement, parameters_key));
}

void SchemaResolver::on_planning_call_completed(const std::string& key, const dispatch::EngineError& error) {
  for (const schemas::PlanningCoordinator::WaiterId waiter_id : planning_coordinator_.complete_call(key)) {
    const auto it = waiters_.find(waiter_id);
    if (it == waiters_.end()) continue;
    it->second->error = error;
    it->second->completed.set();
  }
}

rpc::Awaitable<SchemaResolver::Resolution> SchemaResolver::resolve(std::shared_ptr<rpc::ServerCall> call,
                                                                   std::string text, sql::StatementInfo info,
                                                                   int class_index, bool with_parameters) {
  Resolution resolution;
  if (info.kind != sql::StatementKind::kQuery) co_return resolution;
  const schemas::CachedStatement cached_statement = cached_statement_for(text, info, class_index);
  const bool needs_parameter_schema = with_parameters && sql::count_parameters(text) > 0;
  const std::string parameters_key = needs_parameter_schema
                                         ? "p" + std::to_string(class_index) + " " + sql::exact_shape_of(text)
                                         : std::string();
  const auto look_up = [&] {
    resolution.result_schema = cache_.find(clock_.now(), cached_statement.key).value_or("");
    if (needs_parameter_schema)
      resolution.parameter_schema = cache_.find(clock_.now(), parameters_key).value_or("");
    return !resolution.result_schema.empty() &&
           (!needs_parameter_schema || !resolution.parameter_schema.empty());
  };
  planning_coordinator_.on_lookup(clock_.now());
  if (look_up()) co_return resolution;
  const std::string& key = needs_parameter_schema ? parameters_key : cached_statement.key;
  const uint64_t waiter_id = ++last_waiter_id_;
  const schemas::PlanningCoordinator::Decision decision =
      planning_coordinator_.request_columns(clock_.now(), key, waiter_id);
  if (decision == schemas::PlanningCoordinator::Decision::kProceedWithoutColumns) co_return resolution;
  const auto waiter = std::make_shared<Waiter>();
  waiters_[waiter_id] = waiter;
  const TimeUs max_wait_us = call->client_timeout_us()
                                 ? std::min(planning_settings_.max_wait_us, *call->client_timeout_us() / 2)
                                 : planning_settings_.max_wait_us;
  const std::weak_ptr<Waiter> weak_waiter = waiter;
  const auto stop_waiting = [weak_waiter] {
    if (const auto locked = weak_waiter.lock()) locked->completed.set();
  };
  clock_.call_after(max_wait_us, stop_waiting);
  call->on_cancelled(stop_waiting);
  if (decision == schemas::PlanningCoordinator::Decision::kStartCall)
    start_planning_call(key, text, cached_statement, parameters_key);
  co_await waiter->completed.wait();
  waiters_.erase(waiter_id);
  planning_coordinator_.remove_waiter(key, waiter_id);
  look_up();
  resolution.statement_error = waiter->error;
  co_return resolution;
}

SchemaResolver::SchemaCheck SchemaResolver::check_response_schema(
    const schemas::CachedStatement& cached_statement, const std::string& message, uint64_t announced_hash,
    schemas::SchemaCache::ChangeCount changes_at_request) {
  flight::FlightData data;
  if (!data.ParseFromString(message) || data.data_header().empty()) return SchemaCheck::kNoSchema;
  std::string schema = arrowipc::encapsulate({data.data_header(), ""});
  SchemaCheck check = SchemaCheck::kAsAnnounced;
  if (announced_hash != 0 && announced_hash != hash_schema(schema)) {
    check = SchemaCheck::kChanged;
    ++schema_change_count_;
    log_.warn("schema_changed", {{"statement", cached_statement.key.substr(0, 200)}});
  }
  if (!cache_.put(clock_.now(), cached_statement, std::move(schema), changes_at_request) &&
      check == SchemaCheck::kChanged)
    cache_.remove(cached_statement.key);
  return check;
}

}  // namespace sablelink::flightsql
