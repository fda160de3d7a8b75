// Arrival times of a connection's bytes.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "workload/types.h"

namespace sablelink::platform {

/// Records the arrival times of bytes, so that the timeout of a pipelined request starts at the request's
/// arrival and not at the response to the previous request.
class ArrivalTimes {
 public:
  void record(size_t bytes, TimeUs now) {
    total_bytes_ += bytes;
    if (arrivals_.empty() || now - arrivals_.back().time > kResolutionUs)
      arrivals_.push_back({total_bytes_, now});
    else
      arrivals_.back().end_offset = total_bytes_;
  }

  /// Returns the arrival time of the byte before the last `pending_bytes` bytes and discards earlier
  /// arrivals. Empty if no arrival was recorded.
  std::optional<TimeUs> consume_until_pending(size_t pending_bytes) {
    const size_t end_offset = total_bytes_ - pending_bytes;
    while (arrivals_.size() > 1 && arrivals_.front().end_offset < end_offset) arrivals_.pop_front();
    if (arrivals_.empty()) return std::nullopt;
    return arrivals_.front().time;
  }

  /// Discards all arrivals but the newest one.
  void discard_all_but_newest() {
    while (arrivals_.size() > 1) arrivals_.pop_front();
  }

 private:
  struct Arrival {
    size_t end_offset = 0;  // in the connection's byte stream
    TimeUs time = 0;
  };
  static constexpr TimeUs kResolutionUs = 1'000;  // arrivals within this time are recorded as one

  std::deque<Arrival> arrivals_;
  size_t total_bytes_ = 0;
};

}  // namespace sablelink::platform
