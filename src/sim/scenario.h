// The input of a simulation run: the client requests and the faults, each with its time. A scenario is
// generated from a seed or parsed from TOML. It is plain data, so that a failing one can be reduced and
// written to a file for another run. Each request and each fault has a number that seeds its random stream;
// removing one therefore does not change the random numbers of the others.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "workload/types.h"

namespace sablelink::sim {

enum class FaultKind {
  kNodeCrash,              // the process ends without a drain and restarts, warming up, after the duration
  kNodePowerLoss,          // as kNodeCrash, but its connections stay open without traffic instead of breaking
  kNodeHang,               // accepts requests and responds to none while the fault lasts
  kNodeErrors,             // responds to every request with an error, at once
  kNodeNeverResponds,      // executes requests and never sends the response
  kNodeSlow,               // execution takes value times as long
  kNodeGradualSlowdown,    // as kNodeSlow, in four steps from 1 up to value
  kNodeRejects,            // rejects every request
  kLoadReportsStale,       // load reports are no longer updated
  kDrain,                  // drains, ends after the duration and restarts, warming up
  kDrainReportedLate,      // as kDrain, but the node lists show it only when the node ends
  kRollingDeploy,          // drains and restarts all nodes one after the other, one per duration
  kZoneLoss,               // all nodes of a zone crash together and restart, warming up
  kAllNodesDown,           // all nodes crash together and restart, warming up; one by one if peer is odd
  kLinkDelay,              // messages to and from a node take value ms longer
  kLinkLost,               // no messages between a gateway and a node; at the end their connections break
  kLinkStall,              // as kLinkLost, but at the end the buffered messages are delivered
  kConnectionReset,        // a gateway's connections to a node break
  kConnectionRefused,      // a node's port refuses connections
  kConnectTimeout,         // connection attempts to a node time out
  kResponseLost,           // the next value responses of a node are lost and their connections break
  kGatewayCrash,           // a gateway's process ends and restarts after the duration
  kGatewayRollingRestart,  // restarts all gateways one after the other, one per duration
  kGatewayStall,           // a gateway executes nothing for the duration
  kClockJump,              // a gateway's clock jumps forward by the duration
  kDiscoveryOutage,        // a gateway's node list isn't updated
  kNodeListPartial,        // some nodes are missing from a gateway's node list
  kNodeListDuplicates,     // some nodes are listed twice in a gateway's node list
  kHotKey,                 // a client process sends value additional requests, all with one key
  kEarlyCancels,           // clients cancel early and retry at once
  kClientConnectionReset,  // the connections of a client process break
  kMemoryShortage,         // a node has only the fraction value of its memory
  kGatewayStaleStart,      // a gateway crashes, restarts with its old node list, not updated for value ms
};
constexpr int kFaultKinds = 33;
const char* fault_name(FaultKind kind);

struct FaultEvent {
  uint64_t number = 0;
  FaultKind kind = FaultKind::kNodeCrash;
  TimeUs at = 0, duration = 0;  // at: from the start of the run
  int target = 0;               // index of the node, gateway, zone or client process, modulo their number
  int peer = 0;                 // index of the gateway, for faults between a gateway and a node
  double value = 0;             // its meaning depends on the kind, see there
};

// One client's request, including its retries by the client.
struct RequestEvent {
  uint64_t number = 0;
  TimeUs at = 0;
  int client_process = 0;
  int gateway = 0;  // of the first attempt; each retry goes to the next one
  std::string cls;
  std::string key;
  double work_us = 0;
  double threads = 1;
  double memory_mb = 16;
  std::string select_list = "*";
  int rows = 3;
  size_t row_bytes = 16;
  TimeUs read_interval_us = 0;  // a slow reader: waits this long before each message
  int max_messages_read = -1;   // stops reading after this number of messages; -1: reads all
  TimeUs timeout_us = 0;        // of all attempts together
  TimeUs cancel_after_us = 0;   // of the first attempt; 0: doesn't cancel
  int max_attempts = 1;         // by the client
  // Faults of the stand-in, by their names in nodes/node_config.h: while planning the query, and while
  // executing its first attempt.
  std::string planning_fault;
  std::string query_fault;
};

struct Scenario {
  std::string name;
  uint64_t seed = 1;
  int gateways = 3, nodes = 8, zones = 2, client_processes = 4;
  double node_cores = 2;
  TimeUs duration_us = 12'000'000;  // no request or fault starts later
  bool health_checks = false;
  std::vector<RequestEvent> requests;
  std::vector<FaultEvent> faults;
};

// The classes of workload in every simulation: lookup and report are idempotent; booking isn't; ordered isn't
// either and is executed in order per key; bound runs only in zone z0; keyed is idempotent by its key within
// a cell.
inline constexpr std::array<std::string_view, 6> kClasses = {"lookup",  "report", "booking",
                                                             "ordered", "bound",  "keyed"};

// Generates a scenario with at least 3 gateways, 8 nodes, 300 requests and 3 faults, which may overlap.
Scenario make_scenario(uint64_t seed);

// Parses a scenario file; docs/simulating.md documents its keys. `file` is used in error messages only.
// Throws config::ConfigError.
Scenario parse_scenario(std::string_view text, const std::string& file);
std::string to_toml(const Scenario& scenario);

}  // namespace sablelink::sim
