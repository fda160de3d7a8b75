// An attempt to execute a request on an engine: what is sent, and the result.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "workload/events.h"
#include "workload/types.h"

namespace sablelink::dispatch {

/// Identifies an attempt between the dispatcher and the engine transport.
struct AttemptId {
  RequestId request = 0;
  int number = 0;  // among the request's attempts, from 0
  bool operator==(const AttemptId&) const = default;
};

enum class ExecutionKind {
  kQuery,   // returns rows
  kUpdate,  // changes data and returns the number of changed rows
  kPlan,    // isn't executed; returns the columns of the result and of the parameters, as one message
};

/// A client's statement. Immutable and shared by all attempts of the request.
struct Statement {
  std::string text;
  ExecutionKind kind = ExecutionKind::kQuery;
  std::string client_tag;       // the client's label for the request; forwarded to engines; may be empty
  std::string idempotency_key;  // lets engines detect duplicates; forwarded unchanged; may be empty
  std::string ordering_key;     // equal keys are executed in order; forwarded unchanged; may be empty
};

/// Parameters of an attempt that the engine transport needs.
struct AttemptSpec {
  std::shared_ptr<const Statement> statement;
  int class_index = 0;
  int priority = 1;
  double memory_grant_mb = 0;  // 0: the engine decides
  TimeUs remaining_us = 0;     // time until the attempt's deadline, at the call of EngineTransport::start()
  TimeUs request_remaining_us = 0;  // time until the request's deadline, then
  /// Returns whether the attempt should still be sent. A transport that has delayed the attempt calls this
  /// right before it sends the first byte and, on false, completes the attempt as kSuperseded instead. May be
  /// empty; the attempt is then always sent.
  std::function<bool()> still_valid;
};

/// An error as an engine reported it.
struct EngineError {
  int code = 0;  // a gRPC status code
  std::string message;
};

/// Result of an attempt. The engine reports the measurements with its response.
struct AttemptResult {
  Outcome outcome = Outcome::kOk;
  std::optional<double> work_us;  // total over all threads, as time on a single thread
  std::optional<double> memory_used_mb;
  std::optional<LoadReport> load_report;
  EngineError error;                // set unless the outcome is kOk
  bool engine_responsive = false;   // with kReset: the engine has since responded on another connection
  bool is_statement_error = false;  // the statement is invalid: every engine would return this error
};

}  // namespace sablelink::dispatch
