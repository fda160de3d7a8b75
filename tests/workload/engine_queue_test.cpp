// Tests the order in which queued queries start.
#include <gtest/gtest.h>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

TEST(EngineQueue, QueriesInTimeStartBeforeLateOnes) {
  Settings settings = plain_settings();
  settings.classes[1].latency_objective_us = 200 * kMs;
  settings.classes[1].latency_objective_stretch = 0;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1)});
  for (RequestId id = 1; id <= 8; ++id) harness.request(id, 1, 15 * kSecond, 2'000'000);
  harness.request(50, 0, 5 * kSecond, 300'000);
  harness.run_for(300 * kMs);
  ASSERT_EQ(harness.send_count(50), 0);
  RequestId running = 1;
  while (running < 8 && harness.send_count(running) == 0) ++running;
  harness.complete_attempt(running, Outcome::kOk, 2'000'000);
  EXPECT_EQ(harness.send_count(50), 1)
      << "incident i56d015: late queries at the head delayed new queries past their latency objective";
}

TEST(EngineQueue, QueryWithoutCapacityLetsLighterOnePass) {
  Settings settings = plain_settings();
  settings.classes[1].threads = 8;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1)});
  harness.request(1, 1, 15 * kSecond, 3'000'000);
  for (RequestId id = 2; id <= 5; ++id) harness.request(id, 0, 5 * kSecond, 100'000);
  harness.request(6, 1, 15 * kSecond, 3'000'000);
  ASSERT_EQ(harness.send_count(6), 0) << "8 more threads don't fit beside the 12 in flight";
  harness.request(7, 0, 5 * kSecond, 100'000);
  EXPECT_EQ(harness.send_count(7), 1) << "incident i7f9fef: short queries behind a long one were rejected";
  EXPECT_EQ(harness.send_count(6), 0);
}

TEST(EngineQueue, IdleEngineStealsQueuedWork) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1)});
  for (RequestId id = 1; id <= 8; ++id) harness.request(id, 1, 15 * kSecond, 2'000'000);
  ASSERT_LT(harness.send_count_to(1), 8);
  harness.update_endpoints({engine(2)}, EndpointUpdateKind::kDelta);
  harness.run_for(20 * kMs);
  EXPECT_GE(harness.send_count_to(2), 2) << "incident i56d015: outdated placements left engines idle";
}

}  // namespace
}  // namespace sablelink::test
