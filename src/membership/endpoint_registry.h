// The nodes that a gateway knows: their ids, addresses and entries. Pure: what changed is for the caller to
// pass on. Ids are given in the order in which names first appear and are never used for another node. Of
// nodes that left, the last kLeftKept are remembered, so that a list that changes for ever doesn't grow.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "config/gateway_config.h"
#include "workload/events.h"
#include "workload/types.h"

namespace sablelink::membership {

class EndpointRegistry {
 public:
  static constexpr size_t kLeftKept = 256;  // far more than leave while an attempt is out

  // Takes a whole list over. A node whose address has changed is another node: it gets a new id.
  void replace(const std::vector<config::EngineConfig>& nodes);

  // The list now, as the decision module takes it.
  const std::vector<Endpoint>& endpoints() const { return entries_; }
  // Empty for ids never given, or forgotten. Addresses of nodes that left stay known for a while, as attempts
  // may still be out there.
  const std::string& address(EngineId engine) const;

 private:
  struct Known {
    std::string key;  // name and address
    std::string address;
    bool listed = false;
  };
  std::map<std::string, EngineId> ids_;  // by key
  std::map<EngineId, Known> known_;
  std::deque<EngineId> left_;  // in the order of their leaving; one may be listed again
  EngineId last_ = 0;
  std::vector<Endpoint> entries_;
};

}  // namespace sablelink::membership
