// The configuration of a gateway, read from TOML. docs/operating.md lists every key. Only this component maps
// the keys to the names used in the code.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "config/section.h"
#include "config/selectors.h"
#include "dispatch/request_dispatcher.h"
#include "schemas/planning_coordinator.h"
#include "schemas/schema_cache.h"
#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink::config {

/// An analytic engine, as described by the configuration or by the platform's endpoint list.
struct EngineConfig {
  std::string name;
  std::string address;  // "host:port"
  EndpointState state = EndpointState::kReady;
  int cell = 0;
  int zone = 0;           // index
  int engine_type = 0;    // index
  double size = 1;        // relative to the other engines
  TimeUs started_at = 0;  // microseconds since 1970; 0: long ago
};

/// Limits of the Flight SQL server and of its connections to engines.
struct FlightSqlLimits {
  size_t max_statement_bytes = 256u << 10;
  size_t max_message_bytes = 16u << 20;  // received or sent
  size_t max_open_requests_per_connection = 2'000;
  size_t max_prepared_statements = 10'000;        // total over all clients
  size_t max_prepared_bytes = 64u << 20;          // texts and bound parameters of all prepared statements
  TimeUs prepared_idle_timeout_us = 600'000'000;  // prepared statements unused for longer may be dropped
  TimeUs response_margin_us = 25'000;             // subtracted from a client's timeout, to send the response
  TimeUs connect_timeout_us = 250'000;            // for connecting to an engine
  TimeUs shutdown_grace_us = 30'000'000;          // for requests in flight at a shutdown to complete
  size_t connections_per_engine = 1;              // each connection multiplexes many requests
};

struct GatewayConfig {
  std::string name;
  std::string listen_address;  // "host:port"
  std::string log_level = "info";
  Settings settings;
  std::vector<std::string> class_names;        // by class index
  std::vector<std::string> zone_names;         // by zone index
  std::vector<std::string> engine_type_names;  // by engine type index
  dispatch::DispatcherLimits dispatcher;
  FlightSqlLimits flight_sql;
  schemas::SchemaCacheLimits schema_cache;
  schemas::PlanningSettings planning;
  int planning_class = 0;  // index of the class of planning calls, if planning.enabled
  SelectorSettings selectors;
  std::vector<EngineConfig> engines;

  /// Returns the index of the class with this name; 0 if there is none.
  int class_index(std::string_view class_name) const;
};

/// Reads and validates a whole configuration. `file` is used in error messages only. Throws ConfigError.
GatewayConfig parse_gateway_config(std::string_view text, const std::string& file);

}  // namespace sablelink::config
