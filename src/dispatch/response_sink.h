// Interface through which the dispatcher answers clients.
#pragma once

#include <string>

#include "dispatch/attempt.h"
#include "workload/types.h"

namespace sablelink::dispatch {

enum class RequestStatus { kServed, kRejected, kFailed };

// Why a request ended as it did. docs/operating.md tells what each means for clients and operators.
enum class CompletionReason {
  kCompleted,          // a node's whole answer
  kPolicyDecision,     // the decision module refused it or gave it up
  kGatewayOverloaded,  // this gateway holds as many requests as it may
  kConnectionLimit,    // the client's connection has as many requests as it may
  kShuttingDown,       // this gateway takes nothing new
  kStatementError,     // the statement itself is at fault, says the node
  kStreamInterrupted,  // the answer had begun to flow and broke off
  kDeadlineExceeded,   // the client's time was up before anything else ended it
};
const char* request_status_name(RequestStatus verdict);
const char* completion_reason_name(CompletionReason reason);

struct FinalResponse {
  RequestStatus status = RequestStatus::kServed;
  CompletionReason reason = CompletionReason::kCompleted;
  TimeUs retry_after_us = 0;  // refusals alone; 0: no advice
  int attempts = 0;
  EngineError
      error;  // of kStatement and kStreamBroken; of other failures the last attempt's, where there was one
};

// Takes one request's answer: messages in order, then the end, once. Called from within the dispatcher's
// events, so it must not call back; what it has passed on it tells later, by Carrier::consumed.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void write(std::string message) = 0;
  virtual void finish(const FinalResponse& answer) = 0;
  // Its client is known to have gone, though Carrier::client_left is yet to be called.
  virtual bool is_client_disconnected() const { return false; }
  // True where what is written has reached its end by that: nothing of it is held for a slow client.
  virtual bool consumes_immediately() const { return false; }
};

}  // namespace sablelink::dispatch
