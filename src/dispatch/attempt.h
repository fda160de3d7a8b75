// One attempt of a request at an engine: what is sent, and how it ended.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "workload/events.h"
#include "workload/types.h"

namespace sablelink::dispatch {

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

}  // namespace sablelink::dispatch
