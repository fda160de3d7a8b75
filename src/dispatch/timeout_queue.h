// Timeouts of requests, attempts and health checks.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <tuple>

#include "base/weak_ptr.h"
#include "dispatch/event_clock.h"
#include "workload/types.h"

namespace sablelink::dispatch {

/// In the order in which timeouts of the same moment expire: an attempt's before its request's, so that the
/// workload manager can still decide on the request.
enum class TimeoutKind { kAttempt, kRequest, kHealthCheck };

struct Timeout {
  TimeUs deadline = 0;  // a moment in microseconds
  TimeoutKind kind = TimeoutKind::kAttempt;
  uint32_t id = 0;  // of the request or the health check
  int attempt = 0;  // of kAttempt: its number
  bool operator==(const Timeout&) const = default;
  bool operator<(const Timeout& other) const {
    return std::tie(deadline, kind, id, attempt) <
           std::tie(other.deadline, other.kind, other.id, other.attempt);
  }
};

/// Calls a handler for each timeout that expires before it is cancelled. Needs one pending callback of the
/// clock, however many timeouts are scheduled. Belongs to the clock's strand and may be destroyed with
/// timeouts pending.
class TimeoutQueue {
 public:
  using Handler = std::function<void(const Timeout&)>;

  /// The clock must outlive the queue. The handler may schedule and cancel timeouts; it must not destroy the
  /// queue.
  TimeoutQueue(EventClock& clock, Handler on_expired);

  void schedule(const Timeout& timeout);
  /// Ignores timeouts that have expired or were never scheduled.
  void cancel(const Timeout& timeout);

 private:
  void request_callback();
  void expire_due();

  EventClock& clock_;
  const Handler on_expired_;
  std::set<Timeout> timeouts_;
  TimeUs callback_due_at_ = 0;  // the earliest callback that the clock still owes; 0: none
  WeakPtrFactory<TimeoutQueue> weak_factory_{this};
};

}  // namespace sablelink::dispatch
