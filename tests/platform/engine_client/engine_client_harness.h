// Shared attempts and engine scripts of the engine client's tests.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include "tests/platform/platform_harness.h"

namespace sablelink::test {

/// An attempt with the client tag, of a request with the timeout.
inline dispatch::AttemptSpec make_spec(const std::string& client_tag, TimeUs timeout_us = 5 * kSecond) {
  dispatch::Statement statement;
  statement.text = "SELECT 1";
  statement.client_tag = client_tag;
  dispatch::AttemptSpec spec;
  spec.statement = std::make_shared<const dispatch::Statement>(statement);
  spec.remaining_us = timeout_us;
  spec.request_remaining_us = spec.remaining_us;
  return spec;
}

/// Engine script that confirms a cancellation 100 ms after the DELETE and otherwise follows the protocol.
inline std::optional<ScriptedResponse> confirm_cancellation_late(
    const ScriptedEngine::ReceivedRequest& received) {
  if (received.request.method != "DELETE") return std::nullopt;
  return ScriptedResponse{http::serialize_response(204, {}, "", true), 100 * kMs};
}

/// Script of an engine that hangs from its first start on for `hang_us`. When it resumes, it reads the calls
/// that have arrived meanwhile on other connections before the start, and therefore does not know the attempt
/// yet. The statement then runs for `execution_us`. The engine must outlive the script.
class HangBeforeStartScript {
 public:
  HangBeforeStartScript(const ScriptedEngine& engine, TimeUs hang_us, TimeUs execution_us)
      : engine_(engine), hang_us_(hang_us), execution_us_(execution_us) {}

  /// When the engine reads the start. 0: it has not received one.
  TimeUs resumes_at() const { return resumes_at_; }
  TimeUs completes_at() const { return resumes_at_ + execution_us_; }

  ScriptedResponse operator()(const ScriptedEngine::ReceivedRequest& received) {
    if (resumes_at_ == 0) resumes_at_ = received.received_at + hang_us_;
    const TimeUs now = received.received_at;
    if (received.request.method == "POST") return {running(), resumes_at_ + kLongPollUs - now};
    if (now < resumes_at_) return {http::serialize_response(500, {}, "", true), resumes_at_ - now};
    if (received.request.method == "DELETE") return {http::serialize_response(204, {}, "", true)};
    if (now + kLongPollUs < completes_at()) return {running(), kLongPollUs};
    return {engine_.page_response(0), std::max<TimeUs>(completes_at() - now, 0)};
  }

 private:
  static constexpr TimeUs kLongPollUs = 250 * kMs;
  static std::string running() { return http::serialize_response(202, {}, "", true); }

  const ScriptedEngine& engine_;
  const TimeUs hang_us_;
  const TimeUs execution_us_;
  TimeUs resumes_at_ = 0;
};

}  // namespace sablelink::test
