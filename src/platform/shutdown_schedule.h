// Schedule of a graceful shutdown. Pure.
#pragma once

#include <algorithm>

#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink::platform {

/// Times of the steps of a graceful shutdown, in microseconds after SIGTERM. The platform kills the process
/// some time after SIGTERM, and every request without a response by then is lost.
struct ShutdownSchedule {
  TimeUs stop_accepting = 0;    // close the listener and idle connections
  TimeUs cancel_in_flight = 0;  // send final responses to all requests in flight
  TimeUs exit = 0;              // end the process, even with open connections

  static ShutdownSchedule from_settings(const Settings& settings) {
    // Clients open connections for up to 0.4 s after SIGTERM and send requests on open connections for
    // another 0.2 s. Requests that arrive after kLastRequestUs and have no response at the kill are lost.
    constexpr TimeUs kLastRequestUs = 700'000;
    constexpr TimeUs kAcceptSlackUs = 100'000;
    // The platform kills the process kLastRequestUs plus the longest request timeout after SIGTERM. It limits
    // the timeout to kMaxTimeoutUs.
    constexpr TimeUs kMaxTimeoutUs = 3'000'000;
    constexpr TimeUs kFinalResponsesUs = 400'000;  // to write the final responses with a fraction of a core
    constexpr TimeUs kClientReadUs = 150'000;      // part of kFinalResponsesUs, to read the last responses

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
