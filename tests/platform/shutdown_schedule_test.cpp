// Schedule of a graceful shutdown.
#include "platform/shutdown_schedule.h"

#include <gtest/gtest.h>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

// The platform kills the process after the longest request timeout, limited to 3 s, plus 0.7 s.
TEST(ShutdownSchedule, EndsBeforeTheKillForEveryRequestTimeout) {
  for (const TimeUs timeout : {300 * kMs, 900 * kMs, 2500 * kMs, 3 * kSecond, 40 * kSecond}) {
    Settings settings = plain_settings();
    for (ClassSettings& cls : settings.classes) cls.request_timeout_us = timeout;
    const auto schedule = platform::ShutdownSchedule::from_settings(settings);
    const TimeUs kill_time = std::min(timeout, 3 * kSecond) + 700 * kMs;
    EXPECT_GE(schedule.stop_accepting, 600 * kMs) << timeout;
    EXPECT_LE(schedule.stop_accepting, schedule.cancel_in_flight) << timeout;
    EXPECT_LT(schedule.cancel_in_flight + 200 * kMs, schedule.exit) << timeout;
    EXPECT_LT(schedule.exit + 100 * kMs, kill_time) << timeout;
  }
}

}  // namespace
}  // namespace sablelink::test
