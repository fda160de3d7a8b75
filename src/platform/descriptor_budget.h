// Division of a gateway's file descriptors between client and engine connections. Pure.
#pragma once

#include <algorithm>
#include <cstddef>

namespace sablelink::platform {

/// Limits of open connections, derived from the limit of file descriptors.
struct DescriptorBudget {
  size_t clients = 0;  // client connections
  size_t engines = 0;  // connections to all engines together

  /// In normal operation, clients use at most a third of the descriptors. Their limit is higher, for
  /// connections that are rejected and for clients that reconnect before their old connections are closed.
  static DescriptorBudget from_limit(size_t max_descriptors) {
    // Standard streams, event loop, signals, listener, change log, configuration file, spare descriptors.
    constexpr size_t kReservedDescriptors = 24;
    constexpr size_t kMinConnections = 4;
    const size_t available = max_descriptors - std::min(max_descriptors, kReservedDescriptors);
    DescriptorBudget budget;
    budget.clients = std::max(available * 9 / 20, kMinConnections);
    budget.engines = std::max(available - std::min(available, budget.clients), kMinConnections);
    return budget;
  }

  /// Limit of connections to each of `engine_count` engines.
  size_t per_engine(size_t engine_count) const {
    constexpr size_t kMinPerEngine = 2;
    return std::max(engines / std::max<size_t>(engine_count, 1), kMinPerEngine);
  }
};

}  // namespace sablelink::platform
