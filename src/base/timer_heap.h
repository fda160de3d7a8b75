// Calls that are due at their times, the earliest first; of equal times, the one asked for first.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "workload/types.h"

namespace sablelink {

class TimerHeap {
 public:
  void push(TimeUs at, std::function<void()> fn) {
    timers_.push_back({at, made_++, std::move(fn)});
    std::push_heap(timers_.begin(), timers_.end());
  }
  bool empty() const { return timers_.empty(); }
  size_t size() const { return timers_.size(); }
  TimeUs next_at() const { return timers_.front().at; }  // not of an empty heap
  // Takes the earliest out, for the caller to call.
  std::function<void()> take() {
    std::pop_heap(timers_.begin(), timers_.end());
    std::function<void()> fn = std::move(timers_.back().fn);
    timers_.pop_back();
    return fn;
  }
  // Calls what is due by then, but not what these calls ask for: that finds the sockets looked at in between.
  void call_due(TimeUs until) {
    while (!empty() && next_at() <= until) {
      const std::function<void()> fn = take();
      fn();
    }
  }
  void clear() { timers_.clear(); }

 private:
  struct Timer {
    TimeUs at;
    uint64_t order;
    std::function<void()> fn;
    bool operator<(const Timer& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  std::vector<Timer> timers_;
  uint64_t made_ = 0;
};

}  // namespace sablelink
