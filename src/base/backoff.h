// Delays between repeated attempts at something that failed.
#pragma once

#include <algorithm>

#include "base/clock.h"

namespace sablelink {

/// Delays that double up to a limit.
class Backoff {
 public:
  /// Durations in microseconds, as in all methods.
  Backoff(TimeUs min_us, TimeUs max_us) : min_us_(min_us), max_us_(max_us) {}

  /// The current delay; 0 until the first call of next_us().
  TimeUs delay_us() const { return delay_us_; }
  /// Doubles the delay, within the limits, and returns it.
  TimeUs next_us() {
    delay_us_ = std::clamp(2 * delay_us_, min_us_, max_us_);
    return delay_us_;
  }
  void reset(TimeUs delay_us = 0) { delay_us_ = delay_us; }

 private:
  const TimeUs min_us_;
  const TimeUs max_us_;
  TimeUs delay_us_ = 0;
};

}  // namespace sablelink
