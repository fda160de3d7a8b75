// Tests the handling of attempts that take far longer than expected.
#include <gtest/gtest.h>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

TEST(StragglerDetector, StragglerIsCancelledAndRetriedOnce) {
  Settings settings = plain_settings();
  settings.progress_interval_us = kSecond;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1), engine(2)});
  harness.request(7, 1, 15 * kSecond);
  harness.run_for(kSecond);
  harness.manager().on_progress(
      harness.now(), ProgressUpdate{7, 0, harness.last_engine(7), ProgressKind::kProgress, 0.04}, harness);
  harness.run_for(50 * kMs);
  ASSERT_EQ(harness.count(Action::kCancel, 7), 1);
  harness.complete_attempt(7, Outcome::kCancelled);
  ASSERT_EQ(harness.send_count(7), 2);
  harness.run_for(kSecond);
  harness.manager().on_progress(
      harness.now(), ProgressUpdate{7, 1, harness.last_engine(7), ProgressKind::kProgress, 0.04}, harness);
  harness.run_for(50 * kMs);
  EXPECT_EQ(harness.count(Action::kCancel, 7), 1)
      << "a second slow attempt shows a heavy query, which must not be cancelled";
}

TEST(StragglerDetector, QueryWithHighEstimateIsLeftToRun) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1), engine(2)});
  harness.request(7, 1, 15 * kSecond, 8'000'000);
  harness.run_for(3 * kSecond);
  EXPECT_EQ(harness.count(Action::kCancel, 7), 0);
}

TEST(StragglerDetector, SharedSlowdownCancelsNothing) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1), engine(2), engine(3), engine(4)});
  for (RequestId id = 1; id <= 12; ++id) harness.request(id, 0, 5 * kSecond, 200'000);
  harness.run_for(1500 * kMs);
  int cancelled = 0;
  for (RequestId id = 1; id <= 12; ++id) cancelled += harness.count(Action::kCancel, id);
  EXPECT_EQ(cancelled, 0);
}

TEST(StragglerDetector, NoAttemptIsCancelledAfterStallBeforeOutcomesAreRead) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints(engines(4));
  for (RequestId id = 1; id <= 3; ++id) harness.request(id, 0, 5 * kSecond, 100'000);
  harness.run_for(50 * kMs);
  harness.stall(2 * kSecond);
  harness.run_for(5 * kMs);  // timers come before responses in a batch
  for (RequestId id = 1; id <= 3; ++id) {
    EXPECT_EQ(harness.count(Action::kCancel, id), 0);
    harness.complete_attempt(id, Outcome::kOk, 100'000);
  }
  EXPECT_TRUE(harness.logs.empty()) << "no engine may be ejected";
}

}  // namespace
}  // namespace sablelink::test
