#include "platform/engine_client/engine_attempt.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

#include "platform/pages.h"

namespace sablelink::platform {
namespace {

constexpr int kMaxConsecutiveCallFailures = 6;
// Time from the sending of an attempt's last call until its engine has abandoned the attempt. The engine's
// timeout starts at the end of the call, which may be a long poll.
constexpr TimeUs kAbandonMarginUs = 150'000;
constexpr TimeUs kMaxTimeToAbandonUs = kLongPollTimeoutUs + kAbandonTimeoutUs + kAbandonMarginUs;
constexpr TimeUs kMinStartToCancelUs = 30'000;
constexpr TimeUs kMinBackoffUs = 30'000;
constexpr TimeUs kMaxBackoffUs = 240'000;

}  // namespace

EngineAttempt::EngineAttempt(dispatch::AttemptId id, EngineId engine, dispatch::AttemptSpec spec, TimeUs now,
                             std::shared_ptr<MemoryBudget> result_memory)
    : id_(id),
      engine_(engine),
      spec_(std::move(spec)),
      client_tag_(spec_.statement->client_tag),
      created_at_(now),
      unknown_poll_backoff_(kMinBackoffUs, kMaxBackoffUs),
      cancel_backoff_(kMinBackoffUs, kMaxBackoffUs),
      result_reservation_(std::move(result_memory), MemoryUse::kResults) {}

void EngineAttempt::on_start_sent(TimeUs now) {
  start_sent_at_ = now;
  last_call_at_ = now;
  start_delivery_ = StartDelivery::kUnread;
}

void EngineAttempt::on_start_connection_closed() {
  if (start_delivery_ == StartDelivery::kUnread) start_delivery_ = StartDelivery::kConnectionClosed;
}

void EngineAttempt::on_fetch_sent(TimeUs now) {
  last_call_at_ = now;
  refused_since_ = 0;
}

bool EngineAttempt::on_cancel_refused(TimeUs now) {
  if (refused_since_ == 0) refused_since_ = now;
  return is_start_settled(now) && now >= refused_since_ + kMaxTimeToAbandonUs;
}

bool EngineAttempt::on_call_failed() {
  ++consecutive_call_failures_;
  return consecutive_call_failures_ <= kMaxConsecutiveCallFailures;
}

AttemptStep EngineAttempt::on_poll_response(PollResponse response, bool start_was_settled) {
  if (response.load_report) result_.load_report = response.load_report;
  // The responses to the start and to a poll may both report the completion.
  const bool is_completion_known = !pages_.empty();
  if (is_completion_known) return {AttemptStep::Type::kAwaitPages};
  switch (response.status) {
    case PollResponse::Status::kMalformed:
      return {AttemptStep::Type::kMalformedResponse};
    case PollResponse::Status::kRunning:
      consecutive_call_failures_ = 0;
      on_start_read();
      return {AttemptStep::Type::kPoll};
    case PollResponse::Status::kOverloaded:
      if (!start_was_settled) return {AttemptStep::Type::kPollLater};
      return {AttemptStep::Type::kComplete, Outcome::kOverloaded};
    case PollResponse::Status::kFailed: {
      consecutive_call_failures_ = 0;
      if (!start_was_settled) return {AttemptStep::Type::kPollLater};
      // If the start's connection was closed, this status may only mean that the engine does not know the
      // attempt; whether the statement was executed is unknown. The engine itself is responsive.
      const bool was_read = start_delivery_ == StartDelivery::kRead;
      result_.engine_responsive = !was_read;
      return {AttemptStep::Type::kComplete, was_read ? Outcome::kError : Outcome::kReset};
    }
    case PollResponse::Status::kComplete:
      break;
  }
  on_start_read();
  consecutive_call_failures_ = 0;
  if (response.work_us) result_.work_us = response.work_us;
  if (response.memory_used_mb) result_.memory_used_mb = response.memory_used_mb;
  pages_.assign(response.page_count, std::nullopt);
  pages_[0] = std::move(response.first_page);
  missing_page_count_ = pages_.size() - 1;
  if (missing_page_count_ == 0) return {AttemptStep::Type::kComplete, Outcome::kOk};
  return {AttemptStep::Type::kFetchPages};
}

AttemptStep EngineAttempt::on_page_response(int page, PageResponse response) {
  if (response.status == PageResponse::Status::kFailed) {
    return {AttemptStep::Type::kComplete, Outcome::kError};
  }
  if (response.status == PageResponse::Status::kMalformed) return {AttemptStep::Type::kMalformedResponse};
  consecutive_call_failures_ = 0;
  std::optional<std::string>& stored = pages_[page];
  if (stored) return {AttemptStep::Type::kAwaitPages};
  stored = std::move(response.page);
  --missing_page_count_;
  if (missing_page_count_ > 0) return {AttemptStep::Type::kAwaitPages};
  return {AttemptStep::Type::kComplete, Outcome::kOk};
}

bool EngineAttempt::confirm_page(int page, std::string_view content) {
  const uint64_t hash = XXH3_64bits(content.data(), content.size());
  const auto [it, is_first] = unconfirmed_pages_.try_emplace(page, hash);
  return !is_first && std::exchange(it->second, hash) == hash;
}

void EngineAttempt::reserve_result() { result_reservation_.resize(pages_.size() * kMaxPageBytes); }

std::string EngineAttempt::joined_rows() const {
  std::string joined;
  for (const std::optional<std::string>& page : pages_) append_json_rows(page.value(), joined);
  return joined;
}

dispatch::AttemptResult EngineAttempt::result(Outcome outcome) const {
  dispatch::AttemptResult result = result_;
  result.outcome = outcome;
  if (outcome != Outcome::kOk) {
    result.work_us.reset();
    result.memory_used_mb.reset();
  }
  return result;
}

void EngineAttempt::finish() {
  finished_ = true;
  spec_.statement.reset();
  pages_.clear();
  result_reservation_.resize(0);
}

bool EngineAttempt::is_start_settled(TimeUs now) const {
  switch (start_delivery_) {
    case StartDelivery::kNotSent:
    case StartDelivery::kUnread:
      return false;
    case StartDelivery::kRead:
      return true;
    case StartDelivery::kConnectionClosed:
      // A call on another connection must not overtake the start that the engine has read before the close.
      return now >= earliest_cancel_at();
  }
  return false;
}

bool EngineAttempt::schedule_cancel_at(TimeUs at) {
  if (next_cancel_at_ != 0 && next_cancel_at_ <= at) return false;
  next_cancel_at_ = at;
  return true;
}

bool EngineAttempt::start_scheduled_cancel(TimeUs at) {
  if (next_cancel_at_ != at) return false;
  next_cancel_at_ = 0;
  return true;
}

TimeUs EngineAttempt::abandoned_at() const { return last_call_at_ + kMaxTimeToAbandonUs; }

TimeUs EngineAttempt::earliest_cancel_at() const { return start_sent_at_ + kMinStartToCancelUs; }

}  // namespace sablelink::platform
