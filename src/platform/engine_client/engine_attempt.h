// State machine of one attempt on an engine of the platform: start, polls, result pages, completion.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/backoff.h"
#include "dispatch/attempt.h"
#include "platform/engine_client/engine_protocol.h"
#include "platform/memory_budget.h"
#include "workload/types.h"

namespace sablelink::platform {

/// Next step of an attempt after a response from its engine.
struct AttemptStep {
  enum class Type {
    kMalformedResponse,  // repeat the call
    kPoll,               // the attempt is running: poll again
    kPollLater,          // the engine does not know the attempt, but may still read its start
    kFetchPages,         // fetch the pages 1 to page_count() - 1
    kAwaitPages,         // wait for the other pages, which are being fetched
    kComplete,           // the attempt is complete, with `outcome`
  };
  Type type = Type::kMalformedResponse;
  Outcome outcome = Outcome::kOk;
};

/// What is known about the delivery of an attempt's start.
enum class StartDelivery {
  kNotSent,
  // Nothing proves that the engine has read the start. It may read it at any later time, also from a
  // connection that this process has closed: the bytes may wait in the engine's kernel.
  kUnread,
  kRead,
  // The engine has closed or reset the connection: it has read the start before or never will.
  kConnectionClosed,
};

/// State of one attempt. Pure: the owner sends the calls and reports their results.
///
/// An attempt is not tied to a connection: an interrupted call is repeated on another connection, and the
/// loss of a connection alone does not complete the attempt.
class EngineAttempt {
 public:
  /// `result_memory` counts the attempt's result, see reserve_result(); null: not counted.
  EngineAttempt(dispatch::AttemptId id, EngineId engine, dispatch::AttemptSpec spec, TimeUs now,
                std::shared_ptr<MemoryBudget> result_memory);

  const dispatch::AttemptId& id() const { return id_; }
  EngineId engine() const { return engine_; }
  TimeUs created_at() const { return created_at_; }
  /// Without its statement once the attempt is finished.
  const dispatch::AttemptSpec& spec() const { return spec_; }
  /// The client's id of the request, which identifies the request's attempts to engines.
  const std::string& client_tag() const { return client_tag_; }
  /// The part of the attempt's timeout that remains at `now`; may be negative.
  TimeUs remaining_us(TimeUs now) const { return spec_.remaining_us - (now - created_at_); }
  /// Whether the decision to start the attempt is still valid.
  bool still_valid() const { return !spec_.still_valid || spec_.still_valid(); }

  void on_start_sent(TimeUs now);
  /// A poll or a request for a page was sent.
  void on_fetch_sent(TimeUs now);
  void on_cancel_sent() { refused_since_ = 0; }
  /// The engine has refused a connection for the cancellation. Returns whether the attempt must have ended:
  /// an engine that refuses connections has ended itself or is at its connection limit, so it does not hang
  /// and abandons an attempt that receives no call.
  bool on_cancel_refused(TimeUs now);
  /// A response of the engine shows that it has read the start.
  void on_start_read() { start_delivery_ = StartDelivery::kRead; }
  /// The engine has closed or reset the connection on which the start was sent.
  void on_start_connection_closed();
  /// Counts a call without a valid response. Returns false after too many consecutive ones.
  bool on_call_failed();

  /// Handles the response to the start or to a poll. `start_was_settled` is the value of is_start_settled()
  /// when the poll was sent, and true for the response to the start.
  AttemptStep on_poll_response(PollResponse response, bool start_was_settled);
  AttemptStep on_page_response(int page, PageResponse response);
  /// Handles a page that may have been cut off, since the response has no length. Returns whether the last
  /// such response with this page was the same, so that the page can be used.
  bool confirm_page(int page, std::string_view content);
  int page_count() const { return static_cast<int>(pages_.size()); }
  /// Reserves memory for as many bytes as the result can have, until the attempt is finished.
  void reserve_result();
  /// The rows of all pages as the elements of a JSON array. Requires completion with Outcome::kOk.
  std::string joined_rows() const;

  /// Marks the attempt as finished and frees its statement and rows; the owner ignores later responses.
  void finish();
  bool is_finished() const { return finished_; }
  /// The result to report for an attempt that ends with `outcome`.
  dispatch::AttemptResult result(Outcome outcome) const;

  /// Whether a call has been sent, so that the engine may know the attempt.
  bool was_sent() const { return last_call_at_ > 0; }
  /// Whether the engine cannot read the start after `now`, so that a response "unknown attempt" to a call
  /// that is sent from now on proves that the attempt has ended.
  bool is_start_settled(TimeUs now) const;
  /// Time by which the engine has abandoned the attempt unless it receives another call. Only valid if the
  /// start is settled and the engine does not hang.
  TimeUs abandoned_at() const;
  /// Time after which the request has no further attempts that could overlap with this one.
  TimeUs request_deadline() const { return created_at_ + spec_.request_remaining_us; }
  /// No response to a call of the attempt matters any more.
  void forget() { forgotten_ = true; }
  bool is_forgotten() const { return forgotten_; }
  /// Delay before the next poll of an attempt that the engine did not know. Grows with each call.
  TimeUs next_unknown_poll_delay_us() { return unknown_poll_backoff_.next_us(); }
  /// Delay before the next cancellation after one that was not confirmed. Grows with each call.
  TimeUs next_cancel_delay_us() { return cancel_backoff_.next_us(); }
  /// Schedules a cancellation. Returns false if one is scheduled for an earlier time.
  bool schedule_cancel_at(TimeUs at);
  /// Called at a scheduled time. Returns false if the cancellation was scheduled for an earlier time since.
  bool start_scheduled_cancel(TimeUs at);
  /// Earliest time to send a cancellation, so that it cannot overtake the start on another connection.
  TimeUs earliest_cancel_at() const;

 private:
  const dispatch::AttemptId id_;
  const EngineId engine_;
  dispatch::AttemptSpec spec_;
  const std::string client_tag_;
  const TimeUs created_at_;
  TimeUs start_sent_at_ = 0;
  TimeUs last_call_at_ = 0;  // when the last start, poll or page request was sent; 0: none
  StartDelivery start_delivery_ = StartDelivery::kNotSent;
  TimeUs refused_since_ = 0;      // first refused cancellation since the last call; 0: none
  Backoff unknown_poll_backoff_;  // between polls while the engine does not know the attempt
  Backoff cancel_backoff_;        // between cancellations that were not confirmed
  TimeUs next_cancel_at_ = 0;     // 0: none is scheduled
  bool forgotten_ = false;
  bool finished_ = false;
  int consecutive_call_failures_ = 0;
  dispatch::AttemptResult result_;
  std::vector<std::optional<std::string>>
      pages_;  // as received, which is shorter than JSON; empty until then
  MemoryReservation result_reservation_;
  size_t missing_page_count_ = 0;
  std::map<int, uint64_t> unconfirmed_pages_;  // hashes of the content by page, see confirm_page()
};

}  // namespace sablelink::platform
