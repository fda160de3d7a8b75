// State machine of one attempt on an engine of the platform: start, polls, result pages, completion.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/attempt.h"
#include "platform/engine_client/engine_protocol.h"
#include "workload/types.h"

namespace sablelink::platform {

/// Next step of an attempt after a response from its engine.
struct AttemptStep {
  enum class Type {
    kMalformedResponse,  // repeat the call
    kPoll,               // the attempt is running: poll again
    kFetchPages,         // fetch the pages 1 to page_count() - 1
    kAwaitPages,         // wait for the other pages, which are being fetched
    kComplete,           // the attempt is complete, with `outcome`
  };
  Type type = Type::kMalformedResponse;
  Outcome outcome = Outcome::kOk;
};

/// State of one attempt. Pure: the owner sends the calls and reports their results.
///
/// An attempt is not tied to a connection: an interrupted call is repeated on another connection, and the
/// loss of a connection alone does not complete the attempt.
class EngineAttempt {
 public:
  EngineAttempt(dispatch::AttemptId id, EngineId engine, dispatch::AttemptSpec spec, TimeUs now);

  const dispatch::AttemptId& id() const { return id_; }
  EngineId engine() const { return engine_; }
  const dispatch::AttemptSpec& spec() const { return spec_; }
  /// The client's id of the request, which identifies the request's attempts to engines.
  const std::string& client_tag() const { return spec_.statement->client_tag; }
  /// The part of the attempt's timeout that remains at `now`; may be negative.
  TimeUs remaining_us(TimeUs now) const { return spec_.remaining_us - (now - created_at_); }
  /// Whether the decision to start the attempt is still valid.
  bool still_valid() const { return !spec_.still_valid || spec_.still_valid(); }

  void on_start_sent(TimeUs now);
  /// A poll or a request for a page was sent.
  void on_fetch_sent(TimeUs now) { last_call_at_ = now; }
  /// The call that starts the attempt has ended, with or without a response.
  void on_start_call_ended() { start_in_flight_ = false; }
  /// The call that starts the attempt ended without a valid response: the engine may have received it or not.
  void on_start_unconfirmed() { start_unconfirmed_ = true; }
  /// Counts a call without a valid response. Returns false after too many consecutive ones.
  bool on_call_failed();

  AttemptStep on_poll_response(PollResponse response);
  AttemptStep on_page_response(int page, PageResponse response);
  int page_count() const { return static_cast<int>(page_rows_.size()); }
  /// The rows of all pages as JSON. Requires completion with Outcome::kOk.
  std::string joined_rows() const;

  /// Marks the attempt as finished; the owner ignores later responses.
  void finish() { finished_ = true; }
  bool is_finished() const { return finished_; }
  /// The result to report for an attempt that ends with `outcome`.
  dispatch::AttemptResult result(Outcome outcome) const;

  /// Whether a call has been sent, so that the engine may know the attempt.
  bool was_sent() const { return last_call_at_ > 0; }
  /// Whether the start has been sent and its call has neither a response nor failed.
  bool is_start_in_flight() const { return start_in_flight_; }
  /// Time by which the engine has abandoned the attempt unless it receives another call.
  TimeUs abandoned_at() const;
  /// Earliest time to send a cancellation, so that it cannot overtake the start on another connection.
  TimeUs earliest_cancel_at() const;

 private:
  const dispatch::AttemptId id_;
  const EngineId engine_;
  const dispatch::AttemptSpec spec_;
  const TimeUs created_at_;
  TimeUs start_sent_at_ = 0;
  TimeUs last_call_at_ = 0;  // when the last start, poll or page request was sent; 0: none
  bool start_in_flight_ = false;
  bool start_unconfirmed_ = false;
  bool finished_ = false;
  int consecutive_call_failures_ = 0;
  dispatch::AttemptResult result_;
  std::vector<std::optional<std::string>> page_rows_;  // by page; empty until received
  size_t missing_page_count_ = 0;
};

}  // namespace sablelink::platform
