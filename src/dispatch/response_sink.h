// Interface through which the dispatcher responds to clients.
#pragma once

#include <string>

#include "dispatch/attempt.h"
#include "workload/types.h"

namespace sablelink::dispatch {

enum class RequestStatus { kServed, kRejected, kFailed };

/// Why a request was completed. docs/operating.md explains each to clients and operators.
enum class CompletionReason {
  kCompleted,          // an engine's complete response was forwarded
  kPolicyDecision,     // the workload manager rejected or failed it
  kGatewayOverloaded,  // this gateway has as many open requests as it may
  kConnectionLimit,    // the client's connection has as many open requests as it may
  kShuttingDown,       // this gateway accepts no new requests
  kStatementError,     // an engine reports that the statement itself is at fault
  kStreamInterrupted,  // the response failed after part of it had been forwarded
  kDeadlineExceeded,   // the client's deadline passed before anything else completed it
};

/// The names that clients see, in call trailers and error texts. They are part of the protocol.
const char* request_status_name(RequestStatus status);
const char* completion_reason_name(CompletionReason reason);

/// The end of a request, as its client learns of it.
struct FinalResponse {
  RequestStatus status = RequestStatus::kServed;
  CompletionReason reason = CompletionReason::kCompleted;
  TimeUs retry_after_us = 0;  // of rejections: when to try again; 0: not known
  int attempts = 0;           // made for this request
  EngineError error;          // of failures: the last error that an engine reported, if any
};

/// Receives the response to one request: its messages in order, then the end, once. Shared by the server that
/// made it and the dispatcher, which releases it after finish() or on_client_disconnected.
///
/// Called on the dispatcher's strand from within the handling of its events, so implementations must neither
/// block nor call the dispatcher. They report forwarded bytes later, by
/// RequestDispatcher::on_response_consumed.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void write(std::string message) = 0;
  virtual void finish(const FinalResponse& response) = 0;
  /// Whether the client is known to have disconnected, even if on_client_disconnected hasn't been called yet.
  virtual bool is_client_disconnected() const { return false; }
  /// Whether written messages need no memory beyond write(), so that no consumption is reported for them.
  virtual bool consumes_immediately() const { return false; }
};

}  // namespace sablelink::dispatch
