// Tests the limits of queries in flight on an engine and on the fleet.
#include <gtest/gtest.h>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

TEST(ConcurrencyLimiter, QueriesQueueOnFullEngineAndStartAsItDrains) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1)});
  for (RequestId id = 1; id <= 12; ++id) harness.request(id, 1, 15 * kSecond, 400'000);
  const int started = harness.send_count_to(1);
  EXPECT_GE(4 * started, 8) << "an engine runs at least one thread per core";
  EXPECT_LE(4 * started, 24) << "an engine runs few threads above its concurrency limit";
  harness.run_for(300 * kMs);
  harness.complete_attempt(1, Outcome::kOk, 400'000);
  EXPECT_EQ(harness.send_count_to(1), started + 1);
}

TEST(ConcurrencyLimiter, QuotaBindsOnlyUnderPressure) {
  Settings settings = plain_settings();
  settings.gateway_count = 4;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1)});
  for (RequestId id = 1; id <= 6; ++id) harness.request(id, 0, 5 * kSecond, 300'000);
  EXPECT_EQ(harness.send_count_to(1), 6) << "without pressure, more than a quarter of the limit is in flight";
}

TEST(ConcurrencyLimiter, HeavyQueriesWaitOnFullFleetAndLightOnesPass) {
  Settings settings = plain_settings();
  settings.gateway_count = 200;
  ManagerHarness harness(settings);
  harness.update_endpoints(engines(4));
  for (RequestId id = 1; id <= 40; ++id) {  // every load report shows 100 queries in flight
    harness.request(id, 0, 5 * kSecond, 100'000);
    harness.run_for(50 * kMs);
    if (harness.send_count(id) > 0) harness.complete_attempt(id, Outcome::kOk, 100'000, 100);
  }
  harness.request(100, 1, 15 * kSecond, 6'000'000);
  harness.request(101, 1, 15 * kSecond, 6'000'000);
  harness.request(102, 0, 5 * kSecond, 100'000);
  EXPECT_LE(harness.send_count(100) + harness.send_count(101), 1)
      << "this gateway's quota of the fleet is one query";
  EXPECT_EQ(harness.send_count(102), 1);
}

}  // namespace
}  // namespace sablelink::test
