#include "flightsql/flight_sql_server.h"

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

#include "base/async_event.h"
#include "flightsql/catalog.h"
#include "flightsql/protocol.h"
#include "workload/error.h"

namespace sablelink::flightsql {
namespace {

using rpc::Awaitable;
using rpc::Code;

constexpr size_t kMaxParameterRows = 1000;  // in one call

// An error caused by the client, which ends its call with this code.
struct CallError : Error {
  CallError(Code c, const std::string& message) : Error(message), code(c) {}
  Code code;
};

[[noreturn]] void throw_invalid_argument(const std::string& message) {
  throw CallError(Code::kInvalidArgument, message);
}

template <typename Message>
Message parse(const std::string& bytes, const char* where) {
  Message message;
  if (!message.ParseFromString(bytes))
    throw_invalid_argument(std::string(where) + " is no valid " + Message::descriptor()->name());
  return message;
}

google::protobuf::Any parse_any(const std::string& bytes, const char* where) {
  auto any = parse<google::protobuf::Any>(bytes, where);
  if (any.type_url().empty())
    throw_invalid_argument(std::string(where) + " holds no command: its type is empty");
  return any;
}

template <typename Command>
Command unpack(const google::protobuf::Any& any) {
  Command command;
  if (!any.UnpackTo(&command))
    throw_invalid_argument("the command is no valid " + Command::descriptor()->name());
  return command;
}

template <typename Command>
void reject_transaction(const Command& command) {
  if (command.has_transaction_id() && !command.transaction_id().empty())
    throw CallError(Code::kUnimplemented, "transactions are not served");
}

// Returns the user name of an "authorization: Basic ..." header. The password isn't checked, as the network
// is trusted.
std::string basic_auth_user(const rpc::Metadata& metadata) {
  const std::string_view header = rpc::find_value(metadata, "authorization");
  constexpr std::string_view kBasic = "Basic ";
  if (!header.starts_with(kBasic)) return "";
  std::string text;
  uint32_t bits = 0;
  int bit_count = 0;
  for (const char c : header.substr(kBasic.size())) {
    int value = 0;
    if (c >= 'A' && c <= 'Z')
      value = c - 'A';
    else if (c >= 'a' && c <= 'z')
      value = c - 'a' + 26;
    else if (c >= '0' && c <= '9')
      value = c - '0' + 52;
    else if (c == '+')
      value = 62;
    else if (c == '/')
      value = 63;
    else
      break;
    bits = bits << 6 | value;
    bit_count += 6;
    if (bit_count >= 8) {
      bit_count -= 8;
      text += static_cast<char>(bits >> bit_count & 0xff);
    }
  }
  return text.substr(0, text.find(':'));
}

}  // namespace

// Buffers the response to a request between the dispatcher and the client's call.
class FlightSqlServer::PendingResponse : public dispatch::ResponseSink {
 public:
  void write(std::string message) override {
    messages.push_back(std::move(message));
    updated.set();
  }
  void finish(const dispatch::FinalResponse& final_response) override {
    response = final_response;
    updated.set();
  }
  void abort(bool by_cancel) {
    if (response || client_disconnected || cancelled) return;
    (by_cancel ? cancelled : client_disconnected) = true;
    updated.set();
  }

  RequestId id = 0;
  // The statement for which the schema of the first message is cached. Its key is empty if the schema isn't
  // cached.
  schemas::CachedStatement cached_statement;
  uint64_t announced_schema_hash = 0;
  schemas::SchemaCache::ChangeCount changes_at_request = 0;
  bool schema_changed = false;
  std::deque<std::string> messages;
  std::optional<dispatch::FinalResponse> response;
  bool client_disconnected = false, cancelled = false;
  AsyncEvent updated;
};

FlightSqlServer::FlightSqlServer(const config::GatewayConfig& config, const FlightSqlServerSeeds& seeds,
                                 dispatch::RequestDispatcher& dispatcher, Clock& clock, Log& log)
    : limits_(config.flight_sql),
      selectors_(config.selectors),
      classes_(config.settings.classes),
      max_planning_wait_us_(config.planning.max_wait_us),
      dispatcher_(dispatcher),
      clock_(clock),
      log_(log),
      tickets_(seeds.incarnation, seeds.ticket_secret),
      prepared_({config.flight_sql.max_prepared_statements, config.flight_sql.max_prepared_bytes,
                 config.flight_sql.prepared_idle_timeout_us},
                seeds.handle_seed),
      schema_resolver_(config.schema_cache, config.planning, config.planning_class, seeds.incarnation,
                       dispatcher, clock, log) {}

FlightSqlServer::~FlightSqlServer() = default;

void FlightSqlServer::set_selectors(config::SelectorSettings selectors) {
  // With other tables, statements may also belong to other classes, so the cached schemas may be useless.
  if (selectors.tables != selectors_.tables) schema_resolver_.clear();
  selectors_ = std::move(selectors);
}

Awaitable<void> FlightSqlServer::handle(CallPtr call) {
  using Handler = Awaitable<void> (FlightSqlServer::*)(CallPtr);
  static constexpr std::array<std::pair<std::string_view, Handler>, 7> kMethods = {{
      {"DoGet", &FlightSqlServer::do_get},
      {"GetFlightInfo", &FlightSqlServer::get_flight_info},
      {"GetSchema", &FlightSqlServer::get_schema},
      {"DoPut", &FlightSqlServer::do_put},
      {"DoAction", &FlightSqlServer::do_action},
      {"ListActions", &FlightSqlServer::list_actions},
      {"Handshake", &FlightSqlServer::handshake},
  }};
  Handler handler = nullptr;
  const std::string_view method = call->method();
  if (method.starts_with(kServicePrefix))
    for (const auto& [name, serve] : kMethods)
      if (method.substr(kServicePrefix.size()) == name) handler = serve;
  Code code = Code::kOk;
  std::string message;
  try {
    if (handler == nullptr)
      throw CallError(Code::kUnimplemented, "method " + call->method() + " is not served");
    co_await (this->*handler)(call);
  } catch (const CallError& e) {
    code = e.code;
    message = e.what();
  } catch (const arrowipc::FormatError& e) {
    code = Code::kInvalidArgument;
    message = e.what();
  } catch (const std::exception& e) {
    code = Code::kInternal;
    message = e.what();
    log_.error("request_aborted", {{"method", call->method()}, {"error", message}});
  }
  if (code != Code::kOk) co_await fail_call(call, code, message);
}

Awaitable<void> FlightSqlServer::fail_call(CallPtr call, Code code, std::string message) {
  rpc::Status status = make_error(code, std::move(message));
  rpc::Metadata trailers;
  std::optional<std::string> last;
  co_await call->finish(std::move(status), std::move(trailers), std::move(last));
}

Awaitable<void> FlightSqlServer::finish_with_message(CallPtr call, std::string message) {
  rpc::Status status;
  rpc::Metadata trailers;
  std::optional<std::string> last = std::move(message);
  co_await call->finish(std::move(status), std::move(trailers), std::move(last));
}

Awaitable<void> FlightSqlServer::handshake(CallPtr call) {
  std::optional<std::string> first_message = co_await call->read();
  if (!first_message) throw_invalid_argument("a HandshakeRequest was expected");
  const auto request = parse<flight::HandshakeRequest>(*first_message, "the request");
  flight::HandshakeResponse response;
  response.set_protocol_version(request.protocol_version());
  response.set_payload(request.payload());
  std::string bytes = response.SerializeAsString();
  co_await finish_with_message(call, std::move(bytes));
}

std::string FlightSqlServer::validate_statement(std::string text) const {
  if (text.empty()) throw_invalid_argument("the statement is empty");
  if (text.size() > limits_.max_statement_bytes)
    throw_invalid_argument("the statement has " + std::to_string(text.size()) + " bytes; " +
                           std::to_string(limits_.max_statement_bytes) + " are allowed");
  return text;
}

PreparedStatements::BoundStatement FlightSqlServer::find_prepared(const std::string& handle) {
  auto found = prepared_.find(clock_.now(), handle);
  if (!found)
    throw CallError(Code::kNotFound, "no such prepared statement; it may have been idle for too long");
  return *std::move(found);
}

std::string FlightSqlServer::bound_statement(const std::string& handle) {
  const PreparedStatements::BoundStatement prepared = find_prepared(handle);
  try {
    return validate_statement(sql::bind_parameters(prepared.statement, prepared.literals));
  } catch (const sql::ParameterCountError& e) {
    throw_invalid_argument(e.what());
  }
}

std::string FlightSqlServer::statement_from_command(const google::protobuf::Any& any) {
  if (any.Is<fsql::CommandStatementQuery>()) {
    auto command = unpack<fsql::CommandStatementQuery>(any);
    reject_transaction(command);
    return validate_statement(std::move(*command.mutable_query()));
  }
  if (any.Is<fsql::CommandPreparedStatementQuery>())
    return bound_statement(unpack<fsql::CommandPreparedStatementQuery>(any).prepared_statement_handle());
  throw CallError(Code::kUnimplemented,
                  "command " + unqualified_type_name(any.type_url()) + " is not served");
}

namespace {

// Returns the result of a metadata command; nullopt for other commands.
std::optional<ResultTable> metadata_table(const google::protobuf::Any& any,
                                          const std::vector<config::Table>& all) {
  if (any.Is<fsql::CommandGetSqlInfo>()) return sql_info(unpack<fsql::CommandGetSqlInfo>(any));
  if (any.Is<fsql::CommandGetCatalogs>()) return catalogs(all);
  if (any.Is<fsql::CommandGetDbSchemas>()) return db_schemas(all, unpack<fsql::CommandGetDbSchemas>(any));
  if (any.Is<fsql::CommandGetTables>()) return tables(all, unpack<fsql::CommandGetTables>(any));
  if (any.Is<fsql::CommandGetTableTypes>()) return table_types();
  if (any.Is<fsql::CommandGetXdbcTypeInfo>())
    return xdbc_type_info(unpack<fsql::CommandGetXdbcTypeInfo>(any));
  if (any.Is<fsql::CommandGetPrimaryKeys>()) return empty_primary_keys();
  if (any.Is<fsql::CommandGetExportedKeys>() || any.Is<fsql::CommandGetImportedKeys>() ||
      any.Is<fsql::CommandGetCrossReference>())
    return empty_foreign_keys();
  return std::nullopt;
}

}  // namespace

namespace {

flight::FlightDescriptor read_descriptor(const std::optional<std::string>& message) {
  if (!message) throw_invalid_argument("a FlightDescriptor was expected");
  auto descriptor = parse<flight::FlightDescriptor>(*message, "the request");
  if (descriptor.type() != flight::FlightDescriptor::CMD)
    throw_invalid_argument("the FlightDescriptor holds no command: its type must be CMD");
  return descriptor;
}

// Ends a call that needs only a plan with the error of an engine that rejected the statement as invalid.
[[noreturn]] void throw_statement_error(const dispatch::EngineError& error) {
  throw CallError(static_cast<Code>(error.code), error.message);
}

}  // namespace

Awaitable<void> FlightSqlServer::get_schema(CallPtr call) {
  const std::optional<std::string> message = co_await call->read();
  const flight::FlightDescriptor descriptor = read_descriptor(message);
  const auto any = parse_any(descriptor.cmd(), "the descriptor's command");
  flight::SchemaResult result;
  if (const auto table = metadata_table(any, selectors_.tables)) {
    result.set_schema(arrowipc::encapsulate(arrowipc::encode_schema(table->schema)));
  } else {
    std::string text = statement_from_command(any);
    const SchemaResolver::Resolution resolution = co_await resolve_schemas(call, std::move(text), false);
    if (resolution.statement_error.code != 0) throw_statement_error(resolution.statement_error);
    if (resolution.result_schema.empty())
      throw CallError(Code::kUnavailable, "the columns aren't known and can't be asked for now");
    result.set_schema(resolution.result_schema);
  }
  std::string bytes = result.SerializeAsString();
  co_await finish_with_message(call, std::move(bytes));
}

Awaitable<void> FlightSqlServer::get_flight_info(CallPtr call) {
  const std::optional<std::string> message = co_await call->read();
  const flight::FlightDescriptor descriptor = read_descriptor(message);
  const auto any = parse_any(descriptor.cmd(), "the descriptor's command");
  flight::FlightInfo info;
  *info.mutable_flight_descriptor() = descriptor;
  info.set_total_records(-1);
  info.set_total_bytes(-1);
  flight::Ticket& ticket = *info.add_endpoint()->mutable_ticket();
  if (const auto table = metadata_table(any, selectors_.tables)) {
    info.set_schema(arrowipc::encapsulate(arrowipc::encode_schema(table->schema)));
    ticket.set_ticket(descriptor.cmd());
  } else {
    fsql::TicketStatementQuery handle;
    const std::string text = statement_from_command(any);
    // A statement error of an engine is ignored: another engine may be able to execute the statement.
    const SchemaResolver::Resolution resolution = co_await resolve_schemas(call, text, false);
    info.set_schema(resolution.result_schema);
    handle.set_statement_handle(tickets_.issue(text, SchemaResolver::hash_schema(resolution.result_schema)));
    ticket.set_ticket(pack(handle));
  }
  std::string bytes = info.SerializeAsString();
  co_await finish_with_message(call, std::move(bytes));
}

// Resolves the schemas one by one. Starts no further one after max_planning_wait_us_, the maximum wait for a
// single plan; the schemas of the remaining tables are omitted.
Awaitable<std::vector<std::string>> FlightSqlServer::table_schemas(CallPtr call,
                                                                   const fsql::CommandGetTables& command) {
  std::vector<std::string> out;
  const TimeUs deadline = clock_.now() + max_planning_wait_us_;
  for (std::string& text : table_statements(selectors_.tables, command)) {
    if (clock_.now() >= deadline || call->cancelled()) break;
    const SchemaResolver::Resolution resolution = co_await resolve_schemas(call, std::move(text), false);
    out.push_back(resolution.result_schema);
  }
  co_return out;
}

Awaitable<void> FlightSqlServer::do_get(CallPtr call) {
  std::optional<std::string> message = co_await call->read();
  if (!message) throw_invalid_argument("a Ticket was expected");
  const auto any = parse_any(parse<flight::Ticket>(*message, "the request").ticket(), "the ticket");
  if (auto table = metadata_table(any, selectors_.tables)) {
    if (any.Is<fsql::CommandGetTables>()) {
      const auto command = unpack<fsql::CommandGetTables>(any);
      if (command.include_schema()) {
        const std::vector<std::string> schemas = co_await table_schemas(call, command);
        table = tables(selectors_.tables, command, schemas);
      }
    }
    std::string bytes = encode_flight_data(arrowipc::encode_schema(table->schema));
    const bool written = co_await call->write(std::move(bytes));
    if (!written) co_return;
    bytes = encode_flight_data(arrowipc::encode_batch(table->schema, table->batch));
    co_await finish_with_message(call, std::move(bytes));
    co_return;
  }
  if (!any.Is<fsql::TicketStatementQuery>())
    throw CallError(Code::kUnimplemented,
                    "ticket " + unqualified_type_name(any.type_url()) + " is not served");
  OpenedTicket opened = tickets_.open(unpack<fsql::TicketStatementQuery>(any).statement_handle());
  if (opened.error != TicketError::kNone)
    throw CallError(opened.error == TicketError::kOtherIncarnation ? Code::kNotFound : Code::kInvalidArgument,
                    ticket_error_message(opened.error));
  const bool is_client_retry = !tickets_.first_use(opened.serial);
  std::string text = std::move(opened.statement);
  ExecutionResult result = co_await execute(call, std::move(text), false, opened, is_client_retry);
  co_await finish_call(call, std::move(result));
}

// Ends the client's call with the result, unless the client has disconnected.
Awaitable<void> FlightSqlServer::finish_call(CallPtr call, ExecutionResult result) {
  if (result.client_disconnected) co_return;
  if (result.cancelled) {
    std::string message = "cancelled by the client's own request";
    co_await fail_call(call, Code::kCancelled, std::move(message));
    co_return;
  }
  ClientCallResult end = map_final_response(result.response);
  if (result.schema_changed) end.trailers.emplace_back(kSchemaKey, "changed");
  std::optional<std::string> last;
  if (!result.last_message.empty()) last = std::move(result.last_message);
  co_await call->finish(std::move(end.status), std::move(end.trailers), std::move(last));
}

FlightSqlServer::ClassifiedStatement FlightSqlServer::classify(const rpc::ServerCall& call,
                                                               std::string text) const {
  ClassifiedStatement classified;
  classified.info = sql::analyze_statement(text);
  classified.text = std::move(text);
  const std::string user = basic_auth_user(call.metadata());
  config::RequestAttributes attributes;
  attributes.user = user;
  attributes.headers = &call.metadata();
  attributes.statement = &classified.info;
  classified.classification = config::classify(selectors_, attributes);
  return classified;
}

Awaitable<SchemaResolver::Resolution> FlightSqlServer::resolve_schemas(CallPtr call, std::string text,
                                                                       bool with_parameters) {
  ClassifiedStatement classified = classify(*call, std::move(text));
  const int class_index = classified.classification.class_index;
  return schema_resolver_.resolve(std::move(call), std::move(classified.text), std::move(classified.info),
                                  class_index, with_parameters);
}

QueryRequest FlightSqlServer::build_query_request(const rpc::ServerCall& call,
                                                  const ClassifiedStatement& classified, bool is_update,
                                                  bool is_client_retry) const {
  const config::Classification& classification = classified.classification;
  QueryRequest query;
  query.class_index = classification.class_index;
  query.tenant = classification.tenant;
  query.key = classification.key;
  query.table_group = classification.table_group;
  query.estimated_cost_us = classification.estimated_cost_us;
  query.estimated_memory_mb = classification.estimated_memory_mb;
  query.is_client_retry = is_client_retry;
  query.is_write = is_update || classified.info.writes;
  query.deadline =
      clock_.now() + (call.client_timeout_us()
                          ? response_time_limit(*call.client_timeout_us(), limits_.response_margin_us)
                          : classes_[classification.class_index].request_timeout_us);
  return query;
}

Awaitable<FlightSqlServer::ExecutionResult> FlightSqlServer::execute(CallPtr call, std::string text,
                                                                     bool is_update,
                                                                     const OpenedTicket& ticket,
                                                                     bool is_client_retry) {
  const uint64_t serial = ticket.serial;
  ExecutionResult result;
  size_t& open_requests = open_requests_by_peer_[call->peer()];
  if (open_requests >= limits_.max_open_requests_per_connection) {
    result.response.status = dispatch::RequestStatus::kRejected;
    result.response.reason = dispatch::CompletionReason::kConnectionLimit;
    co_return result;
  }
  ++open_requests;
  const ClassifiedStatement classified = classify(*call, std::move(text));
  const QueryRequest query = build_query_request(*call, classified, is_update, is_client_retry);
  const bool is_definition = classified.info.kind == sql::StatementKind::kDefinition;
  if (is_definition) schema_resolver_.invalidate_tables(classified.info.tables);
  auto statement = std::make_shared<dispatch::Statement>();
  statement->text = classified.text;
  statement->kind = is_update ? dispatch::ExecutionKind::kUpdate : dispatch::ExecutionKind::kQuery;
  statement->client_tag = rpc::find_value(call->metadata(), kClientTagKey);

  const auto pending = std::make_shared<PendingResponse>();
  if (!is_update && classified.info.kind == sql::StatementKind::kQuery) {
    pending->cached_statement = schema_resolver_.cached_statement_for(classified.text, classified.info,
                                                                      classified.classification.class_index);
    pending->announced_schema_hash = ticket.announced_schema_hash;
    pending->changes_at_request = schema_resolver_.change_count();
  }
  pending->id = dispatcher_.submit(query, std::move(statement), pending);
  auto running_entry = running_by_ticket_.end();
  if (serial != 0) running_entry = running_by_ticket_.emplace(serial, pending);
  call->on_cancelled([this, pending] {
    dispatcher_.on_client_disconnected(pending->id);
    pending->abort(false);
  });
  co_await forward_messages(call, pending, is_update, &result.last_message);
  // Releases messages that weren't consumed; no effect on a completed request.
  dispatcher_.on_client_disconnected(pending->id);
  if (running_entry != running_by_ticket_.end()) running_by_ticket_.erase(running_entry);
  const auto peer = open_requests_by_peer_.find(call->peer());
  if (--peer->second == 0) open_requests_by_peer_.erase(peer);
  // Schemas resolved during the execution may be from before or after the change.
  if (is_definition) schema_resolver_.invalidate_tables(classified.info.tables);
  result.schema_changed = pending->schema_changed;
  result.client_disconnected = pending->client_disconnected;
  result.cancelled = pending->cancelled;
  if (pending->response) result.response = *pending->response;
  co_return result;
}

Awaitable<void> FlightSqlServer::forward_messages(CallPtr call, std::shared_ptr<PendingResponse> pending,
                                                  bool is_update, std::string* last_message) {
  for (;;) {
    while (!pending->messages.empty() && !pending->client_disconnected && !pending->cancelled) {
      std::string message = std::move(pending->messages.front());
      pending->messages.pop_front();
      const size_t size = message.size();
      if (!pending->cached_statement.key.empty()) {
        // Only the first message contains the schema.
        const schemas::CachedStatement cached_statement = std::exchange(pending->cached_statement, {});
        pending->schema_changed = schema_resolver_.check_response_schema(
                                      cached_statement, message, pending->announced_schema_hash,
                                      pending->changes_at_request) == SchemaResolver::SchemaCheck::kChanged;
      }
      if (is_update || (pending->response && pending->messages.empty() &&
                        pending->response->status == dispatch::RequestStatus::kServed)) {
        *last_message = std::move(message);  // sent with the status, or used by the caller
        dispatcher_.on_response_consumed(pending->id, size);
        continue;
      }
      const bool written = co_await call->write(std::move(message));
      if (!written) {
        dispatcher_.on_client_disconnected(pending->id);
        pending->abort(false);
        co_return;
      }
      dispatcher_.on_response_consumed(pending->id, size);
    }
    if (pending->response || pending->client_disconnected || pending->cancelled) co_return;
    co_await pending->updated.wait();
  }
}

Awaitable<void> FlightSqlServer::do_put(CallPtr call) {
  std::optional<std::string> message = co_await call->read();
  if (!message) throw_invalid_argument("a FlightData with a descriptor was expected");
  const auto data = parse<flight::FlightData>(*message, "the first message");
  if (!data.has_flight_descriptor() || data.flight_descriptor().type() != flight::FlightDescriptor::CMD)
    throw_invalid_argument("the first message of DoPut must have a descriptor with a command");
  const auto any = parse_any(data.flight_descriptor().cmd(), "the descriptor's command");
  if (any.Is<fsql::CommandStatementUpdate>()) {
    auto command = unpack<fsql::CommandStatementUpdate>(any);
    reject_transaction(command);
    std::string text = validate_statement(std::move(*command.mutable_query()));
    const OpenedTicket none;
    ExecutionResult result = co_await execute(call, std::move(text), true, none, false);
    co_await finish_call(call, std::move(result));
  } else if (any.Is<fsql::CommandPreparedStatementQuery>()) {
    const auto command = unpack<fsql::CommandPreparedStatementQuery>(any);
    co_await bind_parameters(call, command.prepared_statement_handle(), std::move(*message));
  } else if (any.Is<fsql::CommandPreparedStatementUpdate>()) {
    const auto command = unpack<fsql::CommandPreparedStatementUpdate>(any);
    co_await execute_prepared_update(call, command.prepared_statement_handle(), std::move(*message));
  } else {
    throw CallError(Code::kUnimplemented,
                    "command " + unqualified_type_name(any.type_url()) + " is not served");
  }
}

Awaitable<std::vector<std::vector<std::string>>> FlightSqlServer::read_parameter_rows(
    CallPtr call, std::string first_message) {
  std::vector<std::vector<std::string>> rows;
  std::optional<arrowipc::Schema> schema;
  size_t bytes = 0;
  std::optional<std::string> message = std::move(first_message);
  for (; message; message = co_await call->read()) {
    const auto data = parse<flight::FlightData>(*message, "a message of the parameters");
    bytes += message->size();
    if (bytes > limits_.max_message_bytes)
      throw_invalid_argument("the parameters have more than the " +
                             std::to_string(limits_.max_message_bytes) + " bytes allowed");
    if (data.data_header().empty()) continue;
    if (!schema) {
      schema = arrowipc::decode_schema(data.data_header());
      continue;
    }
    const arrowipc::Batch batch = arrowipc::decode_batch(*schema, data.data_header(), data.data_body());
    if (rows.size() + batch.rows > kMaxParameterRows)
      throw_invalid_argument("more than " + std::to_string(kMaxParameterRows) +
                             " rows of parameters in one call");
    for (int64_t r = 0; r < batch.rows; ++r) {
      std::vector<std::string> row;
      for (size_t c = 0; c < schema->fields.size(); ++c)
        row.push_back(to_sql_literal(schema->fields[c], batch.columns[c], r));
      rows.push_back(std::move(row));
    }
  }
  co_return rows;
}

Awaitable<void> FlightSqlServer::bind_parameters(CallPtr call, const std::string& handle,
                                                 std::string first_message) {
  std::vector<std::vector<std::string>> rows = co_await read_parameter_rows(call, std::move(first_message));
  if (rows.size() > 1)
    throw_invalid_argument("a query takes one row of parameters, not " + std::to_string(rows.size()));
  const PreparedStatements::BoundStatement prepared = find_prepared(handle);
  std::vector<std::string> row = rows.empty() ? std::vector<std::string>() : std::move(rows[0]);
  const size_t parameter_count = sql::count_parameters(prepared.statement);
  if (row.size() != parameter_count)
    throw_invalid_argument("the statement has " + std::to_string(parameter_count) + " parameters, but " +
                           std::to_string(row.size()) + " are bound");
  if (!prepared_.bind(clock_.now(), handle, std::move(row)))
    throw CallError(Code::kResourceExhausted, "no room for further bound parameters");
  fsql::DoPutPreparedStatementResult result;
  result.set_prepared_statement_handle(handle);
  flight::PutResult put;
  put.set_app_metadata(result.SerializeAsString());
  std::string bytes = put.SerializeAsString();
  co_await finish_with_message(call, std::move(bytes));
}

Awaitable<void> FlightSqlServer::execute_prepared_update(CallPtr call, const std::string& handle,
                                                         std::string first_message) {
  std::vector<std::vector<std::string>> rows = co_await read_parameter_rows(call, std::move(first_message));
  const PreparedStatements::BoundStatement prepared = find_prepared(handle);
  if (rows.empty()) rows.push_back(prepared.literals);
  // Each row is a separate request. They are executed one by one until one of them isn't served.
  int64_t records = 0;
  const OpenedTicket none;
  ExecutionResult result;
  for (size_t i = 0; i < rows.size(); ++i) {
    std::string text;
    try {
      text = validate_statement(sql::bind_parameters(prepared.statement, rows[i]));
    } catch (const sql::ParameterCountError& e) {
      throw_invalid_argument(e.what());
    }
    result = co_await execute(call, std::move(text), true, none, false);
    if (result.client_disconnected || result.cancelled ||
        result.response.status != dispatch::RequestStatus::kServed) {
      // Earlier rows have been executed, so a retry isn't safe, whatever the reason.
      if (i > 0 && !result.client_disconnected && !result.cancelled) {
        result.response.status = dispatch::RequestStatus::kFailed;
        if (result.response.reason != dispatch::CompletionReason::kStatementError)
          result.response.reason = dispatch::CompletionReason::kPolicyDecision;
        result.response.error.message = "row " + std::to_string(i + 1) + " of " +
                                        std::to_string(rows.size()) +
                                        ", earlier ones have run: " + result.response.error.message;
        if (result.response.error.code == 0) result.response.error.code = static_cast<int>(Code::kUnknown);
      }
      break;
    }
    flight::PutResult put;
    fsql::DoPutUpdateResult update_result;
    if (put.ParseFromString(result.last_message) && update_result.ParseFromString(put.app_metadata()))
      records += update_result.record_count();
  }
  if (result.response.status == dispatch::RequestStatus::kServed && !result.client_disconnected &&
      !result.cancelled) {
    fsql::DoPutUpdateResult update_result;
    update_result.set_record_count(records);
    flight::PutResult put;
    put.set_app_metadata(update_result.SerializeAsString());
    result.last_message = put.SerializeAsString();
  }
  co_await finish_call(call, std::move(result));
}

Awaitable<void> FlightSqlServer::do_action(CallPtr call) {
  std::optional<std::string> message = co_await call->read();
  if (!message) throw_invalid_argument("an Action was expected");
  const auto action = parse<flight::Action>(*message, "the request");
  flight::Result result;
  if (action.type() == "CreatePreparedStatement") {
    std::string body = action.body();
    std::string created = co_await create_prepared(call, std::move(body));
    result.set_body(std::move(created));
  } else if (action.type() == "ClosePreparedStatement") {
    const auto request =
        unpack<fsql::ActionClosePreparedStatementRequest>(parse_any(action.body(), "the action's body"));
    prepared_.close(request.prepared_statement_handle());  // an unknown handle is no error
    rpc::Status status;
    rpc::Metadata trailers;
    std::optional<std::string> last;
    co_await call->finish(std::move(status), std::move(trailers), std::move(last));
    co_return;
  } else if (action.type() == "CancelFlightInfo") {
    const auto request = parse<flight::CancelFlightInfoRequest>(action.body(), "the action's body");
    flight::CancelFlightInfoResult cancelled;
    cancelled.set_status(static_cast<flight::CancelStatus>(cancel_running(request.info())));
    result.set_body(cancelled.SerializeAsString());
  } else if (action.type() == "CancelQuery") {
    const auto request =
        unpack<fsql::ActionCancelQueryRequest>(parse_any(action.body(), "the action's body"));
    const auto info = parse<flight::FlightInfo>(request.info(), "the query's info");
    fsql::ActionCancelQueryResult cancelled;
    cancelled.set_result(cancel_running(info));
    result.set_body(pack(cancelled));
  } else if (action.type() == "CloseSession") {  // there are no sessions, so any is closed
    flight::CloseSessionResult closed;
    closed.set_status(flight::CloseSessionResult::CLOSED);
    result.set_body(closed.SerializeAsString());
  } else {
    throw CallError(Code::kUnimplemented, "action " + action.type() + " is not served");
  }
  std::string bytes = result.SerializeAsString();
  co_await finish_with_message(call, std::move(bytes));
}

Awaitable<void> FlightSqlServer::list_actions(CallPtr call) {
  static constexpr std::pair<const char*, const char*> kActions[] = {
      {"CreatePreparedStatement", "Prepares a statement; its columns and those of its parameters come back"},
      {"ClosePreparedStatement", "Forgets a prepared statement"},
      {"CancelFlightInfo", "Cancels what runs on a FlightInfo's tickets"},
      {"CancelQuery", "The same, as Flight SQL had it before"},
      {"CloseSession", "Ends a session; none are kept"}};
  co_await call->read();
  std::string bytes;
  for (const auto& [type, description] : kActions) {
    if (!bytes.empty()) {
      const bool written = co_await call->write(std::move(bytes));
      if (!written) co_return;
    }
    flight::ActionType action;
    action.set_type(type);
    action.set_description(description);
    bytes = action.SerializeAsString();
  }
  co_await finish_with_message(call, std::move(bytes));
}

Awaitable<std::string> FlightSqlServer::create_prepared(CallPtr call, std::string body) {
  auto request = unpack<fsql::ActionCreatePreparedStatementRequest>(parse_any(body, "the action's body"));
  reject_transaction(request);
  const std::string text = validate_statement(std::move(*request.mutable_query()));
  const SchemaResolver::Resolution resolution = co_await resolve_schemas(call, text, true);
  if (resolution.statement_error.code != 0) throw_statement_error(resolution.statement_error);
  const auto handle = prepared_.create(clock_.now(), text);
  if (!handle)
    throw CallError(Code::kResourceExhausted, "no room for further prepared statements; close some");
  fsql::ActionCreatePreparedStatementResult created;
  created.set_prepared_statement_handle(*handle);
  created.set_dataset_schema(resolution.result_schema);
  created.set_parameter_schema(resolution.parameter_schema);
  co_return pack(created);
}

// Cancels the requests of the FlightInfo's tickets. The result codes of CancelFlightInfo and CancelQuery are
// the same numbers.
fsql::ActionCancelQueryResult::CancelResult FlightSqlServer::cancel_running(const flight::FlightInfo& info) {
  bool found = false;
  for (const flight::FlightEndpoint& endpoint : info.endpoint()) {
    const auto any = parse_any(endpoint.ticket().ticket(), "the ticket");
    const OpenedTicket opened = tickets_.open(unpack<fsql::TicketStatementQuery>(any).statement_handle());
    if (opened.error != TicketError::kNone)
      throw CallError(
          opened.error == TicketError::kOtherIncarnation ? Code::kNotFound : Code::kInvalidArgument,
          ticket_error_message(opened.error));
    const auto [begin, end] = running_by_ticket_.equal_range(opened.serial);
    for (auto it = begin; it != end; ++it) {
      const std::shared_ptr<PendingResponse> pending = it->second.lock();
      if (!pending || pending->response) continue;
      dispatcher_.on_client_disconnected(pending->id);
      pending->abort(true);
      found = true;
    }
  }
  return found ? fsql::ActionCancelQueryResult::CANCEL_RESULT_CANCELLED
               : fsql::ActionCancelQueryResult::CANCEL_RESULT_NOT_CANCELLABLE;
}

}  // namespace sablelink::flightsql
