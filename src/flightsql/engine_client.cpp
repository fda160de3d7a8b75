#include "flightsql/engine_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <exception>
#include <utility>

#include "base/async_event.h"
#include "flightsql/messages.h"
#include "flightsql/terms.h"
#include "sablelink.pb.h"
#include "sql/statement.h"

namespace sablelink::flightsql {
namespace {

using dispatch::AttemptId;
using dispatch::AttemptResult;
using dispatch::AttemptSpec;
using rpc::Awaitable;

constexpr TimeUs kProbeMostUs = 10'000'000;  // the dispatcher gives a probe up before
constexpr size_t kNoteBytes = 256;           // a longer message holds data

std::string method(std::string_view name) { return std::string(kServicePrefix) + std::string(name); }

// The note that a message is, if it holds nothing else.
std::optional<wire::ProgressNote> note_of(const std::string& message) {
  if (message.size() > kNoteBytes) return std::nullopt;
  flight::FlightData data;
  wire::ProgressNote note;
  if (!data.ParseFromString(message) || !data.data_header().empty() || data.app_metadata().empty() ||
      !note.ParseFromString(data.app_metadata()) || note.kind() == wire::ProgressNote::KIND_UNSPECIFIED)
    return std::nullopt;
  return note;
}

// What an engine answers to a planning call.
struct PlanningResponse {
  wire::Plan plan;
  std::string prepared_handle;  // of a prepared statement that the engine has made for it; empty: none
};

std::optional<PlanningResponse> parse_schema_result(const std::string& message) {
  flight::SchemaResult result;
  if (!result.ParseFromString(message)) return std::nullopt;
  PlanningResponse response;
  response.plan.set_dataset(std::move(*result.mutable_schema()));
  return response;
}

std::optional<PlanningResponse> parse_prepared_statement(const std::string& message) {
  flight::Result result;
  google::protobuf::Any any;
  fsql::ActionCreatePreparedStatementResult created;
  if (!result.ParseFromString(message) || !any.ParseFromString(result.body()) || !any.UnpackTo(&created))
    return std::nullopt;
  PlanningResponse response;
  response.plan.set_dataset(std::move(*created.mutable_dataset_schema()));
  response.plan.set_parameters(std::move(*created.mutable_parameter_schema()));
  response.prepared_handle = std::move(*created.mutable_prepared_statement_handle());
  return response;
}

std::optional<PlanningResponse> parse_planning_response(const std::string& message, bool is_prepared) {
  return is_prepared ? parse_prepared_statement(message) : parse_schema_result(message);
}

AttemptResult broken(rpc::Code code, std::string what) {
  AttemptResult result;
  result.outcome = Outcome::kError;
  result.error = {static_cast<int>(code), std::move(what)};
  return result;
}

}  // namespace

// One attempt on its way. Dropped ones only unwind.
struct FlightSqlEngineClient::Task {
  AttemptId key;
  std::shared_ptr<rpc::ClientCall> call;
  bool dropped = false;
  bool paused = false;
  AsyncEvent resumed;
};

FlightSqlEngineClient::FlightSqlEngineClient(FlightSqlEngineClientOptions options,
                                             boost::asio::any_io_executor executor,
                                             rpc::ChannelFactory& channels, AddressOf address_of)
    : options_(std::move(options)),
      executor_(std::move(executor)),
      channels_(channels),
      address_of_(std::move(address_of)) {}

FlightSqlEngineClient::~FlightSqlEngineClient() = default;

std::shared_ptr<rpc::Channel> FlightSqlEngineClient::channel(EngineId engine) {
  Node& node = nodes_[engine];
  if (node.channels.empty()) {
    node.address = address_of_(engine);
    if (node.address.empty()) return nullptr;
    for (size_t i = 0; i < options_.connections; ++i) node.channels.push_back(channels_.open(node.address));
  }
  return node.channels[node.next++ % node.channels.size()];
}

rpc::Metadata FlightSqlEngineClient::metadata(AttemptId key, const AttemptSpec& order) const {
  rpc::Metadata m;
  m.emplace_back(kRequestKey, options_.origin + "/" + std::to_string(key.request));
  m.emplace_back(kAttemptKey, std::to_string(key.number));
  m.emplace_back(kPriorityKey, std::to_string(order.priority));
  m.emplace_back(kAllowKey, std::to_string(order.remaining_us));
  if (order.memory_grant_mb > 0) m.emplace_back(kGrantKey, std::to_string(order.memory_grant_mb));
  if (!order.statement->client_tag.empty()) m.emplace_back(kClientTagKey, order.statement->client_tag);
  return m;
}

template <typename Coroutine>
void FlightSqlEngineClient::spawn(Coroutine coroutine) {
  ++busy_;
  boost::asio::co_spawn(executor_, std::move(coroutine), [this](const std::exception_ptr& error) {
    --busy_;
    if (error) std::rethrow_exception(error);
  });
}

void FlightSqlEngineClient::start(AttemptId key, EngineId engine, const AttemptSpec& order) {
  const auto task = std::make_shared<Task>();
  task->key = key;
  running_[number_of(key)] = task;
  spawn(run(task, engine, order));
}

Awaitable<void> FlightSqlEngineClient::run(std::shared_ptr<Task> task, EngineId engine, AttemptSpec order) {
  AttemptResult result;
  const std::shared_ptr<rpc::Channel> to = channel(engine);
  bool connected = false;
  if (to) connected = co_await to->connect(options_.dial_timeout_us);
  if (!connected) {
    result.outcome = Outcome::kConnectFailed;
    result.error = {static_cast<int>(rpc::Code::kUnavailable), "no connection to the node"};
  } else if (task->dropped) {
    co_return;
  } else if (order.statement->kind == dispatch::ExecutionKind::kUpdate) {
    result = co_await update(task, to, order);
  } else if (order.statement->kind == dispatch::ExecutionKind::kPlan) {
    result = co_await plan(task, to, order);
  } else {
    result = co_await query(task, to, order);
  }
  task->call = nullptr;
  if (task->dropped) co_return;
  running_.erase(number_of(task->key));
  dispatcher_->on_attempt_completed(task->key, result);
}

Awaitable<rpc::CallResult> FlightSqlEngineClient::relay(std::shared_ptr<Task> task) {
  const std::shared_ptr<rpc::ClientCall> call = task->call;
  while (std::optional<std::string> message = co_await call->read()) {
    if (task->dropped) break;
    if (const auto note = note_of(*message)) {
      dispatcher_->on_attempt_progress(task->key, static_cast<ProgressKind>(note->kind() - 1), note->value());
      continue;
    }
    if (!dispatcher_->on_attempt_message(task->key, std::move(*message))) task->paused = true;
    while (task->paused && !task->dropped) co_await task->resumed.wait();
  }
  rpc::CallResult end;
  if (!task->dropped) end = co_await call->finish();
  co_return end;
}

Awaitable<AttemptResult> FlightSqlEngineClient::query(std::shared_ptr<Task> task,
                                                      std::shared_ptr<rpc::Channel> to,
                                                      const AttemptSpec& order) {
  const rpc::Metadata terms = metadata(task->key, order);
  fsql::CommandStatementQuery command;
  command.set_query(order.statement->text);
  std::shared_ptr<rpc::ClientCall> call = to->call(method("GetFlightInfo"), terms, 0);
  task->call = call;
  std::string bytes = descriptor_of(command).SerializeAsString();
  co_await call->write(std::move(bytes), true);
  std::optional<std::string> message = co_await call->read();
  AttemptResult result;
  if (task->dropped) co_return result;
  const rpc::CallResult planned = co_await call->finish();
  if (!planned.status.ok() || task->dropped) {
    result = map_call_end(planned);
    co_return result;
  }
  flight::FlightInfo info;
  if (!message || !info.ParseFromString(*message) || info.endpoint_size() != 1) {
    result = broken(rpc::Code::kInternal, "the node's FlightInfo is no answer with one endpoint");
    co_return result;
  }

  call = to->call(method("DoGet"), terms, 0);
  task->call = call;
  bytes = info.endpoint(0).ticket().SerializeAsString();
  co_await call->write(std::move(bytes), true);
  const rpc::CallResult end = co_await relay(task);
  result = map_call_end(end);
  co_return result;
}

Awaitable<AttemptResult> FlightSqlEngineClient::update(std::shared_ptr<Task> task,
                                                       std::shared_ptr<rpc::Channel> to,
                                                       const AttemptSpec& order) {
  fsql::CommandStatementUpdate command;
  command.set_query(order.statement->text);
  flight::FlightData data;
  *data.mutable_flight_descriptor() = descriptor_of(command);
  const std::shared_ptr<rpc::ClientCall> call = to->call(method("DoPut"), metadata(task->key, order), 0);
  task->call = call;
  std::string bytes = data.SerializeAsString();
  co_await call->write(std::move(bytes), true);
  const rpc::CallResult end = co_await relay(task);
  AttemptResult result = map_call_end(end);
  co_return result;
}

// GetSchema tells the columns of what a statement would answer. A statement with parameters has to be
// prepared: the answer to that tells the parameters' too.
Awaitable<AttemptResult> FlightSqlEngineClient::plan(std::shared_ptr<Task> task,
                                                     std::shared_ptr<rpc::Channel> to,
                                                     const AttemptSpec& order) {
  const bool prepares = sql::count_parameters(order.statement->text) > 0;
  std::string question;
  if (prepares) {
    fsql::ActionCreatePreparedStatementRequest request;
    request.set_query(order.statement->text);
    flight::Action action;
    action.set_type("CreatePreparedStatement");
    action.set_body(pack(request));
    question = action.SerializeAsString();
  } else {
    fsql::CommandStatementQuery command;
    command.set_query(order.statement->text);
    question = descriptor_of(command).SerializeAsString();
  }
  const std::shared_ptr<rpc::ClientCall> call =
      to->call(method(prepares ? "DoAction" : "GetSchema"), metadata(task->key, order), 0);
  task->call = call;
  co_await call->write(std::move(question), true);
  const std::optional<std::string> message = co_await call->read();
  AttemptResult result;
  if (task->dropped) co_return result;
  const rpc::CallResult end = co_await call->finish();
  result = map_call_end(end);
  if (!end.status.ok() || task->dropped) co_return result;
  std::optional<PlanningResponse> response;
  if (message) response = parse_planning_response(*message, prepares);
  if (!response) {
    result = broken(rpc::Code::kInternal, "the node's plan is no answer that Flight SQL knows");
    co_return result;
  }
  if (!response->prepared_handle.empty()) spawn(forget_prepared(to, std::move(response->prepared_handle)));
  std::string bytes = response->plan.SerializeAsString();
  dispatcher_->on_attempt_message(task->key, std::move(bytes));
  co_return result;
}

// The node is told that its prepared statement isn't wanted any more. Whether it hears, it decides itself.
Awaitable<void> FlightSqlEngineClient::forget_prepared(std::shared_ptr<rpc::Channel> to, std::string handle) {
  fsql::ActionClosePreparedStatementRequest request;
  request.set_prepared_statement_handle(std::move(handle));
  flight::Action action;
  action.set_type("ClosePreparedStatement");
  action.set_body(pack(request));
  const std::shared_ptr<rpc::ClientCall> call = to->call(method("DoAction"), {}, kProbeMostUs);
  std::string bytes = action.SerializeAsString();
  co_await call->write(std::move(bytes), true);
  co_await call->read();
  co_await call->finish();
}

void FlightSqlEngineClient::cancel(AttemptId key) {
  const auto it = running_.find(number_of(key));
  if (it == running_.end()) return;
  const std::shared_ptr<Task> task = it->second;
  running_.erase(it);
  task->dropped = true;
  if (task->call) task->call->cancel();
  task->resumed.set();
}

void FlightSqlEngineClient::resume(AttemptId key) {
  const auto it = running_.find(number_of(key));
  if (it == running_.end()) return;
  it->second->paused = false;
  it->second->resumed.set();
}

void FlightSqlEngineClient::drop_all() {
  while (!running_.empty()) cancel(running_.begin()->second->key);
}

void FlightSqlEngineClient::check_health(uint32_t probe, EngineId engine) { spawn(ask(probe, engine)); }

// A question that any Flight SQL server can answer, and that costs it little.
Awaitable<void> FlightSqlEngineClient::ask(uint32_t probe, EngineId engine) {
  const std::shared_ptr<rpc::Channel> to = channel(engine);
  bool connected = false;
  if (to) connected = co_await to->connect(options_.dial_timeout_us);
  if (!connected) {
    dispatcher_->on_health_check_completed(probe, Outcome::kConnectFailed, std::nullopt);
    co_return;
  }
  const std::shared_ptr<rpc::ClientCall> call = to->call(method("GetFlightInfo"), {}, kProbeMostUs);
  std::string question = descriptor_of(fsql::CommandGetSqlInfo()).SerializeAsString();
  co_await call->write(std::move(question), true);
  co_await call->read();
  const rpc::CallResult end = co_await call->finish();
  const AttemptResult result = map_call_end(end);
  // A server that doesn't know the question is alive.
  const Outcome outcome = result.is_statement_error ? Outcome::kOk : result.outcome;
  dispatcher_->on_health_check_completed(probe, outcome, result.load_report);
}

// Channels close once the last call on them has ended; the next attempt dials anew.
void FlightSqlEngineClient::close_idle_connections(EngineId engine) { nodes_.erase(engine); }

}  // namespace sablelink::flightsql
