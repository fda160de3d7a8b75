// Tests the rules for sends, each with a case in which a send would violate it.
#include <gtest/gtest.h>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

TEST(SendGuard, NeverTwoAttemptsInFlight) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1), engine(2)});
  harness.request(7, 0, 5 * kSecond, 100'000);
  harness.run_for(900 * kMs);
  ASSERT_EQ(harness.count(Action::kCancel, 7), 1)
      << "an attempt far beyond its expected duration must be cancelled";
  EXPECT_EQ(harness.send_count(7), 1) << "the retry must wait for the outcome";
  harness.complete_attempt(7, Outcome::kCancelled);
  EXPECT_EQ(harness.send_count(7), 2);
  EXPECT_NE(harness.actions[0].engine, harness.last_engine(7)) << "the retry must use another engine";
}

TEST(SendGuard, DrainingOrRemovedEngineGetsNothing) {
  for (const EndpointState state : {EndpointState::kDraining, EndpointState::kRemoved}) {
    ManagerHarness harness(plain_settings());
    harness.update_endpoints({engine(1), engine(2)});
    Endpoint changed = engine(1);
    changed.state = state;
    harness.update_endpoints({changed}, EndpointUpdateKind::kDelta);
    for (RequestId id = 10; id < 30; ++id) harness.request(id, 0, 5 * kSecond);
    harness.run_for(100 * kMs);
    EXPECT_EQ(harness.send_count_to(1), 0);
    EXPECT_GT(harness.send_count_to(2), 0);
  }
}

TEST(SendGuard, EngineMissingFromFullListIsRemovedAndItsQueueMoves) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1)});
  for (RequestId id = 10; id < 40; ++id) harness.request(id, 1, 15 * kSecond);
  const int before = harness.send_count_to(1);
  harness.update_endpoints({engine(2)});
  EXPECT_EQ(harness.send_count_to(1), before);
  EXPECT_GT(harness.send_count_to(2), 0);
  harness.run_for(kSecond);
  EXPECT_EQ(harness.send_count_to(1), before);
}

TEST(SendGuard, AllowedZonesAndTypesHoldForEveryAttempt) {
  Settings settings = plain_settings();
  settings.classes[0].allowed_zones = {1};
  settings.classes[0].allowed_engine_types = {1};
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1, 0, 1), engine(2, 1, 0), engine(3, 1, 1)});
  harness.request(7, 0, 2 * kSecond);
  EXPECT_EQ(harness.last_engine(7), 3u);
  harness.complete_attempt(7, Outcome::kConnectFailed);
  harness.update_endpoints({engine(1, 0, 1), engine(2, 1, 0)});
  harness.request(8, 0, 2 * kSecond);
  harness.run_for(3 * kSecond);
  EXPECT_EQ(harness.send_count_to(1) + harness.send_count_to(2), 0);
  EXPECT_TRUE(harness.has_final_response(8));
}

// A send may wait for a connection: the rules must hold when it is decided and when it is sent.
TEST(SendGuard, DelayedSendLeavesOnlyWhileStillValid) {
  Settings settings = plain_settings();
  settings.classes[0].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[0].dedup_window_us = 500 * kMs;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1), engine(2)});
  harness.request(1, 0, 5 * kSecond);
  ASSERT_EQ(harness.send_count(1), 1);
  EXPECT_TRUE(harness.manager().is_attempt_still_valid(harness.now(), 1, 0, harness));
  EXPECT_FALSE(harness.manager().is_attempt_still_valid(harness.now(), 1, 1, harness));
  harness.complete_attempt(1, Outcome::kReset);
  ASSERT_EQ(harness.send_count(1), 2);
  EXPECT_TRUE(harness.manager().is_attempt_still_valid(harness.now() + 400 * kMs, 1, 1, harness));
  EXPECT_FALSE(harness.manager().is_attempt_still_valid(harness.now() + 600 * kMs, 1, 1, harness))
      << "after the deduplication window";
  harness.request(2, 1, 5 * kSecond);
  ASSERT_EQ(harness.send_count(2), 1);
  harness.update_endpoints({engine(1, 0, 0, 0), engine(2, 0, 0, 0)});
  EXPECT_TRUE(harness.manager().is_attempt_still_valid(harness.now(), 2, 0, harness));
  Endpoint draining = engine(harness.last_engine(2));
  draining.state = EndpointState::kDraining;
  harness.update_endpoints({draining}, EndpointUpdateKind::kDelta);
  EXPECT_FALSE(harness.manager().is_attempt_still_valid(harness.now(), 2, 0, harness))
      << "the engine is draining";
  harness.disconnect(2);
  EXPECT_FALSE(harness.manager().is_attempt_still_valid(harness.now(), 2, 0, harness))
      << "the client has disconnected";
}

TEST(SendGuard, DelayedSendCountsWhenItLeaves) {
  Settings settings = plain_settings();
  settings.retry_budget_enabled = true;
  settings.retry_budget_base = 1;
  settings.retry_budget_window_us = kSecond;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1), engine(2), engine(3)});
  harness.request(1, 0, 20 * kSecond);
  harness.complete_attempt(1, Outcome::kReset);
  ASSERT_EQ(harness.send_count(1), 2);
  harness.run_for(900 * kMs);
  EXPECT_TRUE(harness.manager().is_attempt_still_valid(harness.now(), 1, 1, harness));
  harness.run_for(200 * kMs);
  harness.request(2, 0, 20 * kSecond);
  harness.complete_attempt(2, Outcome::kReset);
  EXPECT_EQ(harness.send_count(2), 1) << "the only retry allowed in the window was sent 200 ms ago";
}

}  // namespace
}  // namespace sablelink::test
