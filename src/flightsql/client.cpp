#include "flightsql/client.h"

#include <algorithm>

#include "base/async_event.h"
#include "flightsql/messages.h"
#include "flightsql/protocol.h"

namespace sablelink::flightsql {
namespace {

using rpc::Awaitable;
using rpc::Code;

constexpr TimeUs kDefaultStallUs = 60'000'000;  // how long a reader stalls where it has no time-out

rpc::Status connection_error() { return {Code::kUnavailable, "no connection to the gateway", ""}; }

rpc::Status timeout_error() { return {Code::kDeadlineExceeded, "the client's time is up", ""}; }

void read_call_result(const rpc::CallResult& call_result, QueryResult& result) {
  result.status = call_result.status;
  result.from_gateway = call_result.status.ok() || !call_result.trailers.empty();
  const std::string_view verdict = rpc::find_value(call_result.trailers, kVerdictKey);
  if (verdict == "served" || (verdict.empty() && call_result.status.ok()))
    result.verdict = dispatch::RequestStatus::kServed;
  else if (verdict == "refused" || (verdict.empty() && call_result.status.code == Code::kUnavailable))
    result.verdict = dispatch::RequestStatus::kRejected;
  else
    result.verdict = dispatch::RequestStatus::kFailed;
  result.reason = rpc::find_value(call_result.trailers, kReasonKey);
  result.attempts = find_number(call_result.trailers, kAttemptsKey, 0);
  result.schema_changed = rpc::find_value(call_result.trailers, kSchemaKey) == "changed";
  result.retry_after_us = read_details(call_result.status).retry_after_us;
}

}  // namespace

void CallCanceller::add(const std::shared_ptr<rpc::ClientCall>& call) {
  const std::lock_guard lock(mutex_);
  std::erase_if(calls_, [](const std::weak_ptr<rpc::ClientCall>& c) { return c.expired(); });
  calls_.push_back(call);
}

void CallCanceller::cancel_all() {
  const std::lock_guard lock(mutex_);
  for (const std::weak_ptr<rpc::ClientCall>& weak : calls_)
    if (const auto call = weak.lock()) call->cancel();
}

Awaitable<std::optional<rpc::Status>> Client::connect_in_time(ClientOptions* options) {
  const TimeUs begin = clock_.now();
  const bool connected = co_await channel_->connect(options->connect_timeout_us);
  if (!connected) co_return connection_error();
  if (!deduct_elapsed(options, begin)) co_return timeout_error();
  co_return std::nullopt;
}

bool Client::deduct_elapsed(ClientOptions* options, TimeUs begin) const {
  if (options->timeout_us == 0) return true;
  options->timeout_us -= clock_.now() - begin;
  return options->timeout_us > 0;
}

std::shared_ptr<rpc::ClientCall> Client::start_call(std::string_view method, const ClientOptions& options) {
  std::shared_ptr<rpc::ClientCall> call =
      channel_->call(std::string(kServicePrefix) + std::string(method), options.headers, options.timeout_us);
  if (options.canceller) options.canceller->add(call);
  return call;
}

Awaitable<Client::Ticket> Client::get_ticket(std::string statement, ClientOptions options) {
  Ticket result;
  const std::optional<rpc::Status> connect_error = co_await connect_in_time(&options);
  if (connect_error) {
    result.connected = connect_error->code != Code::kUnavailable;
    result.status = *connect_error;
    co_return result;
  }
  fsql::CommandStatementQuery command;
  command.set_query(std::move(statement));
  std::shared_ptr<rpc::ClientCall> call = start_call("GetFlightInfo", options);
  std::string bytes = descriptor_of(command).SerializeAsString();
  co_await call->write(std::move(bytes), true);
  const std::optional<std::string> message = co_await call->read();
  const rpc::CallResult call_result = co_await call->finish();
  result.status = call_result.status;
  flight::FlightInfo info;
  if (call_result.status.ok() && (!message || !info.ParseFromString(*message) || info.endpoint_size() == 0))
    result.status = make_error(Code::kInternal, "the answer to GetFlightInfo has no endpoint");
  if (result.status.ok()) {
    result.info = *message;
    result.ticket = info.endpoint(0).ticket().SerializeAsString();
  }
  co_return result;
}

Awaitable<QueryResult> Client::fetch(std::string ticket, ClientOptions options, OnBatch on_batch) {
  QueryResult result;
  result.connected = true;
  std::shared_ptr<rpc::ClientCall> call = start_call("DoGet", options);
  co_await call->write(std::move(ticket), true);
  std::string error;
  for (int number = 0;; ++number) {
    if (options.read_delay_us > 0) co_await sleep_for(clock_, options.read_delay_us);
    if (options.stall_after_messages == number)
      co_await sleep_for(clock_, options.timeout_us > 0 ? options.timeout_us : kDefaultStallUs);
    std::optional<std::string> message = co_await call->read();
    if (!message) break;
    flight::FlightData data;
    if (!error.empty()) continue;
    try {
      if (!data.ParseFromString(*message)) throw arrowipc::FormatError("a message is no FlightData");
      if (data.data_header().empty()) continue;
      if (!result.has_schema) {
        result.schema = arrowipc::decode_schema(data.data_header());
        result.has_schema = true;
        continue;
      }
      arrowipc::Batch batch = arrowipc::decode_batch(result.schema, data.data_header(), data.data_body());
      result.rows += batch.rows;
      if (on_batch)
        on_batch(result.schema, batch);
      else
        result.batches.push_back(std::move(batch));
    } catch (const arrowipc::FormatError& e) {
      error = e.what();
      call->cancel();
    }
  }
  const rpc::CallResult call_result = co_await call->finish();
  read_call_result(call_result, result);
  if (!error.empty()) {
    result.verdict = dispatch::RequestStatus::kFailed;
    result.status = make_error(Code::kInternal, error);
  }
  co_return result;
}

Awaitable<QueryResult> Client::query(std::string statement, ClientOptions options, OnBatch on_batch) {
  const TimeUs begin = clock_.now();
  ClientOptions copy = options;
  Ticket ticket = co_await get_ticket(std::move(statement), std::move(copy));
  if (ticket.status.ok() && !deduct_elapsed(&options, begin)) ticket.status = timeout_error();
  if (!ticket.status.ok()) {
    QueryResult result;
    result.connected = ticket.connected;
    result.status = ticket.status;
    // GetFlightInfo executes no part of the statement.
    result.verdict = ticket.status.code == Code::kUnavailable ? dispatch::RequestStatus::kRejected
                                                              : dispatch::RequestStatus::kFailed;
    co_return result;
  }
  QueryResult result = co_await fetch(std::move(ticket.ticket), std::move(options), std::move(on_batch));
  flight::FlightInfo info;
  if (info.ParseFromString(ticket.info) && !info.schema().empty()) {
    try {
      result.announced_schema = arrowipc::decode_encapsulated_schema(info.schema());
    } catch (const arrowipc::FormatError& e) {
      result.verdict = dispatch::RequestStatus::kFailed;
      result.status = make_error(Code::kInternal, std::string("the FlightInfo's schema: ") + e.what());
    }
  }
  co_return result;
}

Awaitable<QueryResult> Client::update(std::string statement, ClientOptions options) {
  QueryResult result;
  const std::optional<rpc::Status> connect_error = co_await connect_in_time(&options);
  result.connected = !connect_error || connect_error->code != Code::kUnavailable;
  if (connect_error) {
    result.status = *connect_error;
    if (!result.connected) result.verdict = dispatch::RequestStatus::kRejected;
    co_return result;
  }
  fsql::CommandStatementUpdate command;
  command.set_query(std::move(statement));
  flight::FlightData data;
  *data.mutable_flight_descriptor() = descriptor_of(command);
  std::shared_ptr<rpc::ClientCall> call = start_call("DoPut", options);
  std::string bytes = data.SerializeAsString();
  co_await call->write(std::move(bytes), true);
  while (const std::optional<std::string> message = co_await call->read()) {
    flight::PutResult put;
    fsql::DoPutUpdateResult update_result;
    if (put.ParseFromString(*message) && update_result.ParseFromString(put.app_metadata()))
      result.updated_rows = update_result.record_count();
  }
  const rpc::CallResult call_result = co_await call->finish();
  read_call_result(call_result, result);
  co_return result;
}

Awaitable<Client::ActionResult> Client::action(std::string type, std::string body, ClientOptions options) {
  ActionResult result;
  const std::optional<rpc::Status> connect_error = co_await connect_in_time(&options);
  if (connect_error) {
    result.status = *connect_error;
    co_return result;
  }
  flight::Action action;
  action.set_type(std::move(type));
  action.set_body(std::move(body));
  std::shared_ptr<rpc::ClientCall> call = start_call("DoAction", options);
  std::string bytes = action.SerializeAsString();
  co_await call->write(std::move(bytes), true);
  while (const std::optional<std::string> message = co_await call->read()) {
    flight::Result action_result;
    if (action_result.ParseFromString(*message)) result.bodies.push_back(action_result.body());
  }
  const rpc::CallResult call_result = co_await call->finish();
  result.status = call_result.status;
  co_return result;
}

}  // namespace sablelink::flightsql
