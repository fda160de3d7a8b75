// The nodes that a gateway knows: their ids, addresses and entries. Pure: what changed is for the caller to
// pass on. Ids are given in the order in which names first appear and are never used for another node.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/gateway_config.h"
#include "gateway.h"

namespace sablelink::membership {

class Directory {
 public:
  // Takes a whole list over. A node whose address has changed is another node: it gets a new id.
  void replace(const std::vector<config::NodeConfig>& nodes);

  // The list now, as the decision module takes it.
  const std::vector<EngineEntry>& entries() const { return entries_; }
  // Empty for ids never given. Addresses of nodes that left stay known, as attempts may still be out there.
  const std::string& address(EngineId engine) const;

 private:
  std::map<std::string, EngineId> ids_;  // by name and address
  std::vector<std::string> addresses_;   // by id - 1
  std::vector<EngineEntry> entries_;
};

}  // namespace sablelink::membership
