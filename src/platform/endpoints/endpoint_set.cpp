#include "platform/endpoints/endpoint_set.h"

namespace sablelink::platform {

bool EndpointSet::apply(const WatchEvent& event) {
  if (!event.has_endpoints) return false;
  if (event.replaces_list) endpoints_.clear();
  for (const WatchEvent::EndpointChange& change : event.endpoints) {
    if (change.is_removed) {
      endpoints_.erase(change.endpoint.name);
    } else {
      endpoints_[change.endpoint.name] = change.endpoint;
    }
  }
  return true;
}

std::vector<config::EngineConfig> EndpointSet::endpoints() const {
  std::vector<config::EngineConfig> endpoints;
  endpoints.reserve(endpoints_.size());
  for (const auto& [name, endpoint] : endpoints_) endpoints.push_back(endpoint);
  return endpoints;
}

}  // namespace sablelink::platform
