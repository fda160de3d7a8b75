// The time at which the dispatcher handles an event.
#pragma once

#include <algorithm>
#include <functional>
#include <utility>

#include "base/clock.h"
#include "workload/types.h"

namespace sablelink::dispatch {

/// Keeps the time of the event that is being handled, so that one event sees one time. It never decreases,
/// whatever the underlying clock does. The clock must outlive it.
class EventClock {
 public:
  explicit EventClock(Clock& clock) : clock_(clock) {}

  /// Reads the underlying clock, at the start of an event. In microseconds.
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
