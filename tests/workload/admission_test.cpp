// Tests rejections and final responses before the deadline.
#include <gtest/gtest.h>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

TEST(Admission, HopelessQueryIsRejectedAtOnceWithRetryAfter) {
  Settings settings = plain_settings();
  settings.clients_honor_retry_after = true;
  settings.max_retry_after_us = 2 * kSecond;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1)});
  harness.request(7, 1, 15 * kSecond, 400'000'000);
  EXPECT_EQ(harness.send_count(7), 0);
  ASSERT_EQ(harness.count(Action::kReject, 7), 1);
  EXPECT_GT(harness.last(Action::kReject, 7)->value, 0);
  EXPECT_LE(harness.last(Action::kReject, 7)->value, 2e6);
}

TEST(Admission, QueuedQueryIsRejectedOnceUseless) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1)});
  for (RequestId id = 1; id <= 60; ++id) harness.request(id, 0, 5 * kSecond, 1'000'000);
  harness.run_for(3500 * kMs);
  for (RequestId id = 1; id <= 60; ++id) {
    EXPECT_EQ(harness.send_count(id) + harness.count(Action::kReject, id), 1) << id;
  }
}

TEST(Admission, FinalResponseMeetsDeadlineOfSilentEngine) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1)});
  harness.request(7, 1, 3 * kSecond);
  ASSERT_EQ(harness.send_count(7), 1);
  const TimeUs deadline = harness.now() + 3 * kSecond;
  harness.run_for(4 * kSecond);
  ASSERT_TRUE(harness.has_final_response(7));
  const Action* rejection = harness.last(Action::kReject, 7);
  ASSERT_NE(rejection, nullptr);
  EXPECT_LE(rejection->at, deadline + 20 * kMs);
  EXPECT_EQ(harness.count(Action::kReject, 7) + harness.count(Action::kFail, 7), 1);
}

TEST(Admission, DeadlineOfRequestOverridesClassTimeout) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1)});
  harness.request(7, 0, 200 * kMs);
  harness.run_for(300 * kMs);
  EXPECT_TRUE(harness.has_final_response(7));
}

}  // namespace
}  // namespace sablelink::test
