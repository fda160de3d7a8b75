// The process-wide sources of time and randomness.
#pragma once

#include <cstdint>
#include <functional>

#include "base/clock.h"

namespace sablelink::service {

/// What only main reads from the operating system. Passed down, so that everything else can run on a virtual
/// clock and a seeded generator. The functions must be callable from any thread.
struct System {
  WallClock wall;
  SteadyClock steady;
  std::function<uint64_t()> random;  // uniformly distributed over all values
};

}  // namespace sablelink::service
