// Names of what travels beside the messages: metadata from a gateway to a node, trailers back. Nodes that
// don't know the gateway's own names pass them over.
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

// Gateway to node.
inline constexpr std::string_view kRequestKey = "x-sablelink-request";    // gateway, its start, request
inline constexpr std::string_view kAttemptKey = "x-sablelink-attempt";    // 0, 1, ...
inline constexpr std::string_view kPriorityKey = "x-sablelink-priority";  // 0 to 3
inline constexpr std::string_view kGrantKey = "x-sablelink-grant-mb";
inline constexpr std::string_view kAllowKey = "x-sablelink-allow-us";  // the attempt's time
// Client to gateway to node: the client's own name for its request.
inline constexpr std::string_view kClientTagKey = "x-request-id";

// A planning call is no client's: its name begins so, and a line of the log, at the moment when it is made,
// tells it as "tag".
inline constexpr std::string_view kPlanTag = "plan:";
inline constexpr std::string_view kPlanEvent = "planning";

// Gateway to client, in trailers.
inline constexpr std::string_view kVerdictKey = "x-sablelink-verdict";
inline constexpr std::string_view kReasonKey = "x-sablelink-reason";
inline constexpr std::string_view kAttemptsKey = "x-sablelink-attempts";
inline constexpr std::string_view kSchemaKey = "x-sablelink-schema";  // "changed": not the one promised
inline constexpr std::string_view kPushbackKey = "grpc-retry-pushback-ms";

// The number that a key's value is; the fallback where there is none or it isn't one.
template <typename T>
T find_number(const rpc::Metadata& metadata, std::string_view key, T fallback) {
  const std::string_view text = rpc::find_value(metadata, key);
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() ? value : fallback;
}

// Node to gateway, in trailers: an ORCA load report.
inline constexpr std::string_view kLoadReportKey = "endpoint-load-metrics-bin";

// The ErrorInfo by which a node proves that it has run nothing of the call.
inline constexpr std::string_view kNodeDomain = "sablelink.node";
inline constexpr std::string_view kNotAdmitted = "NOT_ADMITTED";

// What an ORCA report tells of a node and of the query just answered. Names used in it: utilization "disk",
// named metrics "held" and "waiting", request costs "work_us" and "memory_mb".
struct NodeReport {
  std::optional<LoadReport> load;
  std::optional<double> work_us;
  std::optional<double> used_mb;
};
// Nothing for bytes that aren't a report; values that aren't finite or below 0 are left out.
NodeReport decode_report(std::string_view bytes);
std::string encode_report(const NodeReport& report);

// When a request that came now must have its answer on the way: the client's patience less the margin that
// the way back takes, but never less than half of it. 0, at once, where the patience is a tenth of the margin
// or less: whatever is waited for, the client would be gone.
TimeUs due_after(TimeUs patience_us, TimeUs margin_us);

rpc::Status make_error(rpc::Code code, std::string message);
// With an ErrorInfo of the domain and reason, and a RetryInfo where the time is over 0.
rpc::Status make_error(rpc::Code code, std::string message, std::string_view domain, std::string_view reason,
                       TimeUs retry_after_us = 0);
// The details of an error as far as they are known here.
struct ErrorDetails {
  std::string domain, reason;
  std::optional<TimeUs> retry_after_us;
};
ErrorDetails read_details(const rpc::Status& status);

// How an attempt's call ended, as an outcome. Proof that nothing ran is only a node's own NOT_ADMITTED; where
// no connection was had there is no call.
dispatch::AttemptResult map_call_end(const rpc::CallResult& end);

// The final answer as the client's call sees it.
struct ClientEnd {
  rpc::Status status;
  rpc::Metadata trailers;
};
ClientEnd map_final_answer(const dispatch::FinalResponse& answer);

}  // namespace sablelink::flightsql
