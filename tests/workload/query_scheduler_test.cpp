// Tests sends, priorities and final responses.
#include <gtest/gtest.h>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

TEST(QueryScheduler, NothingIsSentAfterClientDisconnected) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1)});
  harness.request(7, 0, 5 * kSecond);
  harness.disconnect(7);
  harness.complete_attempt(7, Outcome::kReset);
  harness.run_for(kSecond);
  EXPECT_EQ(harness.send_count(7), 1);
  EXPECT_FALSE(harness.has_final_response(7));
}

// Rule 1 at a planned shutdown: a request is rejected if nothing has run or it may run again, and failed
// otherwise.
TEST(QueryScheduler, ShutdownCompletesAllRequests) {
  Settings settings = plain_settings();
  settings.classes[1].idempotency = Idempotency::kNotIdempotent;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1)});
  harness.request(1, 0, 5 * kSecond);
  harness.request(2, 1, 5 * kSecond);
  ASSERT_EQ(harness.send_count(1) + harness.send_count(2), 2);
  harness.manager().on_shutdown(harness.now(), harness);
  EXPECT_EQ(harness.count(Action::kReject, 1), 1);
  EXPECT_EQ(harness.count(Action::kFail, 2), 1);
  EXPECT_EQ(harness.count(Action::kCancel, 1), 1);
}

TEST(QueryScheduler, LightQueriesGetHigherPriority) {
  Settings settings = plain_settings();
  settings.engines_honor_priorities = true;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1)});
  harness.request(1, 0, 5 * kSecond, 100'000);
  harness.request(2, 1, 15 * kSecond, 4'000'000);
  EXPECT_GT(harness.last(Action::kSetHints, 1)->value, harness.last(Action::kSetHints, 2)->value);
}

}  // namespace
}  // namespace sablelink::test
