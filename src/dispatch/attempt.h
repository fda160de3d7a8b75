// One attempt of a request at an engine: what is sent, and how it ended.
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
  kUpdate,  // changes data and returns the number of rows that changed
  kPlan,    // isn't executed: returns the columns of its result and of its parameters, as one message
};

/// What a client asks an engine to execute. Immutable and shared by all attempts of the request.
struct Statement {
  std::string text;
  ExecutionKind kind = ExecutionKind::kQuery;
  std::string client_tag;       // the client's own name for the request, forwarded to engines; may be empty
  std::string idempotency_key;  // by which engines drop duplicates, forwarded unchanged; may be empty
  std::string ordering_key;     // names what is to be executed in order, forwarded unchanged; may be empty
};

/// What the engine transport needs to execute one attempt.
struct AttemptSpec {
  std::shared_ptr<const Statement> statement;
  int class_index = 0;
  int priority = 1;
  double memory_grant_mb = 0;  // 0: the engine decides
  TimeUs remaining_us = 0;     // time left for the attempt when it was handed to the transport
  /// Whether the reasons for the attempt still hold. A transport that has delayed the attempt calls it right
  /// before the first byte is sent; if false, it completes the attempt as kSuperseded instead. Empty: they
  /// hold.
  std::function<bool()> still_valid;
};

/// An error as an engine reported it.
struct EngineError {
  int code = 0;  // a gRPC status code
  std::string message;
};

/// How an attempt ended. Measurements are those that the engine reported with its response.
struct AttemptResult {
  Outcome outcome = Outcome::kOk;
  std::optional<double> work_us;  // of all threads, as time on one
  std::optional<double> memory_used_mb;
  std::optional<LoadReport> load_report;
  EngineError error;                // unless the outcome is kOk
  bool engine_responsive = false;   // with kReset: the engine has since responded on another connection
  bool is_statement_error = false;  // the statement is at fault: every engine would return this error
};

}  // namespace sablelink::dispatch
