// Timetable of a graceful shutdown. Pure.
#pragma once

#include <algorithm>

#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink::platform {

/// When each step of a graceful shutdown happens, in microseconds after SIGTERM. The platform kills the
/// process some time after SIGTERM, and every request that has no response by then is lost.
struct ShutdownSchedule {
  TimeUs stop_accepting = 0;    // close the listener and idle connections
  TimeUs cancel_in_flight = 0;  // send each request that is in flight its final response
  TimeUs exit = 0;              // end the process, whatever is still open

  static ShutdownSchedule from_settings(const Settings& settings) {
    // Clients open connections for up to 0.4 s after SIGTERM and send on open ones for 0.2 s more. A request
    // that arrives after kLastRequestUs and has no response at the kill is lost.
    constexpr TimeUs kLastRequestUs = 700'000;
    constexpr TimeUs kAcceptSlackUs = 100'000;
    // The platform kills the process at the longest request timeout after the last request, but counts a
    // longer timeout as this.
    constexpr TimeUs kMaxTimeoutUs = 3'000'000;
    constexpr TimeUs kFinalResponsesUs = 400'000;  // to write the final responses on a fraction of a core
    constexpr TimeUs kClientReadUs = 150'000;      // ... of which clients have this to read the last of them

    TimeUs longest_timeout = 0;
    for (const ClassSettings& cls : settings.classes)
      longest_timeout = std::max(longest_timeout, cls.request_timeout_us);
    const TimeUs kill = std::min(longest_timeout, kMaxTimeoutUs) + kLastRequestUs;

    ShutdownSchedule schedule;
    schedule.cancel_in_flight = kill - kFinalResponsesUs;
    schedule.stop_accepting = std::min(kLastRequestUs + kAcceptSlackUs, schedule.cancel_in_flight);
    schedule.exit = kill - kClientReadUs;
    return schedule;
  }
};

}  // namespace sablelink::platform
