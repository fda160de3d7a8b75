// Health checks in flight.
#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "dispatch/engine_transport.h"
#include "workload/types.h"

namespace sablelink::dispatch {

struct HealthCheck {
  EngineId engine = 0;
  TimeUs started_at = 0;  // in microseconds, on the dispatcher's clock
};

class HealthCheckTable {
 public:
  HealthCheckId add(EngineId engine, TimeUs now) {
    const HealthCheckId id = ++last_id_;
    checks_[id] = {engine, now};
    return id;
  }
  /// Removes and returns a health check; nullopt if it has already completed.
  std::optional<HealthCheck> remove(HealthCheckId id) {
    const auto it = checks_.find(id);
    if (it == checks_.end()) return std::nullopt;
    const HealthCheck check = it->second;
    checks_.erase(it);
    return check;
  }
  size_t size() const { return checks_.size(); }

 private:
  std::unordered_map<HealthCheckId, HealthCheck> checks_;
  HealthCheckId last_id_ = 0;
};

}  // namespace sablelink::dispatch
