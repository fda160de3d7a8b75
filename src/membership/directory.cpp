#include "membership/directory.h"

namespace sablelink::membership {
namespace {
const std::string kNone;
}

void Directory::replace(const std::vector<config::NodeConfig>& nodes) {
  entries_.clear();
  for (const config::NodeConfig& n : nodes) {
    EngineId& id = ids_[n.name + "@" + n.address];
    if (id == 0) {
      known_.push_back({n.name, n.address});
      id = known_.size();
    }
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
}

const std::string& Directory::address(EngineId engine) const {
  return engine == 0 || engine > known_.size() ? kNone : known_[engine - 1].address;
}

const std::string& Directory::name(EngineId engine) const {
  return engine == 0 || engine > known_.size() ? kNone : known_[engine - 1].name;
}

}  // namespace sablelink::membership
