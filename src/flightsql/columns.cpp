#include "flightsql/columns.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "flightsql/messages.h"
#include "flightsql/terms.h"
#include "sablelink.pb.h"
#include "sql/shape.h"

namespace sablelink::flightsql {

// A planning call's answer on its way from the dispatcher. Called from within the dispatcher's events, so
// what waits only hears that there is news.
class Columns::Sink : public dispatch::ResponseSink {
 public:
  Sink(Columns& columns, std::string key, schemas::CachedStatement subject, std::string parameters_key)
      : columns_(columns),
        key_(std::move(key)),
        subject_(std::move(subject)),
        parameters_key_(std::move(parameters_key)),
        asked_(columns.store_.change_count()) {}

  void write(std::string message) override { message_ = std::move(message); }
  bool consumes_immediately() const override { return true; }
  void finish(const dispatch::FinalResponse& answer) override {
    wire::Plan plan;
    dispatch::EngineError fault;
    const TimeUs now = columns_.clock_.now();
    if (answer.status == dispatch::RequestStatus::kServed && plan.ParseFromString(message_)) {
      if (!plan.dataset().empty()) columns_.store_.put(now, subject_, plan.dataset(), asked_);
      if (plan.has_parameters() && !parameters_key_.empty())
        columns_.store_.put(now, {parameters_key_, subject_.tables}, plan.parameters(), asked_);
    } else {
      columns_.log_.info("plan_failed", {{"verdict", dispatch::request_status_name(answer.status)},
                                         {"reason", dispatch::completion_reason_name(answer.reason)},
                                         {"error", answer.error.message}});
      if (answer.reason == dispatch::CompletionReason::kStatementError) fault = answer.error;
    }
    columns_.ended(key_, fault);
  }

 private:
  Columns& columns_;
  const std::string key_;
  const schemas::CachedStatement subject_;
  const std::string parameters_key_;
  const schemas::SchemaCache::ChangeCount asked_;
  std::string message_;
};

Columns::Columns(const schemas::SchemaCacheLimits& store, const schemas::PlanningSettings& planning,
                 int planning_class, uint64_t life, dispatch::RequestDispatcher& dispatcher, Clock& clock,
                 Log& log)
    : limits_(planning),
      class_(planning_class),
      life_(life),
      dispatcher_(dispatcher),
      clock_(clock),
      log_(log),
      store_(store),
      planning_(planning) {}

Columns::~Columns() = default;

schemas::CachedStatement Columns::subject(const std::string& text, const sql::StatementInfo& info,
                                          int cls) const {
  return {"d" + std::to_string(cls) + " " + sql::shape_of(text), info.tables};
}

// Engines may write one schema in two ways, so what counts is what is read. All with types that aren't read
// here are taken for one: the client's own reader will tell.
uint64_t Columns::hash(const std::string& schema) {
  constexpr uint64_t kNotRead = 1;
  if (schema.empty()) return 0;
  try {
    const std::string plain = arrowipc::encode_schema(arrowipc::decode_encapsulated_schema(schema)).header;
    return std::max<uint64_t>(XXH3_64bits(plain.data(), plain.size()), kNotRead + 1);
  } catch (const arrowipc::FormatError&) {
    return kNotRead;
  }
}

void Columns::ask(const std::string& key, const std::string& text, const schemas::CachedStatement& subject,
                  const std::string& parameters_key) {
  QueryRequest query;
  query.class_index = class_;
  query.deadline = clock_.now() + limits_.call_timeout_us;
  auto statement = std::make_shared<dispatch::Statement>();
  statement->text = text;
  statement->kind = dispatch::ExecutionKind::kPlan;
  statement->client_tag = std::string(kPlanTag) + std::to_string(life_) + "/" + std::to_string(++last_call_);
  log_.write(LogLevel::kInfo, kPlanEvent, {{"tag", statement->client_tag}});
  dispatcher_.submit(query, std::move(statement),
                     std::make_shared<Sink>(*this, key, subject, parameters_key));
}

void Columns::ended(const std::string& key, const dispatch::EngineError& error) {
  for (const schemas::PlanningCoordinator::WaiterId waiter : planning_.complete_call(key)) {
    const auto it = waiting_.find(waiter);
    if (it == waiting_.end()) continue;
    it->second->error = error;
    it->second->over.set();
  }
}

rpc::Awaitable<Columns::Told> Columns::tell(std::shared_ptr<rpc::ServerCall> call, std::string text,
                                            sql::StatementInfo info, int cls, bool with_parameters) {
  Told told;
  if (info.kind != sql::StatementKind::kQuery) co_return told;
  const schemas::CachedStatement about = subject(text, info, cls);
  const bool both = with_parameters && sql::count_parameters(text) > 0;
  const std::string parameters_key =
      both ? "p" + std::to_string(cls) + " " + sql::exact_shape_of(text) : std::string();
  const auto look = [&] {
    told.dataset = store_.find(clock_.now(), about.key).value_or("");
    if (both) told.parameters = store_.find(clock_.now(), parameters_key).value_or("");
    return !told.dataset.empty() && (!both || !told.parameters.empty());
  };
  planning_.on_lookup(clock_.now());
  if (look()) co_return told;
  const std::string& key = both ? parameters_key : about.key;
  const uint64_t waiter = ++last_waiter_;
  const schemas::PlanningCoordinator::Decision word = planning_.request_columns(clock_.now(), key, waiter);
  if (word == schemas::PlanningCoordinator::Decision::kProceedWithoutColumns) co_return told;
  const auto waiting = std::make_shared<Waiting>();
  waiting_[waiter] = waiting;
  const TimeUs most = call->client_timeout_us()
                          ? std::min(limits_.max_wait_us, *call->client_timeout_us() / 2)
                          : limits_.max_wait_us;
  const std::weak_ptr<Waiting> weak = waiting;
  const auto give_up = [weak] {
    if (const auto w = weak.lock()) w->over.set();
  };
  clock_.call_after(most, give_up);
  call->on_cancelled(give_up);
  if (word == schemas::PlanningCoordinator::Decision::kStartCall) ask(key, text, about, parameters_key);
  co_await waiting->over.wait();
  waiting_.erase(waiter);
  planning_.remove_waiter(key, waiter);
  look();
  told.error = waiting->error;
  co_return told;
}

Columns::Seen Columns::answered(const schemas::CachedStatement& subject, const std::string& message,
                                uint64_t promised, schemas::SchemaCache::ChangeCount asked) {
  flight::FlightData data;
  if (!data.ParseFromString(message) || data.data_header().empty()) return Seen::kNoSchema;
  std::string schema = arrowipc::encapsulate({data.data_header(), ""});
  Seen seen = Seen::kAsPromised;
  if (promised != 0 && promised != hash(schema)) {
    seen = Seen::kOther;
    ++changed_;
    log_.warn("schema_changed", {{"statement", subject.key.substr(0, 200)}});
  }
  if (!store_.put(clock_.now(), subject, std::move(schema), asked) && seen == Seen::kOther)
    store_.remove(subject.key);
  return seen;
}

}  // namespace sablelink::flightsql
