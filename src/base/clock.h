// Time as the program sees it: what it is, and to be called later. Only main binds it to the system's clock;
// a simulation binds it to a clock of its own.
#pragma once

#include <chrono>
#include <functional>

#include "workload/types.h"

namespace sablelink {

// The system's clocks, as main hands them down.
using WallClock = std::function<std::chrono::system_clock::time_point()>;
using SteadyClock = std::function<std::chrono::steady_clock::time_point()>;

class Clock {
 public:
  virtual ~Clock() = default;

  // Microseconds; only advances, never 0.
  virtual TimeUs now() const = 0;

  // Calls fn once, at the earliest after the delay, never from within this call and on the owner's strand.
  // A call can't be revoked: whoever asks must bear one that comes late or for nothing.
  virtual void call_after(TimeUs delay, std::function<void()> fn) = 0;
};

}  // namespace sablelink
