// Probes: asked before heavy queries where they pay, and what their answers are taken for.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <set>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

Settings probing_settings() {
  Settings s = plain_settings();
  s.gateway_count = 200;
  s.health_checks_allowed = true;
  s.load_reports_in_responses = false;
  s.load_reports_in_health_checks = true;
  s.health_check_cost = 0.01;
  return s;
}

std::vector<Endpoint> engines(int n) {
  std::vector<Endpoint> list;
  for (int i = 1; i <= n; ++i) list.push_back(engine(i));
  return list;
}

std::set<EngineId> probed(const Bench& b) {
  std::set<EngineId> found;
  for (const Action& a : b.actions) {
    if (a.kind == Action::kProbe) found.insert(a.engine);
  }
  return found;
}

LoadReport busy(double share) {
  LoadReport report;
  report.cpu_utilization = share;
  return report;
}

// Sends a heavy query, answers its probes and returns the engine it went to. One engine answers differently.
EngineId after_probes(Bench& b, RequestId id, TimeUs odd_took, const std::optional<LoadReport>& odd,
                      EngineId* odd_one) {
  b.request(id, 1, 15 * kSecond, 6'000'000);
  EXPECT_EQ(b.sends(id), 0) << "it waits for the answers";
  const std::set<EngineId> asked = probed(b);
  EXPECT_EQ(asked.size(), 3u);
  *odd_one = *asked.rbegin();
  b.run_for(5 * kMs);
  for (const EngineId e : asked) {
    const bool is_odd = e == *odd_one;
    b.gateway().on_health_check_completed(b.now(), e, Outcome::kOk, is_odd ? odd_took : kMs,
                                          is_odd ? odd : busy(0.5), b);
  }
  b.run_for(20 * kMs);
  EXPECT_EQ(b.sends(id), 1);
  return b.engine_of(id);
}

TEST(Probes, AHeavyQueryGoesToTheLeastBusyOfThoseAsked) {
  Bench b(probing_settings());
  b.list(engines(3));
  EngineId idle = 0;
  EXPECT_EQ(after_probes(b, 1, kMs, busy(0.05), &idle), idle);
}

TEST(Probes, ALateOneTellsAJammedEngineThatLooksIdle) {
  Bench b(probing_settings());
  b.list(engines(3));
  EngineId jammed = 0;
  EXPECT_NE(after_probes(b, 1, 20 * kMs, busy(0.05), &jammed), jammed)
      << "past its peak an engine's cores wait for its disks";
}

TEST(Probes, AreSentForHeavyQueriesAloneAndWhereTheyPay) {
  Bench light(probing_settings());
  light.list(engines(3));
  light.request(1, 0, 5 * kSecond, 50'000);
  EXPECT_TRUE(probed(light).empty());
  EXPECT_EQ(light.sends(1), 1);
  for (const bool dear : {true, false}) {
    Settings s = probing_settings();
    s.health_check_cost = dear ? 1 : 0.01;
    s.health_checks_allowed = dear;
    Bench b(s);
    b.list(engines(3));
    b.request(1, 1, 15 * kSecond, 6'000'000);
    EXPECT_TRUE(probed(b).empty());
    EXPECT_EQ(b.sends(1), 1);
  }
}

TEST(Probes, LostLateFailedOrUnknownOnesHarmNothing) {
  Bench b(probing_settings());
  b.list(engines(4));
  b.request(1, 1, 15 * kSecond, 6'000'000);
  b.run_for(30 * kMs);
  EXPECT_EQ(b.sends(1), 1) << "no answer within three ticks: it goes all the same";
  b.gateway().on_health_check_completed(b.now(), 99, Outcome::kOk, kMs, busy(0.5), b);
  for (const Outcome o :
       {Outcome::kError, Outcome::kOverloaded, Outcome::kConnectFailed, Outcome::kTimeout}) {
    b.gateway().on_health_check_completed(b.now(), 1, o, 250 * kMs, std::nullopt, b);
  }
  LoadReport odd;
  odd.cpu_utilization = -3;
  odd.waiting_for_memory = std::numeric_limits<double>::quiet_NaN();
  odd.memory_utilization = std::numeric_limits<double>::infinity();
  b.gateway().on_health_check_completed(b.now(), 2, Outcome::kOk, 0, odd, b);
  b.gateway().on_health_check_completed(b.now(), 3, Outcome::kOk, kMs, LoadReport{}, b);
  for (RequestId id = 2; id < 12; ++id) b.request(id, 0, 5 * kSecond, 50'000);
  for (RequestId id = 2; id < 12; ++id) EXPECT_EQ(b.sends(id), 1) << id;
}

TEST(Probes, AnEngineThatAnswersNoProbeIsTakenOut) {
  Bench b(probing_settings());
  b.list(engines(5));
  b.gateway().on_health_check_completed(b.now(), 1, Outcome::kTimeout, 250 * kMs, std::nullopt, b);
  for (RequestId id = 1; id <= 40; ++id) b.request(id, 0, 5 * kSecond, 50'000);
  EXPECT_EQ(b.sends_to(1), 0);
}

}  // namespace
}  // namespace sablelink::test
