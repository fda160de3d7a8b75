// Times of a graceful shutdown.
#include "platform/shutdown_schedule.h"

#include <gtest/gtest.h>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

// The longest deadline tells when the platform kills; the rest follows from its page.
TEST(PlatformDrain, EndsBeforeTheKillWhateverTheDeadlines) {
  for (const TimeUs deadline : {300 * kMs, 900 * kMs, 2500 * kMs, 3 * kSecond, 40 * kSecond}) {
    Settings settings = plain_settings();
    for (ClassSettings& cls : settings.classes) cls.request_timeout_us = deadline;
    const auto times = platform::ShutdownSchedule::from_settings(settings);
    const TimeUs kill = std::min(deadline, 3 * kSecond) + 700 * kMs;
    EXPECT_GE(times.stop_accepting, 600 * kMs) << deadline;
    EXPECT_LE(times.stop_accepting, times.cancel_in_flight) << deadline;
    EXPECT_LT(times.cancel_in_flight + 200 * kMs, times.exit) << deadline;
    EXPECT_LT(times.exit + 100 * kMs, kill) << deadline;
  }
}

}  // namespace
}  // namespace sablelink::test
