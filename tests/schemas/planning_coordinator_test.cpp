// Planning calls: when one is made, which clients wait for it, the budget, and the settings.
#include "schemas/planning_coordinator.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "config/gateway_config.h"

namespace sablelink {
namespace {

using schemas::PlanningCoordinator;
using schemas::PlanningSettings;

constexpr TimeUs kSecond = 1'000'000;

PlanningSettings small_settings() {
  PlanningSettings settings;
  settings.enabled = true;
  settings.max_concurrent_calls = 3;
  settings.budget_window_us = 10 * kSecond;
  settings.budget_base_calls = 5;
  settings.budget_calls_per_statement = 0.5;
  return settings;
}

TEST(PlanningCoordinator, HundredClientsOfOneStatement_ShareOneCall) {
  PlanningCoordinator planning(small_settings());
  EXPECT_EQ(planning.request_columns(0, "a", 1), PlanningCoordinator::Decision::kStartCall);
  for (PlanningCoordinator::WaiterId waiter = 2; waiter <= 100; ++waiter)
    EXPECT_EQ(planning.request_columns(0, "a", waiter), PlanningCoordinator::Decision::kWaitForCall);
  planning.remove_waiter("a", 50);
  EXPECT_EQ(planning.waiters(), 99u);
  const std::vector<PlanningCoordinator::WaiterId> waiters = planning.complete_call("a");
  EXPECT_EQ(waiters.size(), 99u);
  EXPECT_EQ(std::count(waiters.begin(), waiters.end(), 50u), 0);
  EXPECT_EQ(planning.calls_in_flight() + planning.waiters(), 0u);
  EXPECT_EQ(planning.counts().calls, 1u);
  EXPECT_EQ(planning.counts().shared, 99u);
}

TEST(PlanningCoordinator, CompletedCall_IsStartedAgainByTheNextClient) {
  PlanningCoordinator planning(small_settings());
  planning.request_columns(0, "a", 1);
  planning.complete_call("a");
  EXPECT_EQ(planning.request_columns(1, "a", 2), PlanningCoordinator::Decision::kStartCall);
}

TEST(PlanningCoordinator, CallWithoutWaiters_Continues) {
  PlanningCoordinator planning(small_settings());
  planning.request_columns(0, "a", 1);
  planning.remove_waiter("a", 1);
  EXPECT_EQ(planning.calls_in_flight(), 1u);
  EXPECT_EQ(planning.request_columns(1, "a", 2), PlanningCoordinator::Decision::kWaitForCall);
  EXPECT_EQ(planning.complete_call("a"), std::vector<PlanningCoordinator::WaiterId>{2});
}

TEST(PlanningCoordinator, ConcurrentCalls_AreLimited) {
  PlanningCoordinator planning(small_settings());
  for (const char* key : {"a", "b", "c"})
    EXPECT_EQ(planning.request_columns(0, key, 1), PlanningCoordinator::Decision::kStartCall);
  EXPECT_EQ(planning.request_columns(0, "d", 1), PlanningCoordinator::Decision::kProceedWithoutColumns);
  planning.complete_call("a");
  EXPECT_EQ(planning.request_columns(0, "d", 1), PlanningCoordinator::Decision::kStartCall);
}

TEST(PlanningCoordinator, OverBudget_ProceedsWithoutColumns) {
  PlanningSettings settings = small_settings();
  settings.max_concurrent_calls = 100;
  PlanningCoordinator planning(settings);
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(planning.request_columns(0, std::to_string(i), 1), PlanningCoordinator::Decision::kStartCall);
  EXPECT_EQ(planning.request_columns(0, "5", 1), PlanningCoordinator::Decision::kProceedWithoutColumns);
  planning.on_lookup(1);
  EXPECT_EQ(planning.request_columns(1, "5", 1), PlanningCoordinator::Decision::kProceedWithoutColumns)
      << "one lookup adds only half a call to the budget";
  planning.on_lookup(1);
  EXPECT_EQ(planning.request_columns(1, "5", 1), PlanningCoordinator::Decision::kStartCall);
  EXPECT_EQ(planning.request_columns(2, "6", 1), PlanningCoordinator::Decision::kProceedWithoutColumns);
  EXPECT_EQ(planning.request_columns(10 * kSecond, "6", 1),
            PlanningCoordinator::Decision::kProceedWithoutColumns)
      << "the first calls are still within the budget window";
  EXPECT_EQ(planning.request_columns(10 * kSecond + 1, "6", 1), PlanningCoordinator::Decision::kStartCall);
  EXPECT_EQ(planning.counts().over_budget, 4u);
}

TEST(PlanningCoordinator, AnyWindow_StaysWithinTheBudget) {
  rc::check([] {
    PlanningSettings settings = small_settings();
    settings.max_concurrent_calls = 1000;
    PlanningCoordinator planning(settings);
    std::vector<TimeUs> lookup_times;
    std::vector<TimeUs> call_times;
    TimeUs now = 0;
    const auto steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      now += *rc::gen::inRange<TimeUs>(0, kSecond);
      if (*rc::gen::inRange(0, 2)) {
        planning.on_lookup(now);
        lookup_times.push_back(now);
      }
      if (planning.request_columns(now, std::to_string(i), 1) != PlanningCoordinator::Decision::kStartCall)
        continue;
      call_times.push_back(now);
      const auto count_in_window = [&](const std::vector<TimeUs>& times) {
        return std::count_if(times.begin(), times.end(),
                             [&](TimeUs time) { return time > now - settings.budget_window_us; });
      };
      RC_ASSERT(static_cast<double>(count_in_window(call_times)) <=
                settings.budget_base_calls +
                    settings.budget_calls_per_statement * static_cast<double>(count_in_window(lookup_times)));
    }
  });
}

TEST(PlanningCoordinator, Disabled_StartsNoCall) {
  PlanningCoordinator planning({});
  EXPECT_EQ(planning.request_columns(0, "a", 1), PlanningCoordinator::Decision::kProceedWithoutColumns);
  EXPECT_EQ(planning.calls_in_flight(), 0u);
}

TEST(PlanningCoordinator, Waiters_AreLimited) {
  PlanningSettings settings = small_settings();
  settings.max_waiters = 2;
  PlanningCoordinator planning(settings);
  planning.request_columns(0, "a", 1);
  planning.request_columns(0, "a", 2);
  EXPECT_EQ(planning.request_columns(0, "a", 3), PlanningCoordinator::Decision::kProceedWithoutColumns);
}

std::string parse_error(const std::string& text) {
  try {
    config::parse_gateway_config(
        "[[class]]\nname = \"safe\"\n[[class]]\nname = \"unsafe\"\nrepeat = \"unsafe\"\n" + text, "f.toml");
  } catch (const config::ConfigError& e) {
    return e.what();
  }
  return "";
}

TEST(PlanningSettings, InvalidValues_AreNamedInTheError) {
  EXPECT_EQ(parse_error("[planning]\nclass = \"safe\"\nwait = \"1s\"\ntime = \"2s\"\n"), "");
  EXPECT_EQ(parse_error("[planning]\nclass = \"other\"\n"),
            "f.toml:7: planning.class: 'other' isn't configured");
  EXPECT_EQ(parse_error("[planning]\nclass = \"unsafe\"\n"),
            "f.toml:7: planning.class: must be one whose repeat is \"safe\": a plan changes nothing");
  EXPECT_EQ(
      parse_error("[planning]\nclass = \"safe\"\ntime = \"1ms\"\n"),
      "f.toml:8: planning.time: must be at least the aim of its class: calls would be rejected at once");
  EXPECT_EQ(parse_error("[planning]\nclass = \"safe\"\nwait = \"3s\"\n"),
            "f.toml:8: planning.wait: must be at most the time of the call");
  EXPECT_EQ(parse_error("[schemas]\nentries = -1\n"),
            "f.toml:7: schemas.entries: -1 is not from 0 to 10000000");
  EXPECT_EQ(parse_error("[schemas]\nage = 5\n"),
            "f.toml:7: schemas.age: must be a time such as \"250ms\" or \"1.5s\"");
}

}  // namespace
}  // namespace sablelink
