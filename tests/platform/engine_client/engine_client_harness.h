// Shared attempts and engine scripts of the engine client's tests.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "tests/platform/platform_harness.h"

namespace sablelink::test {

/// An attempt with the client tag and a timeout of 5 s.
inline dispatch::AttemptSpec make_spec(const std::string& client_tag) {
  dispatch::Statement statement;
  statement.text = "SELECT 1";
  statement.client_tag = client_tag;
  dispatch::AttemptSpec spec;
  spec.statement = std::make_shared<const dispatch::Statement>(statement);
  spec.remaining_us = 5 * kSecond;
  return spec;
}

/// Engine script that confirms a cancellation 100 ms after the DELETE and otherwise follows the protocol.
inline std::optional<ScriptedResponse> confirm_cancellation_late(
    const ScriptedEngine::ReceivedRequest& received) {
  if (received.request.method != "DELETE") return std::nullopt;
  return ScriptedResponse{http::serialize_response(204, {}, "", true), 100 * kMs};
}

}  // namespace sablelink::test
