// Own load and load reports: what they say, and for how long.
#include <gtest/gtest.h>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

// Does a lookup follow its table group to the engine whose last report, this old, was far over the other's?
bool sent_to_reported_busy(TimeUs age) {
  Settings settings = plain_settings();
  settings.gateway_count = 200;
  ManagerHarness harness(settings);
  harness.update_endpoints(engines(2));
  harness.request(1, 0, 5 * kSecond, 100'000, 7);
  harness.request(2, 0, 5 * kSecond, 100'000, 8);
  const EngineId busy = harness.last_engine(1);
  harness.run_for(50 * kMs);
  harness.complete_attempt(1, Outcome::kOk, 100'000, 9);
  harness.complete_attempt(2, Outcome::kOk, 100'000, 1);
  harness.run_for(age);
  harness.request(3, 0, 5 * kSecond, 100'000, 7);
  return harness.last_engine(3) == busy;
}

// Threads that this gateway has out once every answer said that the engines' memory is granted this many
// times.
double threads_out(MemoryPressurePolicy when_short, double memory_share) {
  Settings settings = plain_settings();
  settings.gateway_count = 200;
  settings.memory_pressure_policy = when_short;
  ManagerHarness harness(settings);
  harness.update_endpoints(engines(4));
  for (RequestId id = 1; id <= 40; ++id) {
    QueryRequest r;
    r.id = id, r.deadline = harness.now() + 5 * kSecond, r.estimated_cost_us = 100'000,
    r.estimated_memory_mb = 800;
    harness.manager().on_request(harness.now(), r, harness);
    harness.run_for(50 * kMs);
    LoadReport report;
    report.cpu_utilization = 0.2;  // busy cores fall once an engine pages
    report.memory_utilization = memory_share;
    if (harness.send_count(id) > 0) harness.complete_attempt(id, Outcome::kOk, 100'000, report);
  }
  for (RequestId id = 100; id < 130; ++id) harness.request(id, 0, 5 * kSecond, 100'000);
  double out = 0;
  for (RequestId id = 100; id < 130; ++id) out += harness.send_count(id);
  return out;
}

TEST(LoadEstimator, PlacementFollowsLoadReports) {
  Settings settings = plain_settings();
  settings.gateway_count = 3;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1), engine(2)});
  harness.request(1, 0, 5 * kSecond, 100'000);
  harness.request(2, 0, 5 * kSecond, 100'000);
  const EngineId busy = harness.last_engine(1);
  harness.run_for(50 * kMs);
  harness.complete_attempt(1, Outcome::kOk, 100'000, 6);
  harness.complete_attempt(2, Outcome::kOk, 100'000, 1);
  for (RequestId id = 3; id < 6; ++id) {
    harness.request(id, 0, 5 * kSecond, 100'000);
    EXPECT_NE(harness.last_engine(id), busy);
    harness.complete_attempt(id, Outcome::kOk, 100'000);
  }
}

TEST(LoadEstimator, ReportDecaysToFleetMean) {
  EXPECT_FALSE(sent_to_reported_busy(100 * kMs));
  EXPECT_TRUE(sent_to_reported_busy(60 * kSecond));
}

TEST(LoadEstimator, MemoryUtilizationShowsOverloadedFleet) {
  EXPECT_GT(threads_out(MemoryPressurePolicy::kOvercommit, 0.2), 20);
  EXPECT_LT(threads_out(MemoryPressurePolicy::kOvercommit, 3), 10)
      << "light ones wait, too, where all would slow down";
}

TEST(LoadEstimator, FleetMeanDecaysWithoutReports) {
  Settings settings = plain_settings();
  settings.gateway_count = 8;
  ManagerHarness harness(settings);
  harness.update_endpoints(engines(4));
  for (RequestId id = 1; id <= 40; ++id) {
    harness.request(id, 0, 5 * kSecond, 100'000);
    harness.run_for(50 * kMs);
    if (harness.send_count(id) > 0) harness.complete_attempt(id, Outcome::kOk, 100'000, 100);
  }
  const auto sent = [&](RequestId from) {
    int n = 0;
    for (RequestId id = from; id < from + 6; ++id) {
      harness.request(id, 1, 60 * kSecond, 6'000'000);
      n += harness.send_count(id);
    }
    return n;
  };
  EXPECT_LE(sent(100), 2) << "its part";
  for (RequestId id = 100; id < 106; ++id) harness.disconnect(id);
  for (RequestId id = 100; id < 106; ++id) {
    if (harness.send_count(id) > 0) harness.complete_attempt(id, Outcome::kCancelled);
  }
  harness.run_for(15 * kSecond);
  EXPECT_GE(sent(200), 4) << "the old mean kept it at its part for good";
}

}  // namespace
}  // namespace sablelink::test
