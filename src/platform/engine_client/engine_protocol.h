// Typed messages of the platform's HTTP/1.1 protocol between gateways and engines.
//
// Only engine_protocol.cpp contains the paths and the names of header fields. Pure: no I/O and no state.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dispatch/attempt.h"
#include "http/message.h"
#include "workload/events.h"
#include "workload/types.h"

namespace sablelink::platform {

/// Time after which an engine responds to a start or a poll of an attempt whose state has not changed.
constexpr TimeUs kLongPollTimeoutUs = 250'000;
/// Time without calls after which an engine abandons an attempt, that is, ends it.
constexpr TimeUs kAbandonTimeoutUs = 2'000'000;

/// Status of a response that contains a page of a result.
constexpr int kStatusOk = 200;

/// Request that starts an attempt. `remaining_us` is the remaining timeout, which is sent in whole
/// milliseconds, rounded up and at least 1. `class_name` is the platform's name of the workload class.
http::Request make_start_request(const dispatch::AttemptSpec& spec, const std::string& class_name,
                                 TimeUs remaining_us);
/// Request for the state of a running attempt (page 0) or for a page of its result.
http::Request make_fetch_request(const std::string& client_tag, int page);
/// Request that cancels an attempt.
http::Request make_cancel_request(const std::string& client_tag);

/// Progress of a running attempt as reported by its engine.
struct AttemptProgress {
  ProgressKind kind = ProgressKind::kProgress;
  double value = 0;
};

/// An engine's response to a start or a poll.
struct PollResponse {
  enum class Status {
    kMalformed,   // not a valid response of the protocol
    kRunning,     // queued or executing: poll again
    kComplete,    // executed; contains the first page and the number of pages
    kOverloaded,  // not executed: shed by the engine, or timed out before execution
    kFailed,      // the statement failed, or the engine does not know the attempt
  };
  Status status = Status::kMalformed;
  std::optional<LoadReport> load_report;    // may be set with any status
  std::optional<AttemptProgress> progress;  // may be set with kRunning
  int page_count = 0;                       // set with kComplete, like the following members
  std::string first_page;                   // valid, see is_valid_page()
  std::optional<double> work_us;
  std::optional<double> memory_used_mb;
};
PollResponse parse_poll_response(const http::Response& response);

/// An engine's response to a request for a page.
struct PageResponse {
  enum class Status { kMalformed, kPage, kFailed };
  Status status = Status::kMalformed;
  std::string page;  // valid, see is_valid_page(); set with kPage
};
/// A response with a page other than `expected_page` is malformed.
PageResponse parse_page_response(const http::Response& response, int expected_page);

/// An engine's response to a cancellation.
enum class CancelResponse {
  kMalformed,
  kCancelled,
  kUnknownAttempt,  // the engine does not know the attempt or has not read its start yet
};
CancelResponse parse_cancel_response(const http::Response& response);

}  // namespace sablelink::platform
