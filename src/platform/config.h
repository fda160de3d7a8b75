// What the platform gives a gateway: the JSON object in the file that BALANCER_CONFIG names.
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

  // What this process may use.
  double cpu_cores = 1;
  size_t memory_mb = 192;
  size_t max_descriptors = 256;

  std::string watch_address;               // "host:port" of the watch on the endpoint list
  std::vector<WatchEvent> initial_events;  // what is known of the list at the start
  uint64_t initial_sequence_number = 0;    // the watch continues after this event

  Settings settings;
  SettingNames names;
  TimeUs dial_timeout_us = 250'000;            // an engine that hasn't accepted by then is unreachable
  TimeUs engine_idle_timeout_us = 15'000'000;  // engines close connections that are idle for this long
};

/// Parses the configuration. Throws ConfigError.
PlatformConfig parse_config(std::string_view text);

}  // namespace sablelink::platform
