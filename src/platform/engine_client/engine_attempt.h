// State machine of one attempt at an engine of the platform: start, polls, pages, end.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/attempt.h"
#include "platform/engine_client/engine_protocol.h"
#include "workload/types.h"

namespace sablelink::platform {

/// What an attempt needs after a response of its engine.
struct AttemptStep {
  enum class Type {
    kMalformedResponse,  // the call must be repeated
    kPoll,               // the attempt is running: poll again
    kFetchPages,         // pages 1 to page_count() - 1 are to be fetched
    kAwaitPages,         // other pages are still being fetched
    kComplete,           // the attempt has ended with `outcome`
  };
  Type type = Type::kMalformedResponse;
  Outcome outcome = Outcome::kOk;
};

/// State of one attempt. Pure: the owner sends the calls and reports what became of them.
///
/// An attempt isn't bound to a connection: a call that was interrupted is repeated on another one, and only
/// the engine's response, or the engine's end, completes the attempt.
class EngineAttempt {
 public:
  EngineAttempt(dispatch::AttemptId id, EngineId engine, dispatch::AttemptSpec spec, TimeUs now);

  const dispatch::AttemptId& id() const { return id_; }
  EngineId engine() const { return engine_; }
  const dispatch::AttemptSpec& spec() const { return spec_; }
  /// The client's own id of the request, by which engines know its attempts.
  const std::string& client_tag() const { return spec_.statement->client_tag; }
  /// What is left at `now` of the time that the attempt was given; may be negative.
  TimeUs remaining_us(TimeUs now) const { return spec_.remaining_us - (now - created_at_); }
  /// Whether the decision to start the attempt still holds.
  bool still_valid() const { return !spec_.still_valid || spec_.still_valid(); }

  void on_start_sent(TimeUs now);
  /// A poll or the request for a page was sent.
  void on_fetch_sent(TimeUs now) { last_call_at_ = now; }
  /// The start's call has ended, with a response or without.
  void on_start_call_ended() { start_in_flight_ = false; }
  /// The start's call ended without a valid response: the engine may or may not have read it.
  void on_start_unconfirmed() { start_unconfirmed_ = true; }
  /// Counts a call without a valid response. False: too many have failed in a row.
  bool on_call_failed();

  AttemptStep on_poll_response(PollResponse response);
  AttemptStep on_page_response(int page, PageResponse response);
  int page_count() const { return static_cast<int>(pages_.size()); }
  /// The rows of all pages as JSON, once complete with Outcome::kOk.
  std::string joined_rows() const;

  /// Marks the attempt as finished: its owner ignores later responses.
  void finish() { finished_ = true; }
  bool is_finished() const { return finished_; }
  /// What is reported of an attempt that ends with the outcome.
  dispatch::AttemptResult result(Outcome outcome) const;

  /// A call has been sent, so the engine may know the attempt.
  bool was_sent() const { return last_call_at_ > 0; }
  /// The start was sent and has neither been answered nor failed.
  bool is_start_in_flight() const { return start_in_flight_; }
  /// By then the engine has ended the attempt by itself, unless a further call is sent.
  TimeUs abandoned_at() const;
  /// A cancellation is sent no sooner, so that it cannot overtake the start on another connection.
  TimeUs earliest_cancel_at() const;

 private:
  const dispatch::AttemptId id_;
  const EngineId engine_;
  const dispatch::AttemptSpec spec_;
  const TimeUs created_at_;
  TimeUs start_sent_at_ = 0;
  TimeUs last_call_at_ = 0;  // when the last start, poll or fetch was sent; 0: none was
  bool start_in_flight_ = false;
  bool start_unconfirmed_ = false;
  bool finished_ = false;
  int consecutive_failures_ = 0;  // calls
  dispatch::AttemptResult result_;
  std::vector<std::optional<std::string>> pages_;  // rows by page
  size_t missing_pages_ = 0;
};

}  // namespace sablelink::platform
