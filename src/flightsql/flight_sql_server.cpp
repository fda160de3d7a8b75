#include "flightsql/flight_sql_server.h"

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

#include "base/async_event.h"
#include "flightsql/catalog.h"
#include "flightsql/terms.h"
#include "workload/error.h"

namespace sablelink::flightsql {
namespace {

using rpc::Awaitable;
using rpc::Code;

constexpr size_t kMostRows = 1000;  // of parameters in one call

// Ends a call with an error that is the client's own.
struct CallError : Error {
  CallError(Code c, const std::string& what) : Error(what), code(c) {}
  Code code;
};

[[noreturn]] void wrong(const std::string& what) { throw CallError(Code::kInvalidArgument, what); }

template <typename Message>
Message parse(const std::string& bytes, const char* where) {
  Message message;
  if (!message.ParseFromString(bytes))
    wrong(std::string(where) + " is no valid " + Message::descriptor()->name());
  return message;
}

google::protobuf::Any parse_any(const std::string& bytes, const char* where) {
  auto any = parse<google::protobuf::Any>(bytes, where);
  if (any.type_url().empty()) wrong(std::string(where) + " holds no command: its type is empty");
  return any;
}

template <typename Command>
Command unpack(const google::protobuf::Any& any) {
  Command command;
  if (!any.UnpackTo(&command)) wrong("the command is no valid " + Command::descriptor()->name());
  return command;
}

template <typename Command>
void no_transaction(const Command& command) {
  if (command.has_transaction_id() && !command.transaction_id().empty())
    throw CallError(Code::kUnimplemented, "transactions are not served");
}

// The user of "authorization: Basic ..."; nothing is checked, as the network is trusted.
std::string user_of(const rpc::Metadata& metadata) {
  const std::string_view value = rpc::find_value(metadata, "authorization");
  constexpr std::string_view kBasic = "Basic ";
  if (!value.starts_with(kBasic)) return "";
  std::string text;
  uint32_t bits = 0;
  int have = 0;
  for (const char c : value.substr(kBasic.size())) {
    int six = 0;
    if (c >= 'A' && c <= 'Z')
      six = c - 'A';
    else if (c >= 'a' && c <= 'z')
      six = c - 'a' + 26;
    else if (c >= '0' && c <= '9')
      six = c - '0' + 52;
    else if (c == '+')
      six = 62;
    else if (c == '/')
      six = 63;
    else
      break;
    bits = bits << 6 | six;
    have += 6;
    if (have >= 8) {
      have -= 8;
      text += static_cast<char>(bits >> have & 0xff);
    }
  }
  return text.substr(0, text.find(':'));
}

}  // namespace

// One request's answer on its way from the dispatcher to the client's call.
class FlightSqlServer::Reply : public dispatch::ResponseSink {
 public:
  void write(std::string message) override {
    queue.push_back(std::move(message));
    changed.set();
  }
  void finish(const dispatch::FinalResponse& end) override {
    answer = end;
    changed.set();
  }
  void abort(bool by_cancel) {
    if (answer || gone || cancelled) return;
    (by_cancel ? cancelled : gone) = true;
    changed.set();
  }

  RequestId id = 0;
  schemas::CachedStatement
      subject;  // whose columns the first message shows; none: they aren't learned from it
  uint64_t promised = 0;
  schemas::SchemaCache::ChangeCount asked = 0;
  bool other_schema = false;
  std::deque<std::string> queue;
  std::optional<dispatch::FinalResponse> answer;
  bool gone = false, cancelled = false;
  AsyncEvent changed;
};

FlightSqlServer::FlightSqlServer(const config::GatewayConfig& config, const FlightSqlServerSeeds& seeds,
                                 dispatch::RequestDispatcher& dispatcher, Clock& clock, Log& log)
    : limits_(config.flight_sql),
      selectors_(config.selectors),
      classes_(config.settings.classes),
      most_wait_us_(config.planning.max_wait_us),
      dispatcher_(dispatcher),
      clock_(clock),
      log_(log),
      tickets_(seeds.life, seeds.secret),
      prepared_({config.flight_sql.max_prepared_statements, config.flight_sql.max_prepared_bytes,
                 config.flight_sql.prepared_idle_timeout_us},
                seeds.handles),
      columns_(config.schema_cache, config.planning, config.planning_class, seeds.life, dispatcher, clock,
               log) {}

FlightSqlServer::~FlightSqlServer() = default;

void FlightSqlServer::set_selectors(config::SelectorSettings selectors) {
  // Other tables, or other classes for the same statements: what was learned may be of no use.
  if (selectors.tables != selectors_.tables) columns_.forget_all();
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
  std::string what;
  try {
    if (handler == nullptr)
      throw CallError(Code::kUnimplemented, "method " + call->method() + " is not served");
    co_await (this->*handler)(call);
  } catch (const CallError& e) {
    code = e.code;
    what = e.what();
  } catch (const arrowipc::FormatError& e) {
    code = Code::kInvalidArgument;
    what = e.what();
  } catch (const std::exception& e) {
    code = Code::kInternal;
    what = e.what();
    log_.error("request_aborted", {{"method", call->method()}, {"error", what}});
  }
  if (code != Code::kOk) co_await fail(call, code, what);
}

Awaitable<void> FlightSqlServer::fail(CallPtr call, Code code, std::string message) {
  rpc::Status status = make_error(code, std::move(message));
  rpc::Metadata trailers;
  std::optional<std::string> last;
  co_await call->finish(std::move(status), std::move(trailers), std::move(last));
}

Awaitable<void> FlightSqlServer::reply(CallPtr call, std::string message) {
  rpc::Status status;
  rpc::Metadata trailers;
  std::optional<std::string> last = std::move(message);
  co_await call->finish(std::move(status), std::move(trailers), std::move(last));
}

Awaitable<void> FlightSqlServer::handshake(CallPtr call) {
  std::optional<std::string> first = co_await call->read();
  if (!first) wrong("a HandshakeRequest was expected");
  const auto request = parse<flight::HandshakeRequest>(*first, "the request");
  flight::HandshakeResponse response;
  response.set_protocol_version(request.protocol_version());
  response.set_payload(request.payload());
  std::string bytes = response.SerializeAsString();
  co_await reply(call, std::move(bytes));
}

std::string FlightSqlServer::checked_statement(std::string text) const {
  if (text.empty()) wrong("the statement is empty");
  if (text.size() > limits_.max_statement_bytes)
    wrong("the statement has " + std::to_string(text.size()) + " bytes; " +
          std::to_string(limits_.max_statement_bytes) + " are allowed");
  return text;
}

PreparedStatements::Found FlightSqlServer::find_prepared(const std::string& handle) {
  auto found = prepared_.find(clock_.now(), handle);
  if (!found)
    throw CallError(Code::kNotFound, "no such prepared statement; it may have been idle for too long");
  return *std::move(found);
}

std::string FlightSqlServer::prepared_statement(const std::string& handle) {
  const PreparedStatements::Found found = find_prepared(handle);
  try {
    return checked_statement(sql::substitute(found.statement, found.literals));
  } catch (const sql::ParameterCountError& e) {
    wrong(e.what());
  }
}

std::string FlightSqlServer::statement_of(const google::protobuf::Any& any) {
  if (any.Is<fsql::CommandStatementQuery>()) {
    auto command = unpack<fsql::CommandStatementQuery>(any);
    no_transaction(command);
    return checked_statement(std::move(*command.mutable_query()));
  }
  if (any.Is<fsql::CommandPreparedStatementQuery>())
    return prepared_statement(unpack<fsql::CommandPreparedStatementQuery>(any).prepared_statement_handle());
  throw CallError(Code::kUnimplemented, "command " + short_type(any.type_url()) + " is not served");
}

namespace {

// The table that a metadata command asks for; none where it is another command.
std::optional<ResultTable> metadata_table(const google::protobuf::Any& any,
                                          const std::vector<config::Table>& all) {
  if (any.Is<fsql::CommandGetSqlInfo>()) return sql_info(unpack<fsql::CommandGetSqlInfo>(any));
  if (any.Is<fsql::CommandGetCatalogs>()) return catalogs(all);
  if (any.Is<fsql::CommandGetDbSchemas>()) return db_schemas(all, unpack<fsql::CommandGetDbSchemas>(any));
  if (any.Is<fsql::CommandGetTables>()) return tables(all, unpack<fsql::CommandGetTables>(any));
  if (any.Is<fsql::CommandGetTableTypes>()) return table_types();
  if (any.Is<fsql::CommandGetXdbcTypeInfo>())
    return xdbc_type_info(unpack<fsql::CommandGetXdbcTypeInfo>(any));
  if (any.Is<fsql::CommandGetPrimaryKeys>()) return no_primary_keys();
  if (any.Is<fsql::CommandGetExportedKeys>() || any.Is<fsql::CommandGetImportedKeys>() ||
      any.Is<fsql::CommandGetCrossReference>())
    return no_foreign_keys();
  return std::nullopt;
}

}  // namespace

namespace {

flight::FlightDescriptor read_descriptor(const std::optional<std::string>& message) {
  if (!message) wrong("a FlightDescriptor was expected");
  auto descriptor = parse<flight::FlightDescriptor>(*message, "the request");
  if (descriptor.type() != flight::FlightDescriptor::CMD)
    wrong("the FlightDescriptor holds no command: its type must be CMD");
  return descriptor;
}

// An engine says that the statement is at fault: what asks for a plan alone is told so.
[[noreturn]] void plan_failed(const dispatch::EngineError& error) {
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
    std::string text = statement_of(any);
    const Columns::Told told = co_await columns_of(call, std::move(text), false);
    if (told.error.code != 0) plan_failed(told.error);
    if (told.dataset.empty())
      throw CallError(Code::kUnavailable, "the columns aren't known and can't be asked for now");
    result.set_schema(told.dataset);
  }
  std::string bytes = result.SerializeAsString();
  co_await reply(call, std::move(bytes));
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
    const std::string text = statement_of(any);
    // Where an engine finds fault with the statement, running it will tell: perhaps another doesn't.
    const Columns::Told told = co_await columns_of(call, text, false);
    info.set_schema(told.dataset);
    handle.set_statement_handle(tickets_.issue(text, Columns::hash(told.dataset)));
    ticket.set_ticket(pack(handle));
  }
  std::string bytes = info.SerializeAsString();
  co_await reply(call, std::move(bytes));
}

// One after the other, and no more than a client waits for one plan: what isn't known by then isn't told.
Awaitable<std::vector<std::string>> FlightSqlServer::table_schemas(CallPtr call,
                                                                   const fsql::CommandGetTables& command) {
  std::vector<std::string> out;
  const TimeUs until = clock_.now() + most_wait_us_;
  for (std::string& text : table_statements(selectors_.tables, command)) {
    if (clock_.now() >= until || call->cancelled()) break;
    const Columns::Told told = co_await columns_of(call, std::move(text), false);
    out.push_back(told.dataset);
  }
  co_return out;
}

Awaitable<void> FlightSqlServer::do_get(CallPtr call) {
  std::optional<std::string> message = co_await call->read();
  if (!message) wrong("a Ticket was expected");
  const auto any = parse_any(parse<flight::Ticket>(*message, "the request").ticket(), "the ticket");
  if (auto table = metadata_table(any, selectors_.tables)) {
    if (any.Is<fsql::CommandGetTables>()) {
      const auto command = unpack<fsql::CommandGetTables>(any);
      if (command.include_schema()) {
        const std::vector<std::string> schemas = co_await table_schemas(call, command);
        table = tables(selectors_.tables, command, schemas);
      }
    }
    std::string bytes = flight_data(arrowipc::encode_schema(table->schema));
    const bool written = co_await call->write(std::move(bytes));
    if (!written) co_return;
    bytes = flight_data(arrowipc::encode_batch(table->schema, table->batch));
    co_await reply(call, std::move(bytes));
    co_return;
  }
  if (!any.Is<fsql::TicketStatementQuery>())
    throw CallError(Code::kUnimplemented, "ticket " + short_type(any.type_url()) + " is not served");
  OpenedTicket opened = tickets_.open(unpack<fsql::TicketStatementQuery>(any).statement_handle());
  if (opened.fault != TicketFault::kNone)
    throw CallError(opened.fault == TicketFault::kForeign ? Code::kNotFound : Code::kInvalidArgument,
                    ticket_fault_text(opened.fault));
  const bool repeat = !tickets_.first_use(opened.serial);
  std::string text = std::move(opened.statement);
  Ran ran = co_await run(call, std::move(text), false, opened, repeat);
  co_await finish(call, std::move(ran));
}

// What the client is told in the end. A client that has gone is told nothing.
Awaitable<void> FlightSqlServer::finish(CallPtr call, Ran ran) {
  if (ran.gone) co_return;
  if (ran.cancelled) {
    std::string what = "cancelled by the client's own request";
    co_await fail(call, Code::kCancelled, std::move(what));
    co_return;
  }
  ClientEnd end = map_final_answer(ran.answer);
  if (ran.other_schema) end.trailers.emplace_back(kSchemaKey, "changed");
  std::optional<std::string> last;
  if (!ran.message.empty()) last = std::move(ran.message);
  co_await call->finish(std::move(end.status), std::move(end.trailers), std::move(last));
}

FlightSqlServer::Placed FlightSqlServer::place(const rpc::ServerCall& call, std::string text) const {
  Placed placed;
  placed.info = sql::inspect(text);
  placed.text = std::move(text);
  const std::string user = user_of(call.metadata());
  config::RequestAttributes attributes;
  attributes.user = user;
  attributes.headers = &call.metadata();
  attributes.statement = &placed.info;
  placed.chosen = config::classify(selectors_, attributes);
  return placed;
}

Awaitable<Columns::Told> FlightSqlServer::columns_of(CallPtr call, std::string text, bool with_parameters) {
  Placed placed = place(*call, std::move(text));
  const int cls = placed.chosen.class_index;
  return columns_.tell(std::move(call), std::move(placed.text), std::move(placed.info), cls, with_parameters);
}

QueryRequest FlightSqlServer::request_of(const rpc::ServerCall& call, const Placed& placed, bool update,
                                         bool repeat) const {
  const config::Classification& chosen = placed.chosen;
  QueryRequest query;
  query.class_index = chosen.class_index;
  query.tenant = chosen.tenant;
  query.key = chosen.key;
  query.table_group = chosen.table_group;
  query.estimated_cost_us = chosen.estimated_cost_us;
  query.estimated_memory_mb = chosen.estimated_memory_mb;
  query.is_client_retry = repeat;
  query.is_write = update || placed.info.writes;
  query.deadline = clock_.now() + (call.client_timeout_us()
                                       ? due_after(*call.client_timeout_us(), limits_.response_margin_us)
                                       : classes_[chosen.class_index].request_timeout_us);
  return query;
}

Awaitable<FlightSqlServer::Ran> FlightSqlServer::run(CallPtr call, std::string text, bool update,
                                                     const OpenedTicket& ticket, bool repeat) {
  const uint64_t serial = ticket.serial;
  Ran ran;
  size_t& open = open_by_peer_[call->peer()];
  if (open >= limits_.max_open_requests_per_connection) {
    ran.answer.status = dispatch::RequestStatus::kRejected;
    ran.answer.reason = dispatch::CompletionReason::kConnectionLimit;
    co_return ran;
  }
  ++open;
  const Placed placed = place(*call, std::move(text));
  const QueryRequest query = request_of(*call, placed, update, repeat);
  const bool defines = placed.info.kind == sql::StatementKind::kDefinition;
  if (defines) columns_.defined(placed.info.tables);
  auto statement = std::make_shared<dispatch::Statement>();
  statement->text = placed.text;
  statement->kind = update ? dispatch::ExecutionKind::kUpdate : dispatch::ExecutionKind::kQuery;
  statement->client_tag = rpc::find_value(call->metadata(), kClientTagKey);

  const auto reply = std::make_shared<Reply>();
  if (!update && placed.info.kind == sql::StatementKind::kQuery) {
    reply->subject = columns_.subject(placed.text, placed.info, placed.chosen.class_index);
    reply->promised = ticket.promised;
    reply->asked = columns_.moment();
  }
  reply->id = dispatcher_.submit(query, std::move(statement), reply);
  auto listed = running_.end();
  if (serial != 0) listed = running_.emplace(serial, reply);
  call->on_cancelled([this, reply] {
    dispatcher_.on_client_disconnected(reply->id);
    reply->abort(false);
  });
  co_await forward(call, reply, update, &ran.message);
  dispatcher_.on_client_disconnected(
      reply->id);  // what isn't consumed is nobody's any more; nothing where it is over
  if (listed != running_.end()) running_.erase(listed);
  const auto peer = open_by_peer_.find(call->peer());
  if (--peer->second == 0) open_by_peer_.erase(peer);
  if (defines) columns_.defined(placed.info.tables);  // what was asked meanwhile may be older or newer
  ran.other_schema = reply->other_schema;
  ran.gone = reply->gone;
  ran.cancelled = reply->cancelled;
  if (reply->answer) ran.answer = *reply->answer;
  co_return ran;
}

Awaitable<void> FlightSqlServer::forward(CallPtr call, std::shared_ptr<Reply> reply, bool update,
                                         std::string* kept) {
  for (;;) {
    while (!reply->queue.empty() && !reply->gone && !reply->cancelled) {
      std::string message = std::move(reply->queue.front());
      reply->queue.pop_front();
      const size_t size = message.size();
      if (!reply->subject.key.empty()) {
        // The first message alone shows the schema; what comes after it is none of the store's business.
        const schemas::CachedStatement subject = std::exchange(reply->subject, {});
        reply->other_schema =
            columns_.answered(subject, message, reply->promised, reply->asked) == Columns::Seen::kOther;
      }
      if (update || (reply->answer && reply->queue.empty() &&
                     reply->answer->status == dispatch::RequestStatus::kServed)) {
        *kept = std::move(message);  // goes out together with the end, or is the caller's
        dispatcher_.on_response_consumed(reply->id, size);
        continue;
      }
      const bool written = co_await call->write(std::move(message));
      if (!written) {
        dispatcher_.on_client_disconnected(reply->id);
        reply->abort(false);
        co_return;
      }
      dispatcher_.on_response_consumed(reply->id, size);
    }
    if (reply->answer || reply->gone || reply->cancelled) co_return;
    co_await reply->changed.wait();
  }
}

Awaitable<void> FlightSqlServer::do_put(CallPtr call) {
  std::optional<std::string> message = co_await call->read();
  if (!message) wrong("a FlightData with a descriptor was expected");
  const auto data = parse<flight::FlightData>(*message, "the first message");
  if (!data.has_flight_descriptor() || data.flight_descriptor().type() != flight::FlightDescriptor::CMD)
    wrong("the first message of DoPut must have a descriptor with a command");
  const auto any = parse_any(data.flight_descriptor().cmd(), "the descriptor's command");
  if (any.Is<fsql::CommandStatementUpdate>()) {
    auto command = unpack<fsql::CommandStatementUpdate>(any);
    no_transaction(command);
    std::string text = checked_statement(std::move(*command.mutable_query()));
    const OpenedTicket none;
    Ran ran = co_await run(call, std::move(text), true, none, false);
    co_await finish(call, std::move(ran));
  } else if (any.Is<fsql::CommandPreparedStatementQuery>()) {
    const auto command = unpack<fsql::CommandPreparedStatementQuery>(any);
    co_await bind(call, command.prepared_statement_handle(), std::move(*message));
  } else if (any.Is<fsql::CommandPreparedStatementUpdate>()) {
    const auto command = unpack<fsql::CommandPreparedStatementUpdate>(any);
    co_await update_prepared(call, command.prepared_statement_handle(), std::move(*message));
  } else {
    throw CallError(Code::kUnimplemented, "command " + short_type(any.type_url()) + " is not served");
  }
}

Awaitable<std::vector<std::vector<std::string>>> FlightSqlServer::read_rows(CallPtr call, std::string first) {
  std::vector<std::vector<std::string>> rows;
  std::optional<arrowipc::Schema> schema;
  size_t bytes = 0;
  std::optional<std::string> message = std::move(first);
  for (; message; message = co_await call->read()) {
    const auto data = parse<flight::FlightData>(*message, "a message of the parameters");
    bytes += message->size();
    if (bytes > limits_.max_message_bytes)
      wrong("the parameters have more than the " + std::to_string(limits_.max_message_bytes) +
            " bytes allowed");
    if (data.data_header().empty()) continue;
    if (!schema) {
      schema = arrowipc::decode_schema(data.data_header());
      continue;
    }
    const arrowipc::Batch batch = arrowipc::decode_batch(*schema, data.data_header(), data.data_body());
    if (rows.size() + batch.rows > kMostRows)
      wrong("more than " + std::to_string(kMostRows) + " rows of parameters in one call");
    for (int64_t r = 0; r < batch.rows; ++r) {
      std::vector<std::string> row;
      for (size_t c = 0; c < schema->fields.size(); ++c)
        row.push_back(literal_of(schema->fields[c], batch.columns[c], r));
      rows.push_back(std::move(row));
    }
  }
  co_return rows;
}

Awaitable<void> FlightSqlServer::bind(CallPtr call, const std::string& handle, std::string first) {
  std::vector<std::vector<std::string>> rows = co_await read_rows(call, std::move(first));
  if (rows.size() > 1) wrong("a query takes one row of parameters, not " + std::to_string(rows.size()));
  const PreparedStatements::Found found = find_prepared(handle);
  std::vector<std::string> row = rows.empty() ? std::vector<std::string>() : std::move(rows[0]);
  const size_t wanted = sql::count_parameters(found.statement);
  if (row.size() != wanted)
    wrong("the statement has " + std::to_string(wanted) + " parameters, but " + std::to_string(row.size()) +
          " are bound");
  if (!prepared_.bind(clock_.now(), handle, std::move(row)))
    throw CallError(Code::kResourceExhausted, "no room for further bound parameters");
  fsql::DoPutPreparedStatementResult result;
  result.set_prepared_statement_handle(handle);
  flight::PutResult put;
  put.set_app_metadata(result.SerializeAsString());
  std::string bytes = put.SerializeAsString();
  co_await reply(call, std::move(bytes));
}

Awaitable<void> FlightSqlServer::update_prepared(CallPtr call, const std::string& handle, std::string first) {
  std::vector<std::vector<std::string>> rows = co_await read_rows(call, std::move(first));
  const PreparedStatements::Found found = find_prepared(handle);
  if (rows.empty()) rows.push_back(found.literals);
  // Each row is a request of its own; they run in turn, and the first that isn't served ends the call.
  int64_t records = 0;
  const OpenedTicket none;
  Ran ran;
  for (size_t i = 0; i < rows.size(); ++i) {
    std::string text;
    try {
      text = checked_statement(sql::substitute(found.statement, rows[i]));
    } catch (const sql::ParameterCountError& e) {
      wrong(e.what());
    }
    ran = co_await run(call, std::move(text), true, none, false);
    if (ran.gone || ran.cancelled || ran.answer.status != dispatch::RequestStatus::kServed) {
      // Whatever the reason, earlier rows have run: a promise that trying again is harmless would be wrong.
      if (i > 0 && !ran.gone && !ran.cancelled) {
        ran.answer.status = dispatch::RequestStatus::kFailed;
        if (ran.answer.reason != dispatch::CompletionReason::kStatementError)
          ran.answer.reason = dispatch::CompletionReason::kPolicyDecision;
        ran.answer.error.message = "row " + std::to_string(i + 1) + " of " + std::to_string(rows.size()) +
                                   ", earlier ones have run: " + ran.answer.error.message;
        if (ran.answer.error.code == 0) ran.answer.error.code = static_cast<int>(Code::kUnknown);
      }
      break;
    }
    flight::PutResult put;
    fsql::DoPutUpdateResult result;
    if (put.ParseFromString(ran.message) && result.ParseFromString(put.app_metadata()))
      records += result.record_count();
  }
  if (ran.answer.status == dispatch::RequestStatus::kServed && !ran.gone && !ran.cancelled) {
    fsql::DoPutUpdateResult result;
    result.set_record_count(records);
    flight::PutResult put;
    put.set_app_metadata(result.SerializeAsString());
    ran.message = put.SerializeAsString();
  }
  co_await finish(call, std::move(ran));
}

Awaitable<void> FlightSqlServer::do_action(CallPtr call) {
  std::optional<std::string> message = co_await call->read();
  if (!message) wrong("an Action was expected");
  const auto action = parse<flight::Action>(*message, "the request");
  flight::Result result;
  if (action.type() == "CreatePreparedStatement") {
    std::string body = action.body();
    std::string created = co_await create_prepared(call, std::move(body));
    result.set_body(std::move(created));
  } else if (action.type() == "ClosePreparedStatement") {
    const auto request =
        unpack<fsql::ActionClosePreparedStatementRequest>(parse_any(action.body(), "the action's body"));
    prepared_.close(request.prepared_statement_handle());  // closing twice is no fault
    rpc::Status status;
    rpc::Metadata trailers;
    std::optional<std::string> last;
    co_await call->finish(std::move(status), std::move(trailers), std::move(last));
    co_return;
  } else if (action.type() == "CancelFlightInfo") {
    const auto request = parse<flight::CancelFlightInfoRequest>(action.body(), "the action's body");
    flight::CancelFlightInfoResult cancelled;
    cancelled.set_status(static_cast<flight::CancelStatus>(cancel(request.info())));
    result.set_body(cancelled.SerializeAsString());
  } else if (action.type() == "CancelQuery") {
    const auto request =
        unpack<fsql::ActionCancelQueryRequest>(parse_any(action.body(), "the action's body"));
    const auto info = parse<flight::FlightInfo>(request.info(), "the query's info");
    fsql::ActionCancelQueryResult cancelled;
    cancelled.set_result(cancel(info));
    result.set_body(pack(cancelled));
  } else if (action.type() == "CloseSession") {  // a gateway keeps no sessions: there is nothing left of one
    flight::CloseSessionResult closed;
    closed.set_status(flight::CloseSessionResult::CLOSED);
    result.set_body(closed.SerializeAsString());
  } else {
    throw CallError(Code::kUnimplemented, "action " + action.type() + " is not served");
  }
  std::string bytes = result.SerializeAsString();
  co_await reply(call, std::move(bytes));
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
  co_await reply(call, std::move(bytes));
}

Awaitable<std::string> FlightSqlServer::create_prepared(CallPtr call, std::string body) {
  auto request = unpack<fsql::ActionCreatePreparedStatementRequest>(parse_any(body, "the action's body"));
  no_transaction(request);
  const std::string text = checked_statement(std::move(*request.mutable_query()));
  const Columns::Told told = co_await columns_of(call, text, true);
  if (told.error.code != 0) plan_failed(told.error);
  const auto handle = prepared_.create(clock_.now(), text);
  if (!handle)
    throw CallError(Code::kResourceExhausted, "no room for further prepared statements; close some");
  fsql::ActionCreatePreparedStatementResult created;
  created.set_prepared_statement_handle(*handle);
  created.set_dataset_schema(told.dataset);
  created.set_parameter_schema(told.parameters);
  co_return pack(created);
}

// Cancels whatever runs on the info's tickets. The two actions' results have the same numbers.
fsql::ActionCancelQueryResult::CancelResult FlightSqlServer::cancel(const flight::FlightInfo& info) {
  bool found = false;
  for (const flight::FlightEndpoint& endpoint : info.endpoint()) {
    const auto any = parse_any(endpoint.ticket().ticket(), "the ticket");
    const OpenedTicket opened = tickets_.open(unpack<fsql::TicketStatementQuery>(any).statement_handle());
    if (opened.fault != TicketFault::kNone)
      throw CallError(opened.fault == TicketFault::kForeign ? Code::kNotFound : Code::kInvalidArgument,
                      ticket_fault_text(opened.fault));
    const auto [begin, end] = running_.equal_range(opened.serial);
    for (auto it = begin; it != end; ++it) {
      const std::shared_ptr<Reply> reply = it->second.lock();
      if (!reply || reply->answer) continue;
      dispatcher_.on_client_disconnected(reply->id);
      reply->abort(true);
      found = true;
    }
  }
  return found ? fsql::ActionCancelQueryResult::CANCEL_RESULT_CANCELLED
               : fsql::ActionCancelQueryResult::CANCEL_RESULT_NOT_CANCELLABLE;
}

}  // namespace sablelink::flightsql
