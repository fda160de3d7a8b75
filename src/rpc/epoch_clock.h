// A monotonic clock in microseconds since 1970-01-01.
#pragma once

#include <chrono>
#include <utility>

#include "base/clock.h"
#include "workload/types.h"

namespace sablelink::rpc {

/// Reads the wall clock once, at construction, and then advances with the steady clock, so that it never runs
/// backwards. now() may be called from any thread.
class EpochClock {
 public:
  EpochClock(const WallClock& wall, SteadyClock steady)
      : steady_(std::move(steady)),
        steady_start_(steady_()),
        start_us_(std::chrono::duration_cast<std::chrono::microseconds>(wall().time_since_epoch()).count()) {}

  TimeUs now() const {
    const auto elapsed = steady_() - steady_start_;
    return start_us_ + std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count();
  }
  std::chrono::steady_clock::time_point to_steady(TimeUs moment) const {
    return steady_start_ + std::chrono::microseconds(moment - start_us_);
  }

 private:
  const SteadyClock steady_;
  const std::chrono::steady_clock::time_point steady_start_;
  const TimeUs start_us_;
};

}  // namespace sablelink::rpc
