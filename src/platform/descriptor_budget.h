// How the descriptors that a gateway may hold are shared out. Pure.
#pragma once

#include <algorithm>
#include <cstddef>

namespace sablelink::platform {

struct DescriptorBudget {
  size_t clients = 0;  // client connections at a time
  size_t engines = 0;  // connections to nodes, all together

  // Usual clients hold no more than a third of the limit. What is above that is room for others to be told
  // off, and for clients that come anew while those they replace are still being closed.
  static DescriptorBudget of(size_t limit) {
    constexpr size_t kOwn = 24;  // streams, loop, signals, listener, change log, a file being read, spare
    const size_t rest = limit > kOwn ? limit - kOwn : 0;
    DescriptorBudget budget;
    budget.clients = std::max<size_t>(rest * 9 / 20, 4);
    budget.engines = std::max<size_t>(rest - std::min(rest, budget.clients), 4);
    return budget;
  }

  // Connections to one node where so many are known.
  size_t per_engine(size_t count) const { return std::max<size_t>(engines / std::max<size_t>(count, 1), 2); }
};

}  // namespace sablelink::platform
