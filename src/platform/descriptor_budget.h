// How a gateway divides the file descriptors that it may hold. Pure.
#pragma once

#include <algorithm>
#include <cstddef>

namespace sablelink::platform {

/// Limits of open connections, derived from the limit of file descriptors.
struct DescriptorBudget {
  size_t clients = 0;  // client connections
  size_t engines = 0;  // connections to all engines together

  /// Clients hold at most a third of the limit in normal operation. Their share is larger, for connections
  /// that are rejected and for clients that reconnect while their former connections are still being closed.
  static DescriptorBudget from_limit(size_t max_descriptors) {
    // Standard streams, event loop, signals, listener, endpoint watch, configuration file, spare.
    constexpr size_t kReservedDescriptors = 24;
    constexpr size_t kMinConnections = 4;
    const size_t available = max_descriptors - std::min(max_descriptors, kReservedDescriptors);
    DescriptorBudget budget;
    budget.clients = std::max(available * 9 / 20, kMinConnections);
    budget.engines = std::max(available - std::min(available, budget.clients), kMinConnections);
    return budget;
  }

  /// The limit of connections to one of `engine_count` engines.
  size_t per_engine(size_t engine_count) const {
    constexpr size_t kMinPerEngine = 2;
    return std::max(engines / std::max<size_t>(engine_count, 1), kMinPerEngine);
  }
};

}  // namespace sablelink::platform
