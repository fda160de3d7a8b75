// Events of the platform's change log, which reports changes of the endpoint list.
#pragma once

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <string_view>
#include <vector>

#include "config/gateway_config.h"
#include "platform/setting_names.h"

namespace sablelink::platform {

/// One event. Events that do not concern endpoints have sequence numbers too.
struct WatchEvent {
  struct EndpointChange {
    config::EngineConfig endpoint;
    bool is_removed = false;  // only the endpoint's name is used then
  };

  uint64_t sequence_number = 0;
  bool has_endpoints = false;  // false: the event does not concern endpoints
  bool replaces_list = false;  // `endpoints` is the complete list
  std::vector<EndpointChange> endpoints;
};

/// Parses one event from JSON text. Throws ConfigError.
WatchEvent parse_watch_event(std::string_view text, const SettingNames& names);
/// Parses one event from JSON. Throws ConfigError.
WatchEvent parse_watch_event(const boost::json::value& value, const SettingNames& names);

}  // namespace sablelink::platform
