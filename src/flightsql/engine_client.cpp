#include "flightsql/engine_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <exception>
#include <utility>

#include "base/async_event.h"
#include "flightsql/messages.h"
#include "flightsql/protocol.h"
#include "sablelink.pb.h"
#include "sql/statement.h"

namespace sablelink::flightsql {
namespace {

using dispatch::AttemptId;
using dispatch::AttemptResult;
using dispatch::AttemptSpec;
using rpc::Awaitable;

constexpr TimeUs kAuxiliaryCallTimeoutUs = 10'000'000;  // the dispatcher abandons a health check earlier
constexpr size_t kMaxProgressNoteBytes = 256;           // longer messages contain data

std::string method(std::string_view name) { return std::string(kServicePrefix) + std::string(name); }

// Returns the progress note in a message; nullopt where it contains data or no note.
std::optional<wire::ProgressNote> parse_progress_note(const std::string& message) {
  if (message.size() > kMaxProgressNoteBytes) return std::nullopt;
  flight::FlightData data;
  wire::ProgressNote note;
  if (!data.ParseFromString(message) || !data.data_header().empty() || data.app_metadata().empty() ||
      !note.ParseFromString(data.app_metadata()) || note.kind() == wire::ProgressNote::KIND_UNSPECIFIED)
    return std::nullopt;
  return note;
}

// An engine's response to a planning call.
struct PlanningResponse {
  wire::Plan plan;
  std::string prepared_handle;  // of the prepared statement created for the call, if any
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

AttemptResult error_result(rpc::Code code, std::string message) {
  AttemptResult result;
  result.outcome = Outcome::kError;
  result.error = {static_cast<int>(code), std::move(message)};
  return result;
}

}  // namespace

// An attempt in flight. Once it is cancelled, its coroutine returns without reporting anything to the
// dispatcher.
struct FlightSqlEngineClient::AttemptTask {
  AttemptId attempt;
  std::shared_ptr<rpc::ClientCall> call;
  bool cancelled = false;
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

std::shared_ptr<rpc::Channel> FlightSqlEngineClient::next_channel(EngineId engine) {
  Node& node = nodes_[engine];
  if (node.channels.empty()) {
    node.address = address_of_(engine);
    if (node.address.empty()) return nullptr;
    for (size_t i = 0; i < options_.connections_per_node; ++i)
      node.channels.push_back(channels_.open(node.address));
  }
  return node.channels[node.next_channel_index++ % node.channels.size()];
}

rpc::Metadata FlightSqlEngineClient::attempt_metadata(AttemptId attempt, const AttemptSpec& spec) const {
  rpc::Metadata metadata;
  metadata.emplace_back(kRequestKey, options_.request_name_prefix + "/" + std::to_string(attempt.request));
  metadata.emplace_back(kAttemptKey, std::to_string(attempt.number));
  metadata.emplace_back(kPriorityKey, std::to_string(spec.priority));
  metadata.emplace_back(kAttemptTimeoutKey, std::to_string(spec.remaining_us));
  if (spec.memory_grant_mb > 0) metadata.emplace_back(kMemoryGrantKey, std::to_string(spec.memory_grant_mb));
  if (!spec.statement->client_tag.empty()) metadata.emplace_back(kClientTagKey, spec.statement->client_tag);
  return metadata;
}

template <typename Coroutine>
void FlightSqlEngineClient::spawn(Coroutine coroutine) {
  ++active_coroutines_;
  boost::asio::co_spawn(executor_, std::move(coroutine), [this](const std::exception_ptr& error) {
    --active_coroutines_;
    if (error) std::rethrow_exception(error);
  });
}

void FlightSqlEngineClient::start(AttemptId attempt, EngineId engine, const AttemptSpec& spec) {
  const auto task = std::make_shared<AttemptTask>();
  task->attempt = attempt;
  tasks_[task_key(attempt)] = task;
  spawn(run(task, engine, spec));
}

Awaitable<void> FlightSqlEngineClient::run(std::shared_ptr<AttemptTask> task, EngineId engine,
                                           AttemptSpec spec) {
  AttemptResult result;
  const std::shared_ptr<rpc::Channel> channel = next_channel(engine);
  bool connected = false;
  if (channel) connected = co_await channel->connect(options_.connect_timeout_us);
  if (!connected) {
    result.outcome = Outcome::kConnectFailed;
    result.error = {static_cast<int>(rpc::Code::kUnavailable), "no connection to the node"};
  } else if (task->cancelled) {
    co_return;
  } else if (spec.statement->kind == dispatch::ExecutionKind::kUpdate) {
    result = co_await update(task, channel, spec);
  } else if (spec.statement->kind == dispatch::ExecutionKind::kPlan) {
    result = co_await plan(task, channel, spec);
  } else {
    result = co_await query(task, channel, spec);
  }
  task->call = nullptr;
  if (task->cancelled) co_return;
  tasks_.erase(task_key(task->attempt));
  dispatcher_->on_attempt_completed(task->attempt, result);
}

Awaitable<rpc::CallResult> FlightSqlEngineClient::relay_messages(std::shared_ptr<AttemptTask> task) {
  const std::shared_ptr<rpc::ClientCall> call = task->call;
  while (std::optional<std::string> message = co_await call->read()) {
    if (task->cancelled) break;
    if (const auto note = parse_progress_note(*message)) {
      dispatcher_->on_attempt_progress(task->attempt, static_cast<ProgressKind>(note->kind() - 1),
                                       note->value());
      continue;
    }
    if (!dispatcher_->on_attempt_message(task->attempt, std::move(*message))) task->paused = true;
    while (task->paused && !task->cancelled) co_await task->resumed.wait();
  }
  rpc::CallResult call_result;
  if (!task->cancelled) call_result = co_await call->finish();
  co_return call_result;
}

Awaitable<AttemptResult> FlightSqlEngineClient::query(std::shared_ptr<AttemptTask> task,
                                                      std::shared_ptr<rpc::Channel> channel,
                                                      const AttemptSpec& spec) {
  const rpc::Metadata metadata = attempt_metadata(task->attempt, spec);
  fsql::CommandStatementQuery command;
  command.set_query(spec.statement->text);
  std::shared_ptr<rpc::ClientCall> call = channel->call(method("GetFlightInfo"), metadata, 0);
  task->call = call;
  std::string bytes = descriptor_of(command).SerializeAsString();
  co_await call->write(std::move(bytes), true);
  std::optional<std::string> message = co_await call->read();
  AttemptResult result;
  if (task->cancelled) co_return result;
  const rpc::CallResult info_result = co_await call->finish();
  if (!info_result.status.ok() || task->cancelled) {
    result = map_call_end(info_result);
    co_return result;
  }
  flight::FlightInfo info;
  if (!message || !info.ParseFromString(*message) || info.endpoint_size() != 1) {
    result = error_result(rpc::Code::kInternal, "the node's FlightInfo is no answer with one endpoint");
    co_return result;
  }

  call = channel->call(method("DoGet"), metadata, 0);
  task->call = call;
  bytes = info.endpoint(0).ticket().SerializeAsString();
  co_await call->write(std::move(bytes), true);
  const rpc::CallResult call_result = co_await relay_messages(task);
  result = map_call_end(call_result);
  co_return result;
}

Awaitable<AttemptResult> FlightSqlEngineClient::update(std::shared_ptr<AttemptTask> task,
                                                       std::shared_ptr<rpc::Channel> channel,
                                                       const AttemptSpec& spec) {
  fsql::CommandStatementUpdate command;
  command.set_query(spec.statement->text);
  flight::FlightData data;
  *data.mutable_flight_descriptor() = descriptor_of(command);
  const std::shared_ptr<rpc::ClientCall> call =
      channel->call(method("DoPut"), attempt_metadata(task->attempt, spec), 0);
  task->call = call;
  std::string bytes = data.SerializeAsString();
  co_await call->write(std::move(bytes), true);
  const rpc::CallResult call_result = co_await relay_messages(task);
  AttemptResult result = map_call_end(call_result);
  co_return result;
}

// GetSchema returns only the result schema, so a statement with parameters is prepared instead: the response
// to that contains the parameter schema as well.
Awaitable<AttemptResult> FlightSqlEngineClient::plan(std::shared_ptr<AttemptTask> task,
                                                     std::shared_ptr<rpc::Channel> channel,
                                                     const AttemptSpec& spec) {
  const bool has_parameters = sql::count_parameters(spec.statement->text) > 0;
  std::string request_bytes;
  if (has_parameters) {
    fsql::ActionCreatePreparedStatementRequest request;
    request.set_query(spec.statement->text);
    flight::Action action;
    action.set_type("CreatePreparedStatement");
    action.set_body(pack(request));
    request_bytes = action.SerializeAsString();
  } else {
    fsql::CommandStatementQuery command;
    command.set_query(spec.statement->text);
    request_bytes = descriptor_of(command).SerializeAsString();
  }
  const std::shared_ptr<rpc::ClientCall> call = channel->call(
      method(has_parameters ? "DoAction" : "GetSchema"), attempt_metadata(task->attempt, spec), 0);
  task->call = call;
  co_await call->write(std::move(request_bytes), true);
  const std::optional<std::string> message = co_await call->read();
  AttemptResult result;
  if (task->cancelled) co_return result;
  const rpc::CallResult call_result = co_await call->finish();
  result = map_call_end(call_result);
  if (!call_result.status.ok() || task->cancelled) co_return result;
  std::optional<PlanningResponse> response;
  if (message) response = parse_planning_response(*message, has_parameters);
  if (!response) {
    result = error_result(rpc::Code::kInternal, "the node's plan is no answer that Flight SQL knows");
    co_return result;
  }
  if (!response->prepared_handle.empty())
    spawn(close_prepared_statement(channel, std::move(response->prepared_handle)));
  std::string bytes = response->plan.SerializeAsString();
  dispatcher_->on_attempt_message(task->attempt, std::move(bytes));
  co_return result;
}

// Closes a prepared statement that a planning call has created. The node's response is ignored.
Awaitable<void> FlightSqlEngineClient::close_prepared_statement(std::shared_ptr<rpc::Channel> channel,
                                                                std::string handle) {
  fsql::ActionClosePreparedStatementRequest request;
  request.set_prepared_statement_handle(std::move(handle));
  flight::Action action;
  action.set_type("ClosePreparedStatement");
  action.set_body(pack(request));
  const std::shared_ptr<rpc::ClientCall> call =
      channel->call(method("DoAction"), {}, kAuxiliaryCallTimeoutUs);
  std::string bytes = action.SerializeAsString();
  co_await call->write(std::move(bytes), true);
  co_await call->read();
  co_await call->finish();
}

void FlightSqlEngineClient::cancel(AttemptId attempt) {
  const auto it = tasks_.find(task_key(attempt));
  if (it == tasks_.end()) return;
  const std::shared_ptr<AttemptTask> task = it->second;
  tasks_.erase(it);
  task->cancelled = true;
  if (task->call) task->call->cancel();
  task->resumed.set();
}

void FlightSqlEngineClient::resume(AttemptId attempt) {
  const auto it = tasks_.find(task_key(attempt));
  if (it == tasks_.end()) return;
  it->second->paused = false;
  it->second->resumed.set();
}

void FlightSqlEngineClient::cancel_all() {
  while (!tasks_.empty()) cancel(tasks_.begin()->second->attempt);
}

void FlightSqlEngineClient::check_health(uint32_t check, EngineId engine) {
  spawn(run_health_check(check, engine));
}

// Sends GetFlightInfo for GetSqlInfo, which every Flight SQL server can answer at little cost.
Awaitable<void> FlightSqlEngineClient::run_health_check(uint32_t check, EngineId engine) {
  const std::shared_ptr<rpc::Channel> channel = next_channel(engine);
  bool connected = false;
  if (channel) connected = co_await channel->connect(options_.connect_timeout_us);
  if (!connected) {
    dispatcher_->on_health_check_completed(check, Outcome::kConnectFailed, std::nullopt);
    co_return;
  }
  const std::shared_ptr<rpc::ClientCall> call =
      channel->call(method("GetFlightInfo"), {}, kAuxiliaryCallTimeoutUs);
  std::string request_bytes = descriptor_of(fsql::CommandGetSqlInfo()).SerializeAsString();
  co_await call->write(std::move(request_bytes), true);
  co_await call->read();
  const rpc::CallResult call_result = co_await call->finish();
  const AttemptResult result = map_call_end(call_result);
  // A server that rejects the command is still healthy.
  const Outcome outcome = result.is_statement_error ? Outcome::kOk : result.outcome;
  dispatcher_->on_health_check_completed(check, outcome, result.load_report);
}

// A channel is closed when the last call on it has ended; the next attempt opens new channels.
void FlightSqlEngineClient::close_idle_connections(EngineId engine) { nodes_.erase(engine); }

}  // namespace sablelink::flightsql
