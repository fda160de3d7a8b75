#include "membership/endpoint_registry.h"

#include <algorithm>
#include <utility>

namespace sablelink::membership {
namespace {

const std::string kNoAddress;

Endpoint make_endpoint(EngineId id, const config::EngineConfig& engine) {
  Endpoint endpoint;
  endpoint.engine = id;
  endpoint.state = engine.state;
  endpoint.cell = engine.cell;
  endpoint.zone = engine.zone;
  endpoint.engine_type = engine.engine_type;
  endpoint.size = engine.size;
  endpoint.started_at = engine.started_at;
  return endpoint;
}

}  // namespace

void EndpointRegistry::replace(const std::vector<config::EngineConfig>& engines) {
  const std::vector<Endpoint> previous = std::exchange(endpoints_, {});
  for (const Endpoint& endpoint : previous) known_engines_[endpoint.engine].is_listed = false;
  for (const config::EngineConfig& engine : engines) {
    endpoints_.push_back(make_endpoint(add_engine(engine), engine));
  }
  for (const Endpoint& endpoint : previous) {
    if (!known_engines_[endpoint.engine].is_listed) removed_.push_back(endpoint.engine);
  }
  while (removed_.size() > kMaxRemovedEngines) evict_oldest_removed();
}

// Returns the engine's identifier, assigning one to a new engine, and marks the engine as listed.
EngineId EndpointRegistry::add_engine(const config::EngineConfig& engine) {
  const std::string key = engine.name + "@" + engine.address;
  EngineId& id = ids_[key];
  if (id == 0) {
    ++last_id_;
    id = last_id_;
  }
  known_engines_[id] = {key, engine.address, true};
  return id;
}

void EndpointRegistry::evict_oldest_removed() {
  const EngineId oldest = removed_.front();
  removed_.pop_front();
  const auto it = known_engines_.find(oldest);
  if (it == known_engines_.end() || it->second.is_listed) return;
  const bool was_removed_again = std::find(removed_.begin(), removed_.end(), oldest) != removed_.end();
  if (was_removed_again) return;
  ids_.erase(it->second.key);
  known_engines_.erase(it);
}

const std::string& EndpointRegistry::address(EngineId engine) const {
  const auto it = known_engines_.find(engine);
  return it == known_engines_.end() ? kNoAddress : it->second.address;
}

}  // namespace sablelink::membership
