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

/// In the order in which timeouts with equal deadlines expire. An attempt expires before its request, so that
/// the workload manager can still decide on the request.
enum class TimeoutKind { kAttempt, kRequest, kHealthCheck };

struct Timeout {
  TimeUs deadline = 0;  // in microseconds, on the dispatcher's clock
  TimeoutKind kind = TimeoutKind::kAttempt;
  uint32_t id = 0;  // of the request or the health check
  int attempt = 0;  // for kAttempt: the attempt's number
  bool operator==(const Timeout&) const = default;
  bool operator<(const Timeout& other) const {
    return std::tie(deadline, kind, id, attempt) <
           std::tie(other.deadline, other.kind, other.id, other.attempt);
  }
};

/// Calls a handler for each timeout that expires before it is cancelled. Requests a callback of the clock for
/// the earliest timeout only, however many are scheduled. Belongs to the clock's strand and may be destroyed
/// with timeouts pending.
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
  void expire_timeouts();

  EventClock& clock_;
  const Handler on_expired_;
  std::set<Timeout> timeouts_;
  TimeUs next_callback_at_ = 0;  // time of the earliest pending callback of the clock; 0: none
  WeakPtrFactory<TimeoutQueue> weak_factory_{this};
};

}  // namespace sablelink::dispatch
