// Runs a scenario: the gateway's real code, from its server to its engine client, on the simulated network,
// with stand-in nodes, clients and injected faults. The rules are checked after every step.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "audit/rules.h"
#include "sim/observer.h"
#include "sim/scenario.h"

namespace sablelink::sim {

// Mutations of the gateway, to test that the simulation finds defects. Each one is placed between the parts
// of a gateway or in its inputs; the gateway's code isn't changed.
enum class Mutation {
  kNone,
  kDuplicateSend,         // some attempts are sent twice
  kCancelNotSent,         // nodes aren't notified when an attempt is cancelled
  kDuplicateResponse,     // some calls get two final statuses
  kResponseNeverSent,     // some responses are never sent
  kTimeoutExtended,       // clients' timeouts seem longer than they are
  kClientCancelIgnored,   // cancellation by clients isn't noticed
  kDrainIgnored,          // draining nodes seem to be ready
  kDrainGraceIgnored,     // the grace period after the start of a drain is practically unlimited
  kNonIdempotentRetried,  // non-idempotent classes are treated as idempotent
  kKeyedRetriedAnywhere,  // keyed classes may be retried outside their deduplication scope
  kKeyOrderIgnored,       // requests with the same key run concurrently
  kOrderingGapIgnored,    // there is no delay per key after an attempt that may still run
  kPlacementIgnored,      // classes bound to zones may run anywhere
  kRetryBudgetIgnored,    // there is no retry budget
  kSlowStartIgnored,      // nodes that are warming up get full load
  kTimerLost,             // some timers never fire
  kBatchLost,             // responses of retried requests lack the last batch
  kBatchDuplicated,       // responses of retried requests contain the last batch twice
  kForeignBatch,          // responses of retried requests contain a batch of another response
  kForeignSchema,         // tickets contain the schema of another statement
  kUnreadBytesLeaked,     // bytes that cancelled clients haven't read are never released
  kPlanningUnlimited,     // the number of planning calls isn't limited
  kPlanningPinned,        // all planning calls go to the node of the first one
};
constexpr int kMutations = 24;
const char* mutation_name(Mutation mutation);

struct RunOptions {
  Mutation mutation = Mutation::kNone;
  bool keep_event_log = false;
  bool stop_at_finding = false;
};

struct RunResult {
  std::vector<audit::Finding> findings;  // rule 0: a property outside the seven rules
  std::string event_log;                 // if kept
  uint64_t digest = 0;                   // of the event log, kept or not
  uint64_t steps = 0, line_count = 0;
  TimeUs simulated_us = 0;
  EndCounts ends;
  uint64_t attempts = 0, retries = 0, planning_calls = 0;
  // Of the last incarnation of each gateway: streamed responses, those of them that were streamed because the
  // total buffer limit was reached, and clients that cancelled with bytes unread.
  uint64_t streamed_responses = 0, buffer_limit_reached = 0, cancelled_unread = 0;
  audit::RuleCounts counts;
};

RunResult run(const Scenario& scenario, const RunOptions& options = {});

// The number of pairs of faults that overlap in time, by their kinds, at [a][b] with a <= b.
using FaultPairs = std::array<std::array<uint32_t, kFaultKinds>, kFaultKinds>;
void count_fault_pairs(const Scenario& scenario, FaultPairs* pairs);

// Reduces a scenario that breaks a rule: removes faults and requests as long as it still breaks the same
// rule, with at most `max_runs` runs.
Scenario shrink(const Scenario& scenario, const RunOptions& options, int rule, int max_runs);

}  // namespace sablelink::sim
