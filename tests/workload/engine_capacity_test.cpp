// Tests the capacity of engines, also during their slow start.
#include "workload/engine_capacity.h"

#include <gtest/gtest.h>

#include "tests/workload/harness.h"
#include "workload/engine.h"

namespace sablelink::test {
namespace {

Settings slow_start_settings() {
  Settings settings = plain_settings();
  settings.slow_start_duration_us = 10 * kSecond;
  settings.slow_start_min_capacity_fraction = 0.4;
  return settings;
}

TEST(EngineCapacity, CapacityRisesByHalfOfAStraightLineAndIsFullAtTheEnd) {
  const Settings settings = slow_start_settings();
  Endpoint endpoint;
  endpoint.started_at = 100 * kSecond;
  EXPECT_DOUBLE_EQ(warmed_capacity_fraction(settings, endpoint, 100 * kSecond), 0.4);
  EXPECT_DOUBLE_EQ(warmed_capacity_fraction(settings, endpoint, 105 * kSecond), 0.55);
  EXPECT_TRUE(is_warming_up(settings, endpoint, 110 * kSecond - 1));
  EXPECT_FALSE(is_warming_up(settings, endpoint, 110 * kSecond));
  EXPECT_DOUBLE_EQ(warmed_capacity_fraction(settings, endpoint, 110 * kSecond), 1);
}

TEST(EngineCapacity, StartReportedForTheFutureCountsAsJustNow) {
  Endpoint endpoint;
  endpoint.started_at = 100 * kSecond;
  EXPECT_DOUBLE_EQ(warmed_capacity_fraction(slow_start_settings(), endpoint, 99 * kSecond), 0.4);
}

TEST(EngineCapacity, EngineThatStartedLongAgoIsWarm) {
  EXPECT_FALSE(is_warming_up(slow_start_settings(), Endpoint{}, kSecond));
}

TEST(EngineCapacity, ConcurrencyLimitFollowsCoresAndWarmUp) {
  const Settings settings = slow_start_settings();
  Engine engine;
  engine.cores = 10;
  engine.endpoint.started_at = 100 * kSecond;
  EXPECT_DOUBLE_EQ(concurrency_limit_threads(settings, engine, 100 * kSecond), 4 * kThreadsPerCore);
  EXPECT_DOUBLE_EQ(concurrency_limit_threads(settings, engine, 200 * kSecond), 10 * kThreadsPerCore);
}

TEST(EngineCapacity, UnknownEngineTypeHasTheDefaultNumberOfCores) {
  Settings settings = plain_settings();
  settings.engine_type_cores = {16, 0};
  Endpoint endpoint;
  EXPECT_EQ(core_count(settings, endpoint), 16);
  endpoint.engine_type = 1;
  EXPECT_EQ(core_count(settings, endpoint), 8);
  endpoint.engine_type = 2;
  EXPECT_EQ(core_count(settings, endpoint), 8);
}

}  // namespace
}  // namespace sablelink::test
