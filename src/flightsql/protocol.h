// The metadata and trailers of calls between clients, gateways and nodes, and the conversions between gRPC
// statuses, load reports and the dispatcher's results. Nodes may ignore the metadata that begins with
// "x-sablelink-".
#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

#include "dispatch/attempt.h"
#include "dispatch/response_sink.h"
#include "rpc/rpc.h"
#include "workload/events.h"
#include "workload/types.h"

namespace sablelink::flightsql {

inline constexpr std::string_view kServicePrefix = "/arrow.flight.protocol.FlightService/";

// Metadata sent by a gateway to a node.
inline constexpr std::string_view kRequestKey = "x-sablelink-request";    // "GATEWAY/INCARNATION/REQUEST"
inline constexpr std::string_view kAttemptKey = "x-sablelink-attempt";    // number of the attempt, from 0
inline constexpr std::string_view kPriorityKey = "x-sablelink-priority";  // 0 to 3
inline constexpr std::string_view kMemoryGrantKey = "x-sablelink-grant-mb";
inline constexpr std::string_view kAttemptTimeoutKey = "x-sablelink-allow-us";  // time-out of the attempt
// Metadata by which a client names its request; the gateway forwards it to the node.
inline constexpr std::string_view kClientTagKey = "x-request-id";

// The gateway itself makes planning calls: their kClientTagKey begins with kPlanTagPrefix, and the log has it
// as the field "tag" of the event kPlanEvent when the call is started.
inline constexpr std::string_view kPlanTagPrefix = "plan:";
inline constexpr std::string_view kPlanEvent = "planning";

// Trailers sent by a gateway to a client.
inline constexpr std::string_view kVerdictKey = "x-sablelink-verdict";
inline constexpr std::string_view kReasonKey = "x-sablelink-reason";
inline constexpr std::string_view kAttemptsKey = "x-sablelink-attempts";
// "changed" where the response's schema differs from the FlightInfo's.
inline constexpr std::string_view kSchemaKey = "x-sablelink-schema";
inline constexpr std::string_view kRetryPushbackKey = "grpc-retry-pushback-ms";

// Parses a key's value as a number; returns the fallback where the key is missing or its value isn't a
// number.
template <typename T>
T find_number(const rpc::Metadata& metadata, std::string_view key, T fallback) {
  const std::string_view text = rpc::find_value(metadata, key);
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() ? value : fallback;
}

// Trailer sent by a node to a gateway: an ORCA load report.
inline constexpr std::string_view kLoadReportKey = "endpoint-load-metrics-bin";

// The ErrorInfo by which a node guarantees that it hasn't executed any part of the call.
inline constexpr std::string_view kNodeDomain = "sablelink.node";
inline constexpr std::string_view kNotAdmitted = "NOT_ADMITTED";

// The parts of an ORCA load report that are used here: the load of the node, and the cost of the query that
// has completed. Keys: "disk" in utilization, "held" and "waiting" in named_metrics, "work_us" and
// "memory_mb" in request_cost.
struct NodeReport {
  std::optional<LoadReport> load;
  std::optional<double> work_us;
  std::optional<double> memory_used_mb;
};
// Returns an empty report for invalid bytes; values that are negative or not finite are omitted.
NodeReport decode_load_report(std::string_view bytes);
std::string encode_load_report(const NodeReport& report);

// The time within which a request must be answered so that the response reaches the client before its
// time-out: the time-out less the margin, which allows for the transmission of the response, but at least
// half of the time-out. 0 where the time-out is at most a tenth of the margin: any response would reach the
// client too late.
TimeUs response_time_limit(TimeUs client_timeout_us, TimeUs margin_us);

rpc::Status make_error(rpc::Code code, std::string message);
// Adds an ErrorInfo with the domain and reason, and a RetryInfo where retry_after_us is positive.
rpc::Status make_error(rpc::Code code, std::string message, std::string_view domain, std::string_view reason,
                       TimeUs retry_after_us = 0);
// The details of an error status that are used here.
struct ErrorDetails {
  std::string domain, reason;
  std::optional<TimeUs> retry_after_us;
};
ErrorDetails read_details(const rpc::Status& status);

// Converts the end of an attempt's call. Only a NOT_ADMITTED from the node itself proves that nothing was
// executed. Attempts for which no connection could be made have no call and aren't converted here.
dispatch::AttemptResult map_call_end(const rpc::CallResult& end);

// Status and trailers that end the client's call.
struct ClientCallResult {
  rpc::Status status;
  rpc::Metadata trailers;
};
ClientCallResult map_final_response(const dispatch::FinalResponse& response);

}  // namespace sablelink::flightsql
