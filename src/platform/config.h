// What the platform tells a gateway: the JSON object in BALANCER_CONFIG.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/gateway_config.h"
#include "workload/error.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink::platform {

struct ConfigError : Error {
  using Error::Error;
};

// One change of the list of nodes, or an event about something else, without nodes.
struct ChangeEvent {
  uint64_t sequence_number = 0;
  bool is_complete = false;    // nodes is the whole list
  bool has_endpoints = false;  // false: the event is about something else
  struct Node {
    config::EngineConfig node;
    bool gone = false;
  };
  std::vector<Node> nodes;
};

// The names that the platform's messages use for what settings list by index.
struct SettingNames {
  std::vector<std::string> classes, zones, engine_types, report_fields, tenants;
};

struct PlatformConfig {
  std::string name, listen;
  uint64_t seed = 0;
  double cores = 1;
  size_t memory_mb = 192, sockets = 256;
  std::string changelog;
  uint64_t known_seq = 0;
  std::vector<ChangeEvent> known;
  Settings settings;
  SettingNames names;
  TimeUs dial_timeout_us = 250'000;   // a node without a connection by then can't be reached
  TimeUs idle_close_us = 15'000'000;  // nodes close connections that are idle for this long
};

// Throws ConfigError, which names what is wrong.
PlatformConfig parse_config(std::string_view json);

// An event as a line of the change log. Throws ConfigError.
ChangeEvent parse_event(std::string_view json, const SettingNames& names);

}  // namespace sablelink::platform
