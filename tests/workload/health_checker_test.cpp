// Health checks before heavy queries, and what their responses are taken for.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <set>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

Settings probing_settings() {
  Settings settings = plain_settings();
  settings.gateway_count = 200;
  settings.health_checks_allowed = true;
  settings.load_reports_in_responses = false;
  settings.load_reports_in_health_checks = true;
  settings.health_check_cost = 0.01;
  return settings;
}

std::set<EngineId> probed(const ManagerHarness& harness) {
  std::set<EngineId> found;
  for (const Action& a : harness.actions) {
    if (a.kind == Action::kCheckHealth) found.insert(a.engine);
  }
  return found;
}

LoadReport busy(double share) {
  LoadReport report;
  report.cpu_utilization = share;
  return report;
}

// Sends a heavy query, answers its probes and returns the engine it went to. One engine answers differently.
EngineId after_probes(ManagerHarness& harness, RequestId id, TimeUs odd_took,
                      const std::optional<LoadReport>& odd, EngineId* odd_one) {
  harness.request(id, 1, 15 * kSecond, 6'000'000);
  EXPECT_EQ(harness.send_count(id), 0) << "it waits for the answers";
  const std::set<EngineId> asked = probed(harness);
  EXPECT_EQ(asked.size(), 3u);
  *odd_one = *asked.rbegin();
  harness.run_for(5 * kMs);
  for (const EngineId e : asked) {
    const bool is_odd = e == *odd_one;
    harness.manager().on_health_check_completed(harness.now(), e, Outcome::kOk, is_odd ? odd_took : kMs,
                                                is_odd ? odd : busy(0.5), harness);
  }
  harness.run_for(20 * kMs);
  EXPECT_EQ(harness.send_count(id), 1);
  return harness.last_engine(id);
}

TEST(HealthChecker, HeavyQueryGoesToLeastBusyEngine) {
  ManagerHarness harness(probing_settings());
  harness.update_endpoints(engines(3));
  EngineId idle = 0;
  EXPECT_EQ(after_probes(harness, 1, kMs, busy(0.05), &idle), idle);
}

TEST(HealthChecker, SlowHealthCheckShowsSaturatedEngine) {
  ManagerHarness harness(probing_settings());
  harness.update_endpoints(engines(3));
  EngineId jammed = 0;
  EXPECT_NE(after_probes(harness, 1, 20 * kMs, busy(0.05), &jammed), jammed)
      << "past its peak an engine's cores wait for its disks";
}

TEST(HealthChecker, ChecksPrecedeHeavyQueriesOnlyWhereWorthwhile) {
  ManagerHarness light(probing_settings());
  light.update_endpoints(engines(3));
  light.request(1, 0, 5 * kSecond, 50'000);
  EXPECT_TRUE(probed(light).empty());
  EXPECT_EQ(light.send_count(1), 1);
  for (const bool dear : {true, false}) {
    Settings settings = probing_settings();
    settings.health_check_cost = dear ? 1 : 0.01;
    settings.health_checks_allowed = dear;
    ManagerHarness harness(settings);
    harness.update_endpoints(engines(3));
    harness.request(1, 1, 15 * kSecond, 6'000'000);
    EXPECT_TRUE(probed(harness).empty());
    EXPECT_EQ(harness.send_count(1), 1);
  }
}

TEST(HealthChecker, LostLateFailedOrUnknownChecksAreHarmless) {
  ManagerHarness harness(probing_settings());
  harness.update_endpoints(engines(4));
  harness.request(1, 1, 15 * kSecond, 6'000'000);
  harness.run_for(30 * kMs);
  EXPECT_EQ(harness.send_count(1), 1) << "no answer within three ticks: it goes all the same";
  harness.manager().on_health_check_completed(harness.now(), 99, Outcome::kOk, kMs, busy(0.5), harness);
  for (const Outcome o :
       {Outcome::kError, Outcome::kOverloaded, Outcome::kConnectFailed, Outcome::kTimeout}) {
    harness.manager().on_health_check_completed(harness.now(), 1, o, 250 * kMs, std::nullopt, harness);
  }
  LoadReport odd;
  odd.cpu_utilization = -3;
  odd.waiting_for_memory = std::numeric_limits<double>::quiet_NaN();
  odd.memory_utilization = std::numeric_limits<double>::infinity();
  harness.manager().on_health_check_completed(harness.now(), 2, Outcome::kOk, 0, odd, harness);
  harness.manager().on_health_check_completed(harness.now(), 3, Outcome::kOk, kMs, LoadReport{}, harness);
  for (RequestId id = 2; id < 12; ++id) harness.request(id, 0, 5 * kSecond, 50'000);
  for (RequestId id = 2; id < 12; ++id) EXPECT_EQ(harness.send_count(id), 1) << id;
}

TEST(HealthChecker, EngineWithoutResponseIsEjected) {
  ManagerHarness harness(probing_settings());
  harness.update_endpoints(engines(5));
  harness.manager().on_health_check_completed(harness.now(), 1, Outcome::kTimeout, 250 * kMs, std::nullopt,
                                              harness);
  for (RequestId id = 1; id <= 40; ++id) harness.request(id, 0, 5 * kSecond, 50'000);
  EXPECT_EQ(harness.send_count_to(1), 0);
}

}  // namespace
}  // namespace sablelink::test
