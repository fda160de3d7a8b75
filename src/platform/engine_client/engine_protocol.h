// The platform's protocol between a gateway and an engine (HTTP/1.1), as typed messages.
//
// The names of paths and fields on the wire stand in engine_protocol.cpp alone. Pure: no I/O and no state.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dispatch/attempt.h"
#include "http/message.h"
#include "workload/events.h"
#include "workload/types.h"

namespace sablelink::platform {

/// An engine holds a start or a poll that has no news yet for this long before it answers.
constexpr TimeUs kLongPollUs = 250'000;
/// An engine ends an attempt for which no call has come for this long.
constexpr TimeUs kAbandonedAfterUs = 2'000'000;

/// Request that starts an attempt. `remaining_us` is what is left of the request's timeout; it is sent in
/// whole milliseconds, rounded up and at least 1. `class_name` is the platform's name of the workload class.
http::Request make_start_request(const dispatch::AttemptSpec& spec, const std::string& class_name,
                                 TimeUs remaining_us);
/// Request for the state of a running attempt (page 0) or for a page of its result.
http::Request make_fetch_request(const std::string& client_tag, int page);
/// Request that cancels an attempt.
http::Request make_cancel_request(const std::string& client_tag);

/// Progress of a running attempt, as its engine reports it.
struct AttemptProgress {
  ProgressKind kind = ProgressKind::kProgress;
  double value = 0;
};

/// An engine's response to a start or to a poll.
struct PollResponse {
  enum class Status {
    kMalformed,   // not a response of the protocol
    kRunning,     // queued or executing: poll again
    kComplete,    // the first page and the number of pages
    kOverloaded,  // never executed: load was shed, or its time was over before it could start
    kFailed,      // the statement failed, or the engine does not know the attempt
  };
  Status status = Status::kMalformed;
  std::optional<LoadReport> load_report;    // with any status
  std::optional<AttemptProgress> progress;  // with kRunning
  int page_count = 0;                       // with kComplete, as are all of the following
  std::string first_page_rows;              // JSON rows
  std::optional<double> work_us;
  std::optional<double> memory_used_mb;
};
PollResponse parse_poll_response(const http::Response& response);

/// An engine's response to the request for a page.
struct PageResponse {
  enum class Status { kMalformed, kPage, kFailed };
  Status status = Status::kMalformed;
  std::string rows;  // JSON rows, with kPage
};
/// A response with another page than the expected one is malformed.
PageResponse parse_page_response(const http::Response& response, int expected_page);

/// An engine's response to a cancellation.
enum class CancelResponse {
  kMalformed,
  kCancelled,
  kUnknownAttempt,  // the engine knows no such attempt, or has not yet read its start
};
CancelResponse parse_cancel_response(const http::Response& response);

}  // namespace sablelink::platform
