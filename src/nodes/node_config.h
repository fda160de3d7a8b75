// The configuration of a stand-in node, and the hint comments by which statements set their own cost and
// faults.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "nodes/engine.h"

namespace sablelink::nodes {

enum class FaultKind {
  kHang,            // accepts requests and never responds
  kErrors,          // responds at once with an error
  kLostResponses,   // does the work and never responds
  kSlow,            // runs slower by the factor in value
  kStaleReports,    // load reports keep the figures from before the fault
  kReject,          // rejects every request
  kMemoryPressure,  // only the fraction in value of the memory is available, so that jobs queue or spill
};

// The names of the kinds in configurations and scripts.
const std::vector<std::pair<std::string, FaultKind>>& fault_kind_names();

struct Fault {
  FaultKind kind = FaultKind::kHang;
  TimeUs start_us = 0;  // since the node's start
  TimeUs duration_us = 0;
  double value = 1;  // used by kSlow and kMemoryPressure only
  bool is_active_at(TimeUs age) const { return age >= start_us && age < start_us + duration_us; }
};

struct NodeConfig {
  std::string name;
  std::string listen;
  EngineSettings engine;
  bool honors_grants = false;
  TimeUs progress_interval_us = 0;           // the interval of progress notes; 0: none are sent
  TimeUs load_report_interval_us = 200'000;  // the interval at which the load report is refreshed
  size_t batch_bytes = 64u << 10;            // the approximate size of a batch in a response
  std::vector<Fault> faults;
  std::string record_path;  // path of the file to which the node's events are appended; empty: none
};

// Throws config::ConfigError.
NodeConfig parse_node_config(std::string_view text, const std::string& file);

// The cost of a statement and the fault to inject into it, given by a comment in the statement, for example
// /*+ work=200ms threads=4 memory=64 io=0.3 rows=10 */. A key that is missing or can't be parsed keeps its
// default.
struct StatementHint {
  double work_us = 5'000;
  double threads = 1;
  double io_fraction = 0.2;
  double memory_mb = 16;
  int64_t rows = 3;
  size_t min_text_bytes = 16;  // the minimum length of the values in text columns
  // A fault injected into a single statement, for tests.
  enum class HintFault {
    kNone,
    kError,             // the call fails after the work
    kInvalidStatement,  // the call fails at once, with an error that blames the statement
    kReject,            // the statement is not admitted
    kHang,              // the statement is accepted, not executed and never responded to
    kLostResponse,      // the statement is executed and never responded to
    kReset,             // the call is reset in the middle of the work
    kBreakStream,       // the stream is reset after the first batch
  };
  HintFault fault = HintFault::kNone;
  int on_attempt = -1;     // the number of the attempt that gets the fault; -1: all attempts
  std::string valid_node;  // the name of the only node that accepts the statement; empty: all do
  // Work and fault of planning the statement, in place of those of its execution.
  double plan_work_us = 2'000;
  HintFault plan_fault = HintFault::kNone;
};
StatementHint read_hint(std::string_view statement);

}  // namespace sablelink::nodes
