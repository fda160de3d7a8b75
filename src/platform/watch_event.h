// Events of the platform's watch on the endpoint list, which its protocol calls the change log.
#pragma once

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <string_view>
#include <vector>

#include "config/gateway_config.h"
#include "platform/setting_names.h"

namespace sablelink::platform {

/// One event. Only some concern endpoints; the others still count in the sequence.
struct WatchEvent {
  struct EndpointChange {
    config::EngineConfig endpoint;
    bool is_removed = false;  // of `endpoint`, only the name counts then
  };

  uint64_t sequence_number = 0;
  bool has_endpoints = false;  // false: the event is about something else
  bool is_complete = false;    // `endpoints` replaces the whole list
  std::vector<EndpointChange> endpoints;
};

/// Parses one event from JSON text. Throws ConfigError.
WatchEvent parse_watch_event(std::string_view text, const SettingNames& names);
/// Parses one event from JSON. Throws ConfigError.
WatchEvent parse_watch_event(const boost::json::value& value, const SettingNames& names);

}  // namespace sablelink::platform
