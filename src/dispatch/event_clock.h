// Time of the event that the dispatcher is handling.
#pragma once

#include <algorithm>
#include <functional>
#include <utility>

#include "base/clock.h"
#include "workload/types.h"

namespace sablelink::dispatch {

/// Caches the start time of the current event, so that the whole event is handled at one time. The time never
/// decreases, even if the underlying clock does. The clock must outlive this object.
class EventClock {
 public:
  explicit EventClock(Clock& clock) : clock_(clock) {}

  /// Reads the underlying clock, in microseconds. To be called at the start of each event.
  TimeUs update() {
    now_ = std::max(now_, clock_.now());
    return now_;
  }
  /// The time of the last update().
  TimeUs now() const { return now_; }
  void call_after(TimeUs delay_us, std::function<void()> callback) {
    clock_.call_after(delay_us, std::move(callback));
  }

 private:
  Clock& clock_;
  TimeUs now_ = 0;
};

}  // namespace sablelink::dispatch
