// The configuration of a stand-in node, and what a statement's hint comment asks of it.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "nodes/engine.h"

namespace sablelink::nodes {

enum class FaultKind {
  kHang,          // takes requests and answers none
  kErrors,        // answers at once with an error
  kLostAnswers,   // does the work and never answers
  kSlow,          // value times slower
  kStaleReports,  // load reports stay what they were at its start
  kRefuse,        // admits nothing
  kMemoryShort,   // that share of its memory is left; what waits lines up, what starts spills
};

// The words that configurations and scripts use for them.
const std::vector<std::pair<std::string, FaultKind>>& fault_words();

// From a time after the node's start on; share of the requests hit, for those that hit single requests.
struct Fault {
  FaultKind kind = FaultKind::kHang;
  TimeUs from_us = 0, for_us = 0;
  double value = 1;
  bool holds_at(TimeUs age) const { return age >= from_us && age < from_us + for_us; }
};

struct NodeConfig {
  std::string name;
  std::string listen;
  EngineSettings engine;
  bool heeds_grants = false;
  TimeUs progress_every_us = 0;      // 0: no notes
  TimeUs report_every_us = 200'000;  // load reports are refreshed so often
  size_t batch_bytes = 64u << 10;    // of an answer's batches, about
  std::vector<Fault> faults;
  std::string record;  // file that takes a record of what passes; empty: none
};

// Throws config::ConfigError.
NodeConfig parse_node_config(std::string_view text, const std::string& file);

// What a statement costs and what goes wrong with it: /*+ work=200ms threads=4 memory=64 io=0.3 rows=10 */.
// Whatever isn't told keeps its default.
struct StatementHint {
  double work_us = 5'000;
  double threads = 1;
  double io = 0.2;
  double memory_mb = 16;
  int64_t rows = 3;
  size_t row_bytes = 16;  // of its text column
  // For tests; on_attempt tells which attempt it befalls, -1 all.
  enum class Mishap {
    kNone,
    kError,        // an error after the work
    kStatement,    // the statement is at fault
    kRefuse,       // not admitted
    kHang,         // taken, never worked on, never answered
    kLostAnswer,   // worked on, never answered
    kReset,        // broken off in the middle of the work
    kBreakStream,  // broken off after the first batch
  };
  Mishap mishap = Mishap::kNone;
  int on_attempt = -1;
  std::string valid_at;  // the only node to which the statement is right; empty: all
  // Of planning it.
  double plan_us = 2'000;
  Mishap plan_mishap = Mishap::kNone;
};
StatementHint read_hint(std::string_view statement);

}  // namespace sablelink::nodes
