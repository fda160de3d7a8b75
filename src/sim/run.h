// Runs a scenario: the gateway's own code, from its front to its node client, over the simulated network,
// with stand-in nodes, clients and the troubles told; the rules are checked after every step.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "audit/rules.h"
#include "sim/observer.h"
#include "sim/scenario.h"

namespace sablelink::sim {

// Deliberate defects, planted to see that they are found. Each is put between the parts of a gateway or into
// what it is told; the gateway's code stays as it is.
enum class Defect {
  kNone,
  kDoubledSend,        // some attempts are sent twice
  kDropForgotten,      // nodes aren't told that an attempt is given up
  kAnswerTwice,        // some calls are ended twice
  kAnswerNever,        // some answers are kept
  kAnswerLate,         // clients are taken to wait longer than they do
  kClientLeftUnheard,  // clients that leave aren't noticed
  kDrainIgnored,       // draining nodes are taken for ready ones
  kGraceIgnored,       // drains may take their time
  kUnsafeRepeated,     // unsafe classes are taken for safe ones
  kKeyedAnywhere,      // keyed classes may be repeated anywhere
  kOrderIgnored,       // keys take no turns
  kGapIgnored,         // and don't rest after an attempt that may run on
  kPlacementIgnored,   // bound classes may run anywhere
  kBudgetIgnored,      // further attempts aren't counted
  kColdIgnored,        // cold nodes are taken for warm ones
  kLostTimer,          // some calls of the clock never come
  kBatchLost,          // answers that were tried again miss their last batch
  kBatchDoubled,       // or have it twice
  kBatchesMixed,       // or have one of another answer among theirs
  kSchemaOfAnother,    // tickets tell another statement's columns
  kUnreadKept,         // what clients that left haven't read is kept
  kPlanUnbounded,      // planning calls aren't rationed
  kPlanStays,          // all planning calls go to the node that had the first
};
constexpr int kDefects = 24;
const char* defect_name(Defect defect);

struct RunOptions {
  Defect defect = Defect::kNone;
  bool keep_account = false;
  bool stop_at_finding = false;
};

struct RunResult {
  std::vector<audit::Finding> findings;  // rule 0: a promise that is none of the seven
  std::string account;                   // where kept
  uint64_t digest = 0;                   // of the account, kept or not
  uint64_t steps = 0, lines = 0;
  TimeUs simulated_us = 0;
  Ends ends;
  uint64_t attempts = 0, further_attempts = 0, plans = 0;
  // Of gateways' last lives: answers that flowed, those among them that the total bound made flow, and
  // clients that left with bytes unread.
  uint64_t streams = 0, bound_reached = 0, left_unread = 0;
  audit::RuleCounts counts;
};

RunResult run(const Scenario& scenario, const RunOptions& options = {});

// Pairs of troubles that overlap in time in a scenario; [a][b] with a <= b is 1 where they do.
using Pairs = std::array<std::array<uint32_t, kTroubles>, kTroubles>;
void count_pairs(const Scenario& scenario, Pairs* pairs);

// A smaller scenario that still breaks the same rule: troubles and requests are left out as long as it does,
// for at most so many runs.
Scenario shrink(const Scenario& scenario, const RunOptions& options, int rule, int most_runs);

}  // namespace sablelink::sim
