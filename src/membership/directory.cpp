#include "membership/directory.h"

#include <algorithm>
#include <utility>

namespace sablelink::membership {
namespace {
const std::string kNone;
}

void Directory::replace(const std::vector<config::NodeConfig>& nodes) {
  const std::vector<EngineEntry> before = std::move(entries_);
  entries_.clear();
  for (const EngineEntry& e : before) known_[e.engine].listed = false;
  for (const config::NodeConfig& n : nodes) {
    const std::string key = n.name + "@" + n.address;
    EngineId& id = ids_[key];
    if (id == 0) id = ++last_;
    known_[id] = {key, n.address, true};
    EngineEntry e;
    e.engine = id;
    e.state = n.state;
    e.cell = n.cell;
    e.zone = n.zone;
    e.kind = n.kind;
    e.size = n.size;
    e.started_us = n.started_us;
    entries_.push_back(e);
  }
  for (const EngineEntry& e : before)
    if (!known_[e.engine].listed) left_.push_back(e.engine);
  for (; left_.size() > kLeftKept; left_.pop_front()) {
    const auto it = known_.find(left_.front());
    const bool again = std::find(left_.begin() + 1, left_.end(), left_.front()) != left_.end();
    if (it == known_.end() || it->second.listed || again) continue;
    ids_.erase(it->second.key);
    known_.erase(it);
  }
}

const std::string& Directory::address(EngineId engine) const {
  const auto it = known_.find(engine);
  return it == known_.end() ? kNone : it->second.address;
}

}  // namespace sablelink::membership
