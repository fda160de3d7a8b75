// The configuration of a gateway, read from TOML. docs/operating.md lists every key.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/section.h"
#include "config/selectors.h"
#include "dispatch/request_dispatcher.h"
#include "schemas/planning.h"
#include "schemas/store.h"
#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink::config {

struct EngineConfig {
  std::string name;
  std::string address;  // "host:port"
  EndpointState state = EndpointState::kReady;
  int cell = 0;
  int zone = 0;
  int engine_type = 0;
  double size = 1;
  TimeUs started_at = 0;  // since 1970, as the register tells it; 0: long ago
};

struct FlightSqlLimits {
  size_t statement_bytes = 256u << 10;    // longer statements are refused as wrong
  size_t message_bytes = 16u << 20;       // of one message, either way
  size_t open_per_connection = 2'000;     // requests of one client connection
  size_t prepared = 10'000;               // prepared statements, all clients together
  size_t prepared_bytes = 64u << 20;      // their texts and bound values
  TimeUs prepared_idle_us = 600'000'000;  // one not used for this long may be forgotten
  TimeUs answer_margin_us = 25'000;       // kept of a client's time for the answer's way back
  TimeUs dial_timeout_us = 250'000;       // a node without a connection by then can't be reached
  TimeUs stop_grace_us = 30'000'000;      // after a signal to stop, requests have this long to end
  size_t node_connections = 1;            // to each node; a connection carries many requests
};

struct GatewayConfig {
  std::string name;
  std::string listen;
  Settings settings;
  std::vector<std::string> class_names, zone_names, engine_type_names;
  dispatch::DispatcherLimits dispatcher;
  FlightSqlLimits flight_sql;
  schemas::StoreLimits schemas;
  schemas::PlanningLimits planning;
  int planning_class = 0;  // of planning calls, where those are on
  SelectorSettings selectors;
  std::vector<EngineConfig> engines;
  std::string log_level = "info";

  int class_named(std::string_view wanted) const;  // the first class where there is none of the name
};

// file is only for messages. Throws ConfigError.
GatewayConfig parse_gateway_config(std::string_view text, const std::string& file);

}  // namespace sablelink::config
