// Interfaces for time and timers. Only the program's main function connects them to the system's clocks;
// tests and the simulation use virtual clocks.
#pragma once

#include <chrono>
#include <functional>

#include "workload/types.h"

namespace sablelink {

/// Sources of the system's time, passed down by main.
using WallClock = std::function<std::chrono::system_clock::time_point()>;
using SteadyClock = std::function<std::chrono::steady_clock::time_point()>;

/// Time and one-shot timers of one strand.
class Clock {
 public:
  virtual ~Clock() = default;

  /// The current time in microseconds. Never decreases and is never 0, which callers may use for "none".
  virtual TimeUs now() const = 0;

  /// Calls the callback once on the clock's strand, no sooner than the delay in microseconds, and never
  /// within this call. There is no cancellation: a callback must tolerate being called after it has become
  /// obsolete.
  virtual void call_after(TimeUs delay_us, std::function<void()> callback) = 0;
};

}  // namespace sablelink
