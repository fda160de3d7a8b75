#include "dispatch/timeout_queue.h"

#include <algorithm>
#include <utility>

namespace sablelink::dispatch {

TimeoutQueue::TimeoutQueue(EventClock& clock, Handler on_expired)
    : clock_(clock), on_expired_(std::move(on_expired)) {}

void TimeoutQueue::schedule(const Timeout& timeout) {
  timeouts_.insert(timeout);
  request_callback();
}

void TimeoutQueue::cancel(const Timeout& timeout) { timeouts_.erase(timeout); }

// The clock's callbacks can't be cancelled. A callback does nothing if its timeout has been cancelled or if
// an earlier callback has been requested since.
void TimeoutQueue::request_callback() {
  if (timeouts_.empty()) return;
  const TimeUs earliest = timeouts_.begin()->deadline;
  if (next_callback_at_ != 0 && next_callback_at_ <= earliest) return;
  next_callback_at_ = earliest;
  const TimeUs delay_us = std::max<TimeUs>(earliest - clock_.update(), 0);
  clock_.call_after(delay_us, [queue = weak_factory_.get_weak_ptr(), earliest] {
    if (!queue || queue->next_callback_at_ != earliest) return;
    queue->next_callback_at_ = 0;
    queue->expire_timeouts();
  });
}

void TimeoutQueue::expire_timeouts() {
  while (!timeouts_.empty() && timeouts_.begin()->deadline <= clock_.update()) {
    const Timeout expired = *timeouts_.begin();
    timeouts_.erase(timeouts_.begin());
    on_expired_(expired);
  }
  request_callback();
}

}  // namespace sablelink::dispatch
