// Reasons why a call to an engine ended without a usable response.
#pragma once

#include <string_view>

namespace sablelink::platform {

/// Reason why a call ended without a response, or with one that can't be used.
enum class CallFailure {
  kNotSent,           // the engine is not ready for new attempts, or no connection could be established
  kConnectionClosed,  // by the engine: whether it executed the call is unknown
  kMalformed,         // the response is not valid HTTP
  kTrailingBytes,     // bytes follow a result: it may be a part, with a content length that is too short
  // No response in time. The connection of a start or of a cancellation stays open, see
  // ConnectionPool::Delegate::on_late_response(); that of another call is closed.
  kTimedOut,
  kRefused,  // the engine refuses connections and none is open: it has ended or is at its connection limit
};

/// The reason's name in log records.
std::string_view call_failure_name(CallFailure failure);

}  // namespace sablelink::platform
