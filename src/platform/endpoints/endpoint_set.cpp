#include "platform/endpoints/endpoint_set.h"

namespace sablelink::platform {

bool EndpointSet::apply(const ChangeEvent& event) {
  if (!event.has_endpoints) return false;
  if (event.is_complete) endpoints_.clear();
  for (const ChangeEvent::Node& change : event.nodes) {
    if (change.gone) {
      endpoints_.erase(change.node.name);
    } else {
      endpoints_[change.node.name] = change.node;
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
