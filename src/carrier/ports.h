// What the carrier needs of the world around it: nodes to send to, clients to answer, a list of nodes. All
// are passed in, and all are called on the carrier's strand.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway.h"

namespace sablelink::carrier {

// One attempt of one request, on both sides of the node transport.
struct AttemptId {
  RequestId request = 0;
  int number = 0;  // 0 for the first
  bool operator==(const AttemptId&) const = default;
};

enum class ExecutionKind {
  kQuery,   // answered with rows
  kUpdate,  // changes data: run with DoPut, answered with a count
  kPlan,    // not run: answered with its columns and those of its parameters, as one message
};

// What a client asked to be run. Shared by all attempts.
struct Statement {
  std::string text;
  ExecutionKind kind = ExecutionKind::kQuery;
  std::string client_tag;       // the client's own name for its request, passed on to nodes; may be empty
  std::string idempotency_key;  // by which nodes drop repeats; passed on as it came, empty where none did
  std::string ordering_key;     // the client's name of what keeps its order; passed on likewise
};

struct AttemptSpec {
  std::shared_ptr<const Statement> statement;
  int class_index = 0;
  int priority = 1;
  double memory_grant_mb = 0;  // 0: the node decides
  TimeUs remaining_us = 0;     // time left for this attempt when it was sent
  // Asked right before the first byte leaves, where that may be well after start(): whether all that was
  // decided still holds. Where not, the attempt ends as moot. Empty: it holds.
  std::function<bool()> still_valid;
};

// An error that a node answered with, as its status told it.
struct EngineError {
  int code = 0;  // of gRPC
  std::string message;
};

struct AttemptResult {
  Outcome outcome = Outcome::kOk;
  std::optional<double> work_us;
  std::optional<double> memory_used_mb;
  std::optional<LoadReport> load_report;
  EngineError error;                // where the outcome isn't kOk
  bool engine_responsive = false;   // of kReset: the engine itself has answered since, on another connection
  bool is_statement_error = false;  // the error is the statement's own: every node would answer so
};

// Sends attempts to nodes. What comes back is told to the Carrier, never from within these calls, and nothing
// of an attempt after drop() or after its end.
class EngineTransport {
 public:
  virtual ~EngineTransport() = default;
  virtual void start(AttemptId key, EngineId engine, const AttemptSpec& order) = 0;
  // Forgets the attempt and tells the node to stop it.
  virtual void cancel(AttemptId key) = 0;
  // Reads on in an answer of which Carrier::attempt_message wanted no more.
  virtual void resume(AttemptId key) = 0;
  virtual void check_health(uint32_t probe, EngineId engine) = 0;
  virtual void close_idle_connections(EngineId engine) = 0;
};

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

// Takes one request's answer: messages in order, then the end, once. Called from within the carrier's events,
// so it must not call back; what it has passed on it tells later, by Carrier::consumed.
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

// Where the list of nodes comes from; answers reach Carrier::set_list.
class EndpointSource {
 public:
  virtual ~EndpointSource() = default;
  virtual void watch(bool on) = 0;
  virtual void fetch() = 0;
};

}  // namespace sablelink::carrier
