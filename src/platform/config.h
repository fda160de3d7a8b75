// Configuration of a gateway by the platform: the JSON object in the file named by BALANCER_CONFIG.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "platform/config_error.h"
#include "platform/setting_names.h"
#include "platform/watch_event.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink::platform {

struct PlatformConfig {
  std::string name;            // of this gateway
  std::string listen_address;  // "host:port", for clients
  uint64_t seed = 0;           // of the decision module's random numbers

  // Resource limits of this process.
  double cpu_cores = 1;
  size_t memory_mb = 192;
  size_t max_descriptors = 256;

  std::string change_log_address;          // "host:port" of the change log
  std::vector<WatchEvent> initial_events;  // of the change log, known at startup
  uint64_t initial_sequence_number = 0;    // of the last event that the configuration covers

  Settings settings;
  SettingNames names;
  TimeUs dial_timeout_us = 250'000;            // an engine that accepts no connection in time is unreachable
  TimeUs engine_idle_timeout_us = 15'000'000;  // engines close connections that are idle for this long
};

/// Parses the configuration. Throws ConfigError.
PlatformConfig parse_config(std::string_view text);

}  // namespace sablelink::platform
