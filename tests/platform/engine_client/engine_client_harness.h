// Attempts and responses that the tests of the engine client share.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "tests/platform/platform_harness.h"

namespace sablelink::test {

/// A statement under the client tag, with 5 s to complete.
inline dispatch::AttemptSpec make_spec(const std::string& client_tag) {
  dispatch::Statement statement;
  statement.text = "SELECT 1";
  statement.client_tag = client_tag;
  dispatch::AttemptSpec spec;
  spec.statement = std::make_shared<const dispatch::Statement>(statement);
  spec.remaining_us = 5 * kSecond;
  return spec;
}

/// Script of an engine that confirms a cancellation 100 ms after its DELETE and is as usual otherwise.
inline std::optional<ScriptedResponse> confirm_cancellation_late(
    const ScriptedEngine::ReceivedRequest& received) {
  if (received.request.method != "DELETE") return std::nullopt;
  return ScriptedResponse{http::write_response(204, {}, "", true), 100 * kMs};
}

}  // namespace sablelink::test
