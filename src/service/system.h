// The process-wide sources of time and randomness.
#pragma once

#include <cstdint>
#include <functional>

#include "base/clock.h"

namespace sablelink::service {

/// Clocks and random numbers of the operating system, which only main accesses directly. They are passed as
/// parameters so that all other code can run with a virtual clock and a seeded generator. The functions must
/// be callable from any thread.
struct System {
  WallClock wall;
  SteadyClock steady;
  std::function<uint64_t()> random;  // uniformly distributed over all values
};

}  // namespace sablelink::service
