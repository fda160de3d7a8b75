#include "dispatch/response_sink.h"

namespace sablelink::dispatch {

const char* request_status_name(RequestStatus status) {
  switch (status) {
    case RequestStatus::kServed:
      return "served";
    case RequestStatus::kRejected:
      return "refused";
    case RequestStatus::kFailed:
      return "failed";
  }
  return "unknown";
}

const char* completion_reason_name(CompletionReason reason) {
  switch (reason) {
    case CompletionReason::kCompleted:
      return "answered";
    case CompletionReason::kPolicyDecision:
      return "decided";
    case CompletionReason::kGatewayOverloaded:
      return "gateway-full";
    case CompletionReason::kConnectionLimit:
      return "connection-full";
    case CompletionReason::kShuttingDown:
      return "stopping";
    case CompletionReason::kStatementError:
      return "statement";
    case CompletionReason::kStreamInterrupted:
      return "stream-broken";
    case CompletionReason::kDeadlineExceeded:
      return "overdue";
  }
  return "unknown";
}

}  // namespace sablelink::dispatch
