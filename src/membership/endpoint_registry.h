// Identifiers and addresses of the engines of a gateway.
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

/// Maps the configured engines to endpoints with stable identifiers. Identifiers are assigned in the order in
/// which engines first appear and are never reused for another engine. Sends no notifications: the caller
/// notifies the dispatcher of changes.
class EndpointRegistry {
 public:
  /// Number of removed engines whose addresses and identifiers are retained. It limits the memory of a
  /// gateway whose engines are replaced continually. More engines can be removed at once, so whoever still
  /// needs the address of a removed engine must keep a copy.
  static constexpr size_t kMaxRemovedEngines = 256;

  /// Replaces the endpoint list with a complete new one. An engine whose address has changed is treated as a
  /// different engine and gets a new identifier.
  void replace(const std::vector<config::EngineConfig>& engines);

  /// The current list, in the order of the last replace().
  const std::vector<Endpoint>& endpoints() const { return endpoints_; }
  /// Returns the engine's "host:port". Removed engines are included while they are retained. Empty for an
  /// identifier that was never assigned or is no longer retained.
  const std::string& address(EngineId engine) const;

 private:
  struct KnownEngine {
    std::string key;  // in ids_
    std::string address;
    bool is_listed = false;
  };

  EngineId add_engine(const config::EngineConfig& engine);
  void evict_oldest_removed();

  std::map<std::string, EngineId> ids_;  // by name and address
  std::map<EngineId, KnownEngine> known_engines_;
  std::deque<EngineId> removed_;  // in the order of removal; may hold duplicates and engines listed again
  EngineId last_id_ = 0;
  std::vector<Endpoint> endpoints_;
};

}  // namespace sablelink::membership
