// Priority queue of callbacks by deadline, for use in event loops. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "workload/types.h"

namespace sablelink {

/// Callbacks ordered by deadline; callbacks with equal deadlines are ordered by insertion.
class TimerHeap {
 public:
  /// The deadline is in microseconds; all deadlines in a heap must be on the same clock.
  void push(TimeUs deadline, std::function<void()> callback) {
    timers_.push_back({deadline, next_sequence_++, std::move(callback)});
    std::push_heap(timers_.begin(), timers_.end());
  }
  bool empty() const { return timers_.empty(); }
  size_t size() const { return timers_.size(); }
  /// The earliest deadline. The heap must not be empty.
  TimeUs next_deadline() const { return timers_.front().deadline; }
  /// Removes and returns the callback of the earliest deadline. The heap must not be empty.
  std::function<void()> pop() {
    std::pop_heap(timers_.begin(), timers_.end());
    std::function<void()> callback = std::move(timers_.back().callback);
    timers_.pop_back();
    return callback;
  }
  /// Runs the callbacks whose deadlines are at or before the given time. The clock isn't read again
  /// meanwhile, so callbacks that add further ones can't keep an event loop from polling its sockets.
  void run_expired(TimeUs now) {
    while (!empty() && next_deadline() <= now) {
      const std::function<void()> callback = pop();
      callback();
    }
  }
  void clear() { timers_.clear(); }

 private:
  struct Timer {
    TimeUs deadline;
    uint64_t sequence;
    std::function<void()> callback;
    // The standard heap puts the greatest element first.
    bool operator<(const Timer& other) const {
      return deadline != other.deadline ? deadline > other.deadline : sequence > other.sequence;
    }
  };

  std::vector<Timer> timers_;
  uint64_t next_sequence_ = 0;
};

}  // namespace sablelink
