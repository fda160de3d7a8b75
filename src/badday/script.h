// The script of a bad day: processes, traffic and troubles, read from TOML (see badday/script.toml).
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/gateway_config.h"
#include "nodes/node_config.h"

namespace sablelink::badday {

struct Traffic {
  std::string cls;      // sent as the header x-class
  double share = 0;     // of all requests
  double work_us = 0;   // mean of a log-normal
  double spread = 0.5;  // its sigma
  double threads = 1;
  double memory_mb = 16;
  int64_t rows = 5;
  bool update = false;
  int keys = 0;       // order keys; 0: none
  double leaves = 0;  // share of the clients that go away early
  int tries = 1;      // of a client, after refusals
};

struct Event {
  enum class Kind { kDeploy, kKillNode, kKillGateway, kBurst, kFault };
  Kind kind = Kind::kBurst;
  TimeUs at = 0, for_us = 0;
  std::vector<int> nodes;  // by number, from 0
  int gateway = 0;
  int batch = 1;        // deploy: nodes at a time
  TimeUs drain_us = 0;  // deploy: from telling the drain to the end of the process
  double value = 1;     // burst: times the usual; fault: its value
  nodes::FaultKind fault = nodes::FaultKind::kHang;
};

struct Script {
  TimeUs length_us = 60'000'000;
  int gateways = 3;
  int nodes = 8;
  int zones = 1;     // nodes are dealt out over them in turn
  double rate = 90;  // requests a second
  uint64_t seed = 1;
  std::string gateway_template, node_template;  // TOML without names, addresses and nodes
  config::GatewayConfig gateway;                // what the template says, for classes and rules
  nodes::NodeConfig node;
  std::vector<Traffic> traffic;
  std::vector<Event> events;  // by time
};

// Throws config::ConfigError.
Script parse_script(std::string_view text, const std::string& file);

// The configuration file of one gateway with the nodes as they stand, and of one node.
std::string gateway_toml(const Script& script, int index, const std::string& listen,
                         const std::vector<config::EngineConfig>& nodes);
std::string node_toml(const Script& script, const config::EngineConfig& node, const std::string& record,
                      bool with_faults);

}  // namespace sablelink::badday
