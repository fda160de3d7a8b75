// Identifiers and addresses of the engines that a gateway knows.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "config/gateway_config.h"
#include "workload/events.h"
#include "workload/types.h"

namespace sablelink::membership {

/// Maps the configured engines to endpoints with stable identifiers. Identifiers are given in the order in
/// which engines first appear and are never given to another engine. Pure: the caller notifies others of a
/// change.
class EndpointRegistry {
 public:
  /// Removed engines whose addresses and identifiers are remembered; far more than are removed while an
  /// attempt runs. Bounds the memory of a gateway whose engines come and go for ever.
  static constexpr size_t kMaxRemovedEngines = 256;

  /// Replaces the endpoint list by a complete one. An engine whose address has changed is another engine and
  /// gets a new identifier.
  void replace(const std::vector<config::EngineConfig>& engines);

  /// The current list, in the order of the last replace().
  const std::vector<Endpoint>& endpoints() const { return endpoints_; }
  /// "host:port"; also of a removed engine while it is remembered, as attempts may still run there. Empty for
  /// an identifier that was never given or is forgotten.
  const std::string& address(EngineId engine) const;

 private:
  struct KnownEngine {
    std::string key;  // of ids_
    std::string address;
    bool is_listed = false;
  };

  EngineId add_engine(const config::EngineConfig& engine);
  void forget_oldest_removed();

  std::map<std::string, EngineId> ids_;  // by name and address
  std::map<EngineId, KnownEngine> known_engines_;
  std::deque<EngineId> removed_;  // in the order of removal; one may be listed again, or stand here twice
  EngineId last_id_ = 0;
  std::vector<Endpoint> endpoints_;
};

}  // namespace sablelink::membership
