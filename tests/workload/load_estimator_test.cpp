// Tests the estimates of local load and the use and the aging of load reports.
#include <gtest/gtest.h>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

// Whether a query is placed on the engine of its table group although that engine's last load report, of the
// given age, was far higher than the other engine's.
bool follows_group_to_busy_engine(TimeUs age) {
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

// Number of threads that this gateway has in flight after load reports with the given memory utilization.
double threads_in_flight(MemoryPressurePolicy policy, double memory_utilization) {
  Settings settings = plain_settings();
  settings.gateway_count = 200;
  settings.memory_pressure_policy = policy;
  ManagerHarness harness(settings);
  harness.update_endpoints(engines(4));
  for (RequestId id = 1; id <= 40; ++id) {
    QueryRequest request;
    request.id = id;
    request.deadline = harness.now() + 5 * kSecond;
    request.estimated_cost_us = 100'000;
    request.estimated_memory_mb = 800;
    harness.manager().on_request(harness.now(), request, harness);
    harness.run_for(50 * kMs);
    LoadReport report;
    report.cpu_utilization = 0.2;  // CPU utilization falls when an engine pages memory
    report.memory_utilization = memory_utilization;
    if (harness.send_count(id) > 0) harness.complete_attempt(id, Outcome::kOk, 100'000, report);
  }
  for (RequestId id = 100; id < 130; ++id) harness.request(id, 0, 5 * kSecond, 100'000);
  double sends = 0;
  for (RequestId id = 100; id < 130; ++id) sends += harness.send_count(id);
  return sends;
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
  EXPECT_FALSE(follows_group_to_busy_engine(100 * kMs));
  EXPECT_TRUE(follows_group_to_busy_engine(60 * kSecond));
}

TEST(LoadEstimator, MemoryUtilizationShowsOverloadedFleet) {
  EXPECT_GT(threads_in_flight(MemoryPressurePolicy::kOvercommit, 0.2), 20);
  EXPECT_LT(threads_in_flight(MemoryPressurePolicy::kOvercommit, 3), 10)
      << "light queries wait as well if memory overcommitment would slow down all";
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
  const auto send_heavy_queries = [&](RequestId from) {
    int sends = 0;
    for (RequestId id = from; id < from + 6; ++id) {
      harness.request(id, 1, 60 * kSecond, 6'000'000);
      sends += harness.send_count(id);
    }
    return sends;
  };
  EXPECT_LE(send_heavy_queries(100), 2) << "more than the gateway's quota";
  for (RequestId id = 100; id < 106; ++id) harness.disconnect(id);
  for (RequestId id = 100; id < 106; ++id) {
    if (harness.send_count(id) > 0) harness.complete_attempt(id, Outcome::kCancelled);
  }
  harness.run_for(15 * kSecond);
  EXPECT_GE(send_heavy_queries(200), 4)
      << "an outdated fleet mean must not limit the gateway to its quota permanently";
}

}  // namespace
}  // namespace sablelink::test
