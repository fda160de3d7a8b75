// What the platform tells a gateway: the JSON object in BALANCER_CONFIG.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/gateway_config.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink::platform {

struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One change of the list of nodes, or an event about something else, without nodes.
struct WatchEvent {
  uint64_t sequence_number = 0;
  bool is_complete = false;    // nodes is the whole list
  bool has_endpoints = false;  // false: the event is about something else
  struct EndpointChange {
    config::EngineConfig endpoint;
    bool is_removed = false;
  };
  std::vector<EndpointChange> endpoints;
};

// The names that the platform's messages use for what settings list by index.
struct SettingNames {
  std::vector<std::string> classes, zones, engine_types, report_fields, tenants;
};

struct PlatformConfig {
  std::string name, listen_address;
  uint64_t seed = 0;
  double cpu_cores = 1;
  size_t memory_mb = 192, max_descriptors = 256;
  std::string watch_address;
  uint64_t initial_sequence_number = 0;
  std::vector<WatchEvent> initial_events;
  Settings settings;
  SettingNames names;
  TimeUs dial_timeout_us = 250'000;            // a node without a connection by then can't be reached
  TimeUs engine_idle_timeout_us = 15'000'000;  // nodes close connections that are idle for this long
};

// Throws ConfigError, which names what is wrong.
PlatformConfig parse_config(std::string_view json);

// An event as a line of the change log. Throws ConfigError.
WatchEvent parse_watch_event(std::string_view json, const SettingNames& names);

}  // namespace sablelink::platform
