// The engines' endpoints as the change log's events leave them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "platform/config.h"

namespace sablelink::platform {

/// Endpoint list that events are applied to in their order. Pure.
class EndpointSet {
 public:
  /// True: the event was about endpoints, so that the list may have changed.
  bool apply(const WatchEvent& event);
  /// The list, ordered by name.
  std::vector<config::EngineConfig> endpoints() const;

 private:
  std::map<std::string, config::EngineConfig> endpoints_;  // by name
};

}  // namespace sablelink::platform
