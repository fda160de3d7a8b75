// What happens in a simulated world: who asks what and when, and which troubles come. Made from a seed, or
// read from TOML; either way it is plain data, so that a failing world can be cut down and written out to be
// run again. Each request and each trouble has a number of its own, from which its random numbers come:
// leaving one out changes nothing of the others.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "workload/types.h"

namespace sablelink::sim {

enum class Trouble {
  kNodeCrash,      // a node's process dies and comes back cold after the time
  kNodeSilence,    // the same, but its connections fall silent instead of breaking
  kNodeHang,       // takes requests and answers none
  kNodeErrors,     // answers with errors at once
  kNodeLost,       // works and never answers
  kNodeSlow,       // value times slower
  kNodeAgeing,     // grows slower step by step, up to value times
  kNodeRefuses,    // admits nothing
  kReportsStale,   // load reports stand still
  kDrain,          // told to drain, ends after the time, comes back cold
  kDrainLate,      // the same, but the gateways hear of it as it ends
  kDeploy,         // all nodes in turn, a time each
  kZoneLoss,       // a zone's nodes die together and come back cold
  kAllDown,        // every node dies and all come back cold together
  kLinkSlow,       // messages to and from a node take value ms longer
  kLinkCut,        // a gateway's line to a node goes silent and then breaks
  kLinkStalls,     // the same, but what was sent arrives in the end
  kReset,          // a gateway's connections to a node break
  kRefused,        // a node's port refuses connections
  kSwallowed,      // connections to a node never come about
  kAnswerLost,     // the next value answers of a node are lost on the way
  kGatewayCrash,   // a gateway dies and comes back after the time
  kGatewayRoll,    // all gateways in turn
  kGatewayStall,   // a gateway stands still for the time
  kClockJump,      // a gateway's clock goes forward by the time
  kDiscoveryDown,  // a gateway's list stays what it was
  kListShrinks,    // a gateway's list misses some nodes
  kListDoubles,    // a gateway's list names a node twice
  kHotCaller,      // a desk asks value times as much, all of one key
  kImpatience,     // clients leave early and come back at once
  kClientReset,    // the connections of a desk break
  kMemoryShort,    // value is the share of its memory that a node has left
  kStaleStart,     // a gateway dies and starts from the list of then, hearing no other for value ms
};
constexpr int kTroubles = 33;
const char* trouble_name(Trouble trouble);

struct TroubleEvent {
  uint64_t number = 0;
  Trouble kind = Trouble::kNodeCrash;
  TimeUs at = 0, how_long = 0;  // after the beginning
  int target = 0;               // the node, gateway, zone or desk, modulo how many there are
  int second = 0;               // of a pair, the gateway
  double value = 0;
};

// One client's request and its further tries.
struct RequestEvent {
  uint64_t number = 0;
  TimeUs at = 0;
  int desk = 0;     // the client process it comes from
  int gateway = 0;  // asked first
  std::string cls;
  std::string key;
  double work_us = 0;
  double threads = 1;
  double memory_mb = 16;
  std::string select = "*";  // the columns asked for
  int rows = 3;
  size_t row_bytes = 16;
  TimeUs read_every_us = 0;  // a slow reader: pauses before each message
  int stops_after = -1;      // reads no further after so many messages; -1: reads all
  TimeUs patience_us = 0;
  TimeUs leaves_after_us = 0;  // 0: stays
  int tries = 1;
  std::string plan_mishap;  // of planning it
  std::string mishap;       // of the statement, as nodes/node_config.h names them; on its first attempt
};

struct Scenario {
  std::string name;
  uint64_t seed = 1;
  int gateways = 3, nodes = 8, zones = 2, desks = 4;
  double cores = 2;               // of a node
  TimeUs length_us = 12'000'000;  // nothing begins after
  bool probes = false;
  std::vector<RequestEvent> requests;
  std::vector<TroubleEvent> troubles;
};

// The classes that every simulated world has, by name: lookup and report are safe, booking is unsafe, ordered
// takes turns by key and is unsafe, bound runs in zone z0 alone, keyed may be repeated in its cell.
inline constexpr std::array<std::string_view, 6> kClasses = {"lookup",  "report", "booking",
                                                             "ordered", "bound",  "keyed"};

// A world from its seed: at least 3 gateways, 8 nodes, 300 requests and several troubles at once.
Scenario make_scenario(uint64_t seed);

// docs/simulating.md tells the keys. file is only for messages. Throws config::ConfigError.
Scenario parse_scenario(std::string_view text, const std::string& file);
std::string to_toml(const Scenario& scenario);

}  // namespace sablelink::sim
