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
      addresses_.push_back(n.address);
      id = addresses_.size();
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
  return engine == 0 || engine > addresses_.size() ? kNone : addresses_[engine - 1];
}

}  // namespace sablelink::membership
