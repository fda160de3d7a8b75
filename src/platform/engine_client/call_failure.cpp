#include "platform/engine_client/call_failure.h"

namespace sablelink::platform {

std::string_view call_failure_name(CallFailure failure) {
  switch (failure) {
    case CallFailure::kNotSent:
      return "not_sent";
    case CallFailure::kConnectionClosed:
      return "connection_closed";
    case CallFailure::kMalformed:
      return "malformed";
    case CallFailure::kTrailingBytes:
      return "trailing_bytes";
    case CallFailure::kTimedOut:
      return "timeout";
    case CallFailure::kRefused:
      return "refused";
  }
  return "unknown";
}

}  // namespace sablelink::platform
