// The script of a fault drill: processes, traffic and events, read from TOML (see badday/script.toml).
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/gateway_config.h"
#include "nodes/node_config.h"

namespace sablelink::badday {

// One kind of request in the traffic.
struct Traffic {
  std::string class_name;       // sent as the header x-class
  double request_fraction = 0;  // of all requests
  double mean_work_us = 0;      // the mean of a log-normal distribution
  double work_sigma = 0.5;      // the sigma of that distribution
  double threads = 1;
  double memory_mb = 16;
  int64_t rows = 5;
  bool update = false;
  int ordering_key_count = 0;  // 0: requests have no ordering key
  double cancel_fraction = 0;  // the fraction of the clients that cancel their request early
  // Including the first. A client resubmits a request that was rejected or whose gateway was unreachable.
  int max_submissions = 1;
};

struct Event {
  enum class Kind { kDeploy, kKillNode, kKillGateway, kBurst, kFault };
  Kind kind = Kind::kBurst;
  TimeUs at = 0;  // since the start of the drill
  TimeUs duration_us = 0;
  std::vector<int> nodes;  // indexes
  int gateway = 0;         // index
  int batch_size = 1;      // deploy: the number of nodes restarted at the same time
  TimeUs drain_us = 0;     // deploy: from marking a node as draining to the end of its process
  double value = 1;        // burst: the factor on the request rate; fault: see nodes::Fault::value
  nodes::FaultKind fault = nodes::FaultKind::kHang;
};

struct Script {
  TimeUs length_us = 60'000'000;
  int gateways = 3;
  int nodes = 8;
  int zones = 1;     // nodes are assigned to the zones round-robin
  double rate = 90;  // requests per second
  uint64_t seed = 1;
  std::string gateway_template, node_template;  // TOML without names, addresses and node lists
  config::GatewayConfig gateway;                // gateway_template, parsed for its classes and rules
  nodes::NodeConfig node;                       // node_template, parsed
  std::vector<Traffic> traffic;
  std::vector<Event> events;  // sorted by time
};

// Throws config::ConfigError.
Script parse_script(std::string_view text, const std::string& file);

// The contents of the configuration file of one gateway, with the current list of nodes, and of one node.
std::string gateway_toml(const Script& script, int index, const std::string& listen,
                         const std::vector<config::EngineConfig>& nodes);
std::string node_toml(const Script& script, const config::EngineConfig& node, const std::string& record,
                      bool with_faults);

}  // namespace sablelink::badday
