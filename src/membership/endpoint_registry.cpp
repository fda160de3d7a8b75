#include "membership/endpoint_registry.h"

#include <algorithm>
#include <utility>

namespace sablelink::membership {
namespace {
const std::string kNone;
}

void EndpointRegistry::replace(const std::vector<config::EngineConfig>& nodes) {
  const std::vector<Endpoint> before = std::move(entries_);
  entries_.clear();
  for (const Endpoint& e : before) known_[e.engine].listed = false;
  for (const config::EngineConfig& n : nodes) {
    const std::string key = n.name + "@" + n.address;
    EngineId& id = ids_[key];
    if (id == 0) id = ++last_;
    known_[id] = {key, n.address, true};
    Endpoint e;
    e.engine = id;
    e.state = n.state;
    e.cell = n.cell;
    e.zone = n.zone;
    e.engine_type = n.engine_type;
    e.size = n.size;
    e.started_at = n.started_at;
    entries_.push_back(e);
  }
  for (const Endpoint& e : before)
    if (!known_[e.engine].listed) left_.push_back(e.engine);
  for (; left_.size() > kLeftKept; left_.pop_front()) {
    const auto it = known_.find(left_.front());
    const bool again = std::find(left_.begin() + 1, left_.end(), left_.front()) != left_.end();
    if (it == known_.end() || it->second.listed || again) continue;
    ids_.erase(it->second.key);
    known_.erase(it);
  }
}

const std::string& EndpointRegistry::address(EngineId engine) const {
  const auto it = known_.find(engine);
  return it == known_.end() ? kNone : it->second.address;
}

}  // namespace sablelink::membership
