// When the bytes of a connection arrived.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "workload/types.h"

namespace sablelink::platform {

/// Remembers when bytes arrived, so that the timeout of a pipelined request starts when it arrived and not
/// when the requests before it were answered.
class ArrivalTimes {
 public:
  void record(size_t bytes, TimeUs now) {
    total_bytes_ += bytes;
    if (arrivals_.empty() || now - arrivals_.back().time > kResolutionUs)
      arrivals_.push_back({total_bytes_, now});
    else
      arrivals_.back().end_offset = total_bytes_;
  }

  /// When the byte arrived that precedes the newest `pending_bytes`. Forgets what arrived before it. Empty
  /// where nothing has been recorded.
  std::optional<TimeUs> consume_all_but(size_t pending_bytes) {
    const size_t end_offset = total_bytes_ - pending_bytes;
    while (arrivals_.size() > 1 && arrivals_.front().end_offset < end_offset) arrivals_.pop_front();
    if (arrivals_.empty()) return std::nullopt;
    return arrivals_.front().time;
  }

  /// Forgets all but the newest arrival.
  void keep_newest() {
    while (arrivals_.size() > 1) arrivals_.pop_front();
  }

 private:
  struct Arrival {
    size_t end_offset = 0;  // in the bytes of the whole connection
    TimeUs time = 0;
  };
  static constexpr TimeUs kResolutionUs = 1'000;  // arrivals closer than this are one entry

  std::deque<Arrival> arrivals_;
  size_t total_bytes_ = 0;
};

}  // namespace sablelink::platform
