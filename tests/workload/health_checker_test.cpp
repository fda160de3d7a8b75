// Tests health checks before heavy queries, and the use of their responses.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <set>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

Settings health_check_settings() {
  Settings settings = plain_settings();
  settings.gateway_count = 200;
  settings.health_checks_allowed = true;
  settings.load_reports_in_responses = false;
  settings.load_reports_in_health_checks = true;
  settings.health_check_cost = 0.01;
  return settings;
}

std::set<EngineId> checked_engines(const ManagerHarness& harness) {
  std::set<EngineId> found;
  for (const Action& a : harness.actions) {
    if (a.kind == Action::kCheckHealth) found.insert(a.engine);
  }
  return found;
}

LoadReport utilization(double fraction) {
  LoadReport report;
  report.cpu_utilization = fraction;
  return report;
}

// Sends a heavy query, completes its health checks and returns the engine that the query was sent to. One of
// the checked engines, returned in odd_engine, differs from the others: it responds after odd_duration_us
// with the load report invalid.
EngineId place_after_checks(ManagerHarness& harness, RequestId id, TimeUs odd_duration_us,
                            const std::optional<LoadReport>& odd, EngineId* odd_engine) {
  harness.request(id, 1, 15 * kSecond, 6'000'000);
  EXPECT_EQ(harness.send_count(id), 0) << "the query must wait for the responses";
  const std::set<EngineId> checked = checked_engines(harness);
  EXPECT_EQ(checked.size(), 3u);
  *odd_engine = *checked.rbegin();
  harness.run_for(5 * kMs);
  for (const EngineId e : checked) {
    const bool is_odd = e == *odd_engine;
    harness.manager().on_health_check_completed(harness.now(), e, Outcome::kOk,
                                                is_odd ? odd_duration_us : kMs,
                                                is_odd ? odd : utilization(0.5), harness);
  }
  harness.run_for(20 * kMs);
  EXPECT_EQ(harness.send_count(id), 1);
  return harness.last_engine(id);
}

TEST(HealthChecker, HeavyQueryGoesToLeastBusyEngine) {
  ManagerHarness harness(health_check_settings());
  harness.update_endpoints(engines(3));
  EngineId idle = 0;
  EXPECT_EQ(place_after_checks(harness, 1, kMs, utilization(0.05), &idle), idle);
}

TEST(HealthChecker, SlowHealthCheckShowsSaturatedEngine) {
  ManagerHarness harness(health_check_settings());
  harness.update_endpoints(engines(3));
  EngineId saturated = 0;
  EXPECT_NE(place_after_checks(harness, 1, 20 * kMs, utilization(0.05), &saturated), saturated)
      << "a saturated engine's cores wait for its disks";
}

TEST(HealthChecker, ChecksPrecedeHeavyQueriesOnlyWhereWorthwhile) {
  ManagerHarness light(health_check_settings());
  light.update_endpoints(engines(3));
  light.request(1, 0, 5 * kSecond, 50'000);
  EXPECT_TRUE(checked_engines(light).empty());
  EXPECT_EQ(light.send_count(1), 1);
  for (const bool costly : {true, false}) {
    Settings settings = health_check_settings();
    settings.health_check_cost = costly ? 1 : 0.01;
    settings.health_checks_allowed = costly;
    ManagerHarness harness(settings);
    harness.update_endpoints(engines(3));
    harness.request(1, 1, 15 * kSecond, 6'000'000);
    EXPECT_TRUE(checked_engines(harness).empty());
    EXPECT_EQ(harness.send_count(1), 1);
  }
}

TEST(HealthChecker, LostLateFailedOrUnknownChecksAreHarmless) {
  ManagerHarness harness(health_check_settings());
  harness.update_endpoints(engines(4));
  harness.request(1, 1, 15 * kSecond, 6'000'000);
  harness.run_for(30 * kMs);
  EXPECT_EQ(harness.send_count(1), 1) << "without a response within three ticks the query is sent anyway";
  harness.manager().on_health_check_completed(harness.now(), 99, Outcome::kOk, kMs, utilization(0.5),
                                              harness);
  for (const Outcome o :
       {Outcome::kError, Outcome::kOverloaded, Outcome::kConnectFailed, Outcome::kTimeout}) {
    harness.manager().on_health_check_completed(harness.now(), 1, o, 250 * kMs, std::nullopt, harness);
  }
  LoadReport invalid;
  invalid.cpu_utilization = -3;
  invalid.waiting_for_memory = std::numeric_limits<double>::quiet_NaN();
  invalid.memory_utilization = std::numeric_limits<double>::infinity();
  harness.manager().on_health_check_completed(harness.now(), 2, Outcome::kOk, 0, invalid, harness);
  harness.manager().on_health_check_completed(harness.now(), 3, Outcome::kOk, kMs, LoadReport{}, harness);
  for (RequestId id = 2; id < 12; ++id) harness.request(id, 0, 5 * kSecond, 50'000);
  for (RequestId id = 2; id < 12; ++id) EXPECT_EQ(harness.send_count(id), 1) << id;
}

TEST(HealthChecker, EngineWithoutResponseIsEjected) {
  ManagerHarness harness(health_check_settings());
  harness.update_endpoints(engines(5));
  harness.manager().on_health_check_completed(harness.now(), 1, Outcome::kTimeout, 250 * kMs, std::nullopt,
                                              harness);
  for (RequestId id = 1; id <= 40; ++id) harness.request(id, 0, 5 * kSecond, 50'000);
  EXPECT_EQ(harness.send_count_to(1), 0);
}

}  // namespace
}  // namespace sablelink::test
