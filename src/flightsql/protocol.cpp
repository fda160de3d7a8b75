#include "flightsql/protocol.h"

#include <algorithm>
#include <cmath>

#include "orca.pb.h"
#include "status.pb.h"

namespace sablelink::flightsql {
namespace {

using rpc::Code;

std::optional<double> valid_metric(double value) {
  return std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
}

std::optional<double> find_metric(const google::protobuf::Map<std::string, double>& map, const char* name) {
  const auto it = map.find(name);
  return it == map.end() ? std::nullopt : valid_metric(it->second);
}

// Errors caused by the statement or its sender, which any node would return.
bool is_statement_error_code(Code code) {
  switch (code) {
    case Code::kInvalidArgument:
    case Code::kNotFound:
    case Code::kAlreadyExists:
    case Code::kPermissionDenied:
    case Code::kFailedPrecondition:
    case Code::kOutOfRange:
    case Code::kUnimplemented:
    case Code::kUnauthenticated:
      return true;
    default:
      return false;
  }
}

}  // namespace

NodeReport decode_load_report(std::string_view bytes) {
  NodeReport out;
  xds::data::orca::v3::OrcaLoadReport in;
  if (bytes.empty() || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return out;
  LoadReport load;
  load.in_flight = find_metric(in.named_metrics(), "held");
  load.waiting_for_memory = find_metric(in.named_metrics(), "waiting");
  // In these fields 0 can't be distinguished from a missing value, so 0 is used only where the report also
  // has a value for the queries in flight.
  if (in.cpu_utilization() > 0 || load.in_flight) load.cpu_utilization = valid_metric(in.cpu_utilization());
  if (in.mem_utilization() > 0 || load.in_flight)
    load.memory_utilization = valid_metric(in.mem_utilization());
  load.disk_utilization = find_metric(in.utilization(), "disk");
  if (load.in_flight || load.waiting_for_memory || load.cpu_utilization || load.memory_utilization ||
      load.disk_utilization)
    out.load = load;
  out.work_us = find_metric(in.request_cost(), "work_us");
  out.memory_used_mb = find_metric(in.request_cost(), "memory_mb");
  return out;
}

std::string encode_load_report(const NodeReport& report) {
  xds::data::orca::v3::OrcaLoadReport out;
  if (report.load) {
    const LoadReport& load = *report.load;
    if (load.cpu_utilization) out.set_cpu_utilization(*load.cpu_utilization);
    if (load.memory_utilization) out.set_mem_utilization(*load.memory_utilization);
    if (load.disk_utilization) (*out.mutable_utilization())["disk"] = *load.disk_utilization;
    if (load.in_flight) (*out.mutable_named_metrics())["held"] = *load.in_flight;
    if (load.waiting_for_memory) (*out.mutable_named_metrics())["waiting"] = *load.waiting_for_memory;
  }
  if (report.work_us) (*out.mutable_request_cost())["work_us"] = *report.work_us;
  if (report.memory_used_mb) (*out.mutable_request_cost())["memory_mb"] = *report.memory_used_mb;
  return out.SerializeAsString();
}

TimeUs response_time_limit(TimeUs client_timeout_us, TimeUs margin_us) {
  if (client_timeout_us <= margin_us / 10) return 0;
  return std::max(client_timeout_us - margin_us, client_timeout_us / 2);
}

rpc::Status make_error(Code code, std::string message) { return {code, std::move(message), ""}; }

rpc::Status make_error(Code code, std::string message, std::string_view domain, std::string_view reason,
                       TimeUs retry_after_us) {
  google::rpc::Status details;
  details.set_code(static_cast<int>(code));
  details.set_message(message);
  google::rpc::ErrorInfo info;
  info.set_domain(std::string(domain));
  info.set_reason(std::string(reason));
  details.add_details()->PackFrom(info);
  if (retry_after_us > 0) {
    google::rpc::RetryInfo retry;
    retry.mutable_retry_delay()->set_seconds(retry_after_us / 1'000'000);
    retry.mutable_retry_delay()->set_nanos(static_cast<int>(retry_after_us % 1'000'000) * 1000);
    details.add_details()->PackFrom(retry);
  }
  return {code, std::move(message), details.SerializeAsString()};
}

ErrorDetails read_details(const rpc::Status& status) {
  ErrorDetails out;
  google::rpc::Status details;
  if (!details.ParseFromString(status.details)) return out;
  for (const google::protobuf::Any& any : details.details()) {
    google::rpc::ErrorInfo info;
    google::rpc::RetryInfo retry;
    if (any.UnpackTo(&info)) {
      out.domain = info.domain();
      out.reason = info.reason();
    } else if (any.UnpackTo(&retry)) {
      const auto& delay = retry.retry_delay();
      // A protobuf Duration may be up to 10,000 years long; delays of more than a day make no difference
      // here.
      const int64_t seconds = std::min<int64_t>(std::max<int64_t>(delay.seconds(), 0), 86'400);
      out.retry_after_us = seconds * 1'000'000 + std::max(delay.nanos(), 0) / 1000;
    }
  }
  return out;
}

dispatch::AttemptResult map_call_end(const rpc::CallResult& end) {
  dispatch::AttemptResult out;
  const NodeReport report = decode_load_report(rpc::find_value(end.trailers, kLoadReportKey));
  out.load_report = report.load;
  if (end.status.ok()) {
    out.outcome = Outcome::kOk;
    out.work_us = report.work_us;
    out.memory_used_mb = report.memory_used_mb;
    return out;
  }
  out.error = {static_cast<int>(end.status.code), end.status.message};
  const ErrorDetails details = read_details(end.status);
  if (details.domain == kNodeDomain && details.reason == kNotAdmitted) {
    out.outcome = Outcome::kOverloaded;
  } else if (end.status.code == Code::kDeadlineExceeded) {
    out.outcome = Outcome::kTimeout;
  } else if (end.status.code == Code::kCancelled ||
             (end.status.code == Code::kUnavailable && end.trailers.empty())) {
    out.outcome = Outcome::kReset;  // a status made by this side's gRPC: the connection broke
  } else {
    out.outcome = Outcome::kError;
    out.is_statement_error = is_statement_error_code(end.status.code);
  }
  return out;
}

namespace {

std::string final_response_message(const dispatch::FinalResponse& response) {
  using dispatch::CompletionReason;
  std::string text;
  switch (response.reason) {
    case CompletionReason::kCompleted:
      break;
    case CompletionReason::kPolicyDecision:
      text = response.status == dispatch::RequestStatus::kRejected
                 ? "refused: no node can serve this in time; trying again is harmless"
                 : "failed: the request may have run";
      break;
    case CompletionReason::kGatewayOverloaded:
      text = "refused: the gateway holds as many requests as it may";
      break;
    case CompletionReason::kConnectionLimit:
      text = "refused: this connection has as many requests open as it may";
      break;
    case CompletionReason::kShuttingDown:
      text = "refused: the gateway is stopping";
      break;
    case CompletionReason::kStatementError:
      return response.error.message;
    case CompletionReason::kStreamInterrupted:
      text = "failed: the answer broke off after its start";
      break;
    case CompletionReason::kDeadlineExceeded:
      text = response.status == dispatch::RequestStatus::kRejected
                 ? "refused: the request's time is up; it was not sent to a node"
                 : "failed: the request's time is up; it may have run";
      break;
  }
  if (response.error.code != 0)
    text += "; last from a node: " + std::string(rpc::code_name(static_cast<Code>(response.error.code))) +
            " " + response.error.message;
  return text;
}

std::string error_info_reason(dispatch::CompletionReason reason) {
  std::string name = dispatch::completion_reason_name(reason);
  for (char& c : name) c = c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  return name;
}

}  // namespace

ClientCallResult map_final_response(const dispatch::FinalResponse& response) {
  using dispatch::CompletionReason;
  using dispatch::RequestStatus;
  ClientCallResult out;
  out.trailers.emplace_back(kVerdictKey, dispatch::request_status_name(response.status));
  out.trailers.emplace_back(kReasonKey, dispatch::completion_reason_name(response.reason));
  out.trailers.emplace_back(kAttemptsKey, std::to_string(response.attempts));
  if (response.status == RequestStatus::kServed) return out;
  if (response.reason == CompletionReason::kStatementError) {
    out.status = make_error(static_cast<Code>(response.error.code), final_response_message(response));
    return out;
  }
  // UNAVAILABLE means that clients may safely retry; UNKNOWN doesn't say whether the statement was executed.
  Code code = Code::kUnknown;
  if (response.status == RequestStatus::kRejected)
    code = Code::kUnavailable;
  else if (response.reason == CompletionReason::kDeadlineExceeded)
    code = Code::kDeadlineExceeded;
  out.status = make_error(code, final_response_message(response), "sablelink",
                          error_info_reason(response.reason), response.retry_after_us);
  if (response.retry_after_us > 0)
    out.trailers.emplace_back(kRetryPushbackKey, std::to_string((response.retry_after_us + 999) / 1000));
  return out;
}

}  // namespace sablelink::flightsql
