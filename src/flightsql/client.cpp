#include "flightsql/client.h"

#include <algorithm>

#include "base/async_event.h"
#include "flightsql/messages.h"
#include "flightsql/terms.h"

namespace sablelink::flightsql {
namespace {

using rpc::Awaitable;
using rpc::Code;

constexpr TimeUs kStopsUs = 60'000'000;  // a reader that stops looks for an end after its patience, or this

rpc::Status no_connection() { return {Code::kUnavailable, "no connection to the gateway", ""}; }

rpc::Status time_up() { return {Code::kDeadlineExceeded, "the client's time is up", ""}; }

void read_end(const rpc::CallResult& end, QueryResult& out) {
  out.status = end.status;
  out.from_gateway = end.status.ok() || !end.trailers.empty();
  const std::string_view verdict = rpc::find_value(end.trailers, kVerdictKey);
  if (verdict == "served" || (verdict.empty() && end.status.ok()))
    out.verdict = dispatch::RequestStatus::kServed;
  else if (verdict == "refused" || (verdict.empty() && end.status.code == Code::kUnavailable))
    out.verdict = dispatch::RequestStatus::kRejected;
  else
    out.verdict = dispatch::RequestStatus::kFailed;
  out.reason = rpc::find_value(end.trailers, kReasonKey);
  out.attempts = find_number(end.trailers, kAttemptsKey, 0);
  out.schema_changed = rpc::find_value(end.trailers, kSchemaKey) == "changed";
  out.retry_after_us = read_details(end.status).retry_after_us;
}

}  // namespace

void Canceller::add(const std::shared_ptr<rpc::ClientCall>& call) {
  const std::lock_guard lock(mutex_);
  std::erase_if(calls_, [](const std::weak_ptr<rpc::ClientCall>& c) { return c.expired(); });
  calls_.push_back(call);
}

void Canceller::cancel_all() {
  const std::lock_guard lock(mutex_);
  for (const std::weak_ptr<rpc::ClientCall>& weak : calls_)
    if (const auto call = weak.lock()) call->cancel();
}

Awaitable<std::optional<rpc::Status>> Client::reach(ClientOptions* options) {
  const TimeUs begin = clock_.now();
  const bool connected = co_await channel_->connect(options->dial_timeout_us);
  if (!connected) co_return no_connection();
  if (!spend(options, begin)) co_return time_up();
  co_return std::nullopt;
}

bool Client::spend(ClientOptions* options, TimeUs begin) const {
  if (options->timeout_us == 0) return true;
  options->timeout_us -= clock_.now() - begin;
  return options->timeout_us > 0;
}

std::shared_ptr<rpc::ClientCall> Client::call(std::string_view method, const ClientOptions& options) {
  std::shared_ptr<rpc::ClientCall> made =
      channel_->call(std::string(kServicePrefix) + std::string(method), options.headers, options.timeout_us);
  if (options.cancel) options.cancel->add(made);
  return made;
}

Awaitable<Client::Ticket> Client::ask(std::string statement, ClientOptions options) {
  Ticket out;
  const std::optional<rpc::Status> hindered = co_await reach(&options);
  if (hindered) {
    out.connected = hindered->code != Code::kUnavailable;
    out.status = *hindered;
    co_return out;
  }
  fsql::CommandStatementQuery command;
  command.set_query(std::move(statement));
  std::shared_ptr<rpc::ClientCall> made = call("GetFlightInfo", options);
  std::string bytes = descriptor_of(command).SerializeAsString();
  co_await made->write(std::move(bytes), true);
  const std::optional<std::string> message = co_await made->read();
  const rpc::CallResult end = co_await made->finish();
  out.status = end.status;
  flight::FlightInfo info;
  if (end.status.ok() && (!message || !info.ParseFromString(*message) || info.endpoint_size() == 0))
    out.status = make_error(Code::kInternal, "the answer to GetFlightInfo has no endpoint");
  if (out.status.ok()) {
    out.info = *message;
    out.ticket = info.endpoint(0).ticket().SerializeAsString();
  }
  co_return out;
}

Awaitable<QueryResult> Client::fetch(std::string ticket, ClientOptions options, OnBatch on_batch) {
  QueryResult out;
  out.connected = true;
  std::shared_ptr<rpc::ClientCall> made = call("DoGet", options);
  co_await made->write(std::move(ticket), true);
  std::string problem;
  for (int number = 0;; ++number) {
    if (options.read_every_us > 0) co_await sleep_for(clock_, options.read_every_us);
    if (options.stops_after == number)
      co_await sleep_for(clock_, options.timeout_us > 0 ? options.timeout_us : kStopsUs);
    std::optional<std::string> message = co_await made->read();
    if (!message) break;
    flight::FlightData data;
    if (!problem.empty()) continue;
    try {
      if (!data.ParseFromString(*message)) throw arrowipc::FormatError("a message is no FlightData");
      if (data.data_header().empty()) continue;
      if (!out.has_schema) {
        out.schema = arrowipc::decode_schema(data.data_header());
        out.has_schema = true;
        continue;
      }
      arrowipc::Batch batch = arrowipc::decode_batch(out.schema, data.data_header(), data.data_body());
      out.rows += batch.rows;
      if (on_batch)
        on_batch(out.schema, batch);
      else
        out.batches.push_back(std::move(batch));
    } catch (const arrowipc::FormatError& e) {
      problem = e.what();
      made->cancel();
    }
  }
  const rpc::CallResult end = co_await made->finish();
  read_end(end, out);
  if (!problem.empty()) {
    out.verdict = dispatch::RequestStatus::kFailed;
    out.status = make_error(Code::kInternal, problem);
  }
  co_return out;
}

Awaitable<QueryResult> Client::query(std::string statement, ClientOptions options, OnBatch on_batch) {
  const TimeUs begin = clock_.now();
  ClientOptions copy = options;
  Ticket ticket = co_await ask(std::move(statement), std::move(copy));
  if (ticket.status.ok() && !spend(&options, begin)) ticket.status = time_up();
  if (!ticket.status.ok()) {
    QueryResult out;
    out.connected = ticket.connected;
    out.status = ticket.status;
    // Nothing has run: GetFlightInfo does no work.
    out.verdict = ticket.status.code == Code::kUnavailable ? dispatch::RequestStatus::kRejected
                                                           : dispatch::RequestStatus::kFailed;
    co_return out;
  }
  QueryResult result = co_await fetch(std::move(ticket.ticket), std::move(options), std::move(on_batch));
  flight::FlightInfo info;
  if (info.ParseFromString(ticket.info) && !info.schema().empty()) {
    try {
      result.promised = arrowipc::decode_encapsulated_schema(info.schema());
    } catch (const arrowipc::FormatError& e) {
      result.verdict = dispatch::RequestStatus::kFailed;
      result.status = make_error(Code::kInternal, std::string("the FlightInfo's schema: ") + e.what());
    }
  }
  co_return result;
}

Awaitable<QueryResult> Client::update(std::string statement, ClientOptions options) {
  QueryResult out;
  const std::optional<rpc::Status> hindered = co_await reach(&options);
  out.connected = !hindered || hindered->code != Code::kUnavailable;
  if (hindered) {
    out.status = *hindered;
    if (!out.connected) out.verdict = dispatch::RequestStatus::kRejected;
    co_return out;
  }
  fsql::CommandStatementUpdate command;
  command.set_query(std::move(statement));
  flight::FlightData data;
  *data.mutable_flight_descriptor() = descriptor_of(command);
  std::shared_ptr<rpc::ClientCall> made = call("DoPut", options);
  std::string bytes = data.SerializeAsString();
  co_await made->write(std::move(bytes), true);
  while (const std::optional<std::string> message = co_await made->read()) {
    flight::PutResult put;
    fsql::DoPutUpdateResult result;
    if (put.ParseFromString(*message) && result.ParseFromString(put.app_metadata()))
      out.updated = result.record_count();
  }
  const rpc::CallResult end = co_await made->finish();
  read_end(end, out);
  co_return out;
}

Awaitable<Client::ActionResult> Client::action(std::string type, std::string body, ClientOptions options) {
  ActionResult out;
  const std::optional<rpc::Status> hindered = co_await reach(&options);
  if (hindered) {
    out.status = *hindered;
    co_return out;
  }
  flight::Action action;
  action.set_type(std::move(type));
  action.set_body(std::move(body));
  std::shared_ptr<rpc::ClientCall> made = call("DoAction", options);
  std::string bytes = action.SerializeAsString();
  co_await made->write(std::move(bytes), true);
  while (const std::optional<std::string> message = co_await made->read()) {
    flight::Result result;
    if (result.ParseFromString(*message)) out.bodies.push_back(result.body());
  }
  const rpc::CallResult end = co_await made->finish();
  out.status = end.status;
  co_return out;
}

}  // namespace sablelink::flightsql
