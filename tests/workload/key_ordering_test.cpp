// Tests that queries with the same key run one at a time.
#include <gtest/gtest.h>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

Settings ordered_settings() {
  Settings settings = plain_settings();
  settings.classes[0].ordered_by_key = true;
  settings.ordering_gap_us = 300 * kMs;
  return settings;
}

TEST(KeyOrdering, QueriesOfOneKeyRunOneAtATimeInArrivalOrder) {
  ManagerHarness harness(ordered_settings());
  harness.update_endpoints({engine(1), engine(2)});
  for (RequestId id : {1, 2, 3}) harness.request(id, 0, 5 * kSecond, -1, -1, 77);
  harness.request(4, 0, 5 * kSecond, -1, -1, 78);
  harness.request(5, 0, 5 * kSecond);
  EXPECT_EQ(harness.send_count(1), 1);
  EXPECT_EQ(harness.send_count(2) + harness.send_count(3), 0);
  EXPECT_EQ(harness.send_count(4), 1) << "a different key";
  EXPECT_EQ(harness.send_count(5), 1) << "no key";
  harness.complete_attempt(1, Outcome::kOk, 1000);
  EXPECT_EQ(harness.send_count(2), 1);
  EXPECT_EQ(harness.send_count(3), 0);
}

TEST(KeyOrdering, KeyIsDelayedAfterAttemptThatMayStillRun) {
  ManagerHarness harness(ordered_settings());
  harness.update_endpoints({engine(1), engine(2)});
  harness.request(1, 0, 5 * kSecond, -1, -1, 77);
  harness.request(2, 0, 5 * kSecond, -1, -1, 77);
  harness.disconnect(1);
  harness.run_for(50 * kMs);
  EXPECT_EQ(harness.send_count(2), 0) << "the attempt of the disconnected client is still in flight";
  harness.complete_attempt(1, Outcome::kCancelled);
  harness.run_for(250 * kMs);
  EXPECT_EQ(harness.send_count(2), 0);
  harness.run_for(100 * kMs);
  EXPECT_EQ(harness.send_count(2), 1);
}

TEST(KeyOrdering, HeadOfKeyQueueIsRetriedWithoutDelay) {
  ManagerHarness harness(ordered_settings());
  harness.update_endpoints({engine(1), engine(2)});
  harness.request(1, 0, 5 * kSecond, -1, -1, 77);
  harness.complete_attempt(1, Outcome::kReset);
  EXPECT_EQ(harness.send_count(1), 2);
}

TEST(KeyOrdering, QueryCompletedOutOfOrderFreesKeyQueue) {
  Settings settings = ordered_settings();
  settings.classes[0].idempotency = Idempotency::kNotIdempotent;
  settings.classes[1].ordered_by_key = true;  // classes ordered by key share one set of keys
  settings.ordering_gap_us = 0;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1), engine(2)});
  harness.request(1, 0, 5 * kSecond, -1, -1, 77);
  harness.request(2, 1, 15 * kSecond, -1, -1, 77);
  harness.request(3, 0, 5 * kSecond, -1, -1, 77);
  harness.run_for(100 * kMs);
  EXPECT_EQ(harness.send_count(2) + harness.send_count(3), 0);
  harness.disconnect(2);
  harness.complete_attempt(1, Outcome::kError);
  EXPECT_EQ(harness.send_count(1), 1) << "not idempotent, and it may have run";
  EXPECT_EQ(harness.count(Action::kFail, 1), 1);
  EXPECT_EQ(harness.send_count(3), 1);
  EXPECT_EQ(harness.send_count(2), 0);
}

}  // namespace
}  // namespace sablelink::test
