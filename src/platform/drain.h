// The moments of a planned end, counted from SIGTERM. Pure.
#pragma once

#include <algorithm>

#include "gateway.h"

namespace sablelink::platform {

struct DrainTimes {
  TimeUs stop_taking = 0;  // the listener closes, and connections at rest
  TimeUs give_up = 0;      // what is held gets its final answer
  TimeUs end = 0;          // the process ends, whoever still waits

  static DrainTimes of(const Settings& settings) {
    // Requests come on new connections for up to 0.4 s and on open ones for 0.2 s more. What comes later than
    // 0.7 s after the signal and is unanswered at the kill is lost.
    constexpr TimeUs kLateRequestUs = 700'000, kSlackUs = 100'000;
    // The kill comes the longest deadline after that, which counts as this where it is longer.
    constexpr TimeUs kMostDeadlineUs = 3'000'000;
    constexpr TimeUs kAnswerUs = 400'000;  // for final answers to be written, by a part of a core
    constexpr TimeUs kReadUs = 150'000;    // ... of which this is for clients to read the last of them
    TimeUs longest = 0;
    for (const ClassSettings& cls : settings.classes) longest = std::max(longest, cls.deadline_us);
    const TimeUs kill = std::min(longest, kMostDeadlineUs) + kLateRequestUs;
    DrainTimes times;
    times.give_up = kill - kAnswerUs;
    times.stop_taking = std::min(kLateRequestUs + kSlackUs, times.give_up);
    times.end = kill - kReadUs;
    return times;
  }
};

}  // namespace sablelink::platform
