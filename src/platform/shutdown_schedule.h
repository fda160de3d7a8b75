// The moments of a planned end, counted from SIGTERM. Pure.
#pragma once

#include <algorithm>

#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink::platform {

struct ShutdownSchedule {
  TimeUs stop_accepting = 0;    // the listener closes, and connections at rest
  TimeUs cancel_in_flight = 0;  // what is held gets its final answer
  TimeUs exit = 0;              // the process ends, whoever still waits

  static ShutdownSchedule of(const Settings& settings) {
    // Requests come on new connections for up to 0.4 s and on open ones for 0.2 s more. What comes later than
    // 0.7 s after the signal and is unanswered at the kill is lost.
    constexpr TimeUs kLateRequestUs = 700'000, kSlackUs = 100'000;
    // The kill comes the longest deadline after that, which counts as this where it is longer.
    constexpr TimeUs kMostDeadlineUs = 3'000'000;
    constexpr TimeUs kAnswerUs = 400'000;  // for final answers to be written, by a part of a core
    constexpr TimeUs kReadUs = 150'000;    // ... of which this is for clients to read the last of them
    TimeUs longest = 0;
    for (const ClassSettings& cls : settings.classes) longest = std::max(longest, cls.request_timeout_us);
    const TimeUs kill = std::min(longest, kMostDeadlineUs) + kLateRequestUs;
    ShutdownSchedule times;
    times.cancel_in_flight = kill - kAnswerUs;
    times.stop_accepting = std::min(kLateRequestUs + kSlackUs, times.cancel_in_flight);
    times.exit = kill - kReadUs;
    return times;
  }
};

}  // namespace sablelink::platform
