// Interface through which the dispatcher responds to clients.
#pragma once

#include <string>

#include "dispatch/attempt.h"
#include "workload/types.h"

namespace sablelink::dispatch {

enum class RequestStatus { kServed, kRejected, kFailed };

/// Why a request was completed. docs/operating.md describes the reasons for clients and operators.
enum class CompletionReason {
  kCompleted,          // an engine's complete response was forwarded
  kPolicyDecision,     // the workload manager rejected or failed it
  kGatewayOverloaded,  // this gateway has reached its limit of open requests
  kConnectionLimit,    // the client's connection has reached its limit of open requests
  kShuttingDown,       // this gateway accepts no new requests
  kStatementError,     // an engine reports that the statement itself is invalid
  kStreamInterrupted,  // the response failed after part of it had been forwarded
  kDeadlineExceeded,   // the client's deadline passed before the request was completed otherwise
};

/// Names that are sent to clients in call trailers and error texts. They are part of the protocol.
const char* request_status_name(RequestStatus status);
const char* completion_reason_name(CompletionReason reason);

/// The final status of a request, as reported to its client.
struct FinalResponse {
  RequestStatus status = RequestStatus::kServed;
  CompletionReason reason = CompletionReason::kCompleted;
  TimeUs retry_after_us = 0;  // for rejections: delay before a retry; 0: unknown
  int attempts = 0;           // number of attempts for this request
  EngineError error;          // for failures: the last error that an engine reported, if any
};

/// Receives the response to one request: its messages in order, then one call of finish(). Shared by the
/// server that created it and the dispatcher, which releases it after finish() or on_client_disconnected.
///
/// Called on the dispatcher's strand while it handles an event, so implementations must neither block nor
/// call the dispatcher. They report bytes that the client has read later, through
/// RequestDispatcher::on_response_consumed.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void write(std::string message) = 0;
  virtual void finish(const FinalResponse& response) = 0;
  /// Whether the client is known to have disconnected, even if on_client_disconnected hasn't been called yet.
  virtual bool is_client_disconnected() const { return false; }
  /// Whether messages use no memory after write() returns, so that their consumption isn't reported.
  virtual bool consumes_immediately() const { return false; }
};

}  // namespace sablelink::dispatch
