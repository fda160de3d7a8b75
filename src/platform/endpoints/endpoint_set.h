// Endpoint list that results from the events of the change log.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "platform/config.h"

namespace sablelink::platform {

/// Applies events to an endpoint list, in order of sequence numbers. Pure.
class EndpointSet {
 public:
  /// Applies an event. Returns false if the event does not concern endpoints, so the list is unchanged.
  bool apply(const WatchEvent& event);
  /// All endpoints, ordered by name.
  std::vector<config::EngineConfig> endpoints() const;

 private:
  std::map<std::string, config::EngineConfig> endpoints_;  // by name
};

}  // namespace sablelink::platform
