// Tests that warming engines receive no more work than they can take.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

// Work sent to a warming engine within one window, in core-microseconds. Queries of class 0 take 200 ms,
// alternately plus and minus spread_us. With one_query, a single query is repeatedly rejected as overloaded
// and retried.
double work_sent_us(int gateways, bool gateway_just_started, double spread_us = 0, bool one_query = false) {
  Settings settings = plain_settings();
  settings.gateway_count = gateways;
  settings.max_attempts = 100;
  // Short enough that this gateway's budget is larger than one query.
  settings.classes[1].latency_objective_us = 400 * kMs;
  ManagerHarness harness(settings);
  if (!gateway_just_started) {
    harness.update_endpoints({engine(1)});
    for (RequestId id = 1; id <= 20; ++id) {
      harness.request(id, 0, 5 * kSecond);
      harness.run_for(20 * kMs);
      harness.complete_attempt(id, Outcome::kOk, 200'000 + (id % 2 == 0 ? spread_us : -spread_us));
    }
    harness.run_for(2 * kSecond);
  }
  if (one_query) {
    harness.update_endpoints({engine(2, 0, 0, harness.now())});
    harness.request(100, 0, 5 * kSecond);
    for (int i = 0; i < 100 && harness.send_count(100) > i; ++i)
      harness.complete_attempt(100, Outcome::kOverloaded);
    return harness.send_count_to(2) * 200'000.0;
  }
  harness.update_endpoints({engine(2, 0, 0, harness.now())});
  for (RequestId id = 100; id < 400; ++id) {
    harness.request(id, 0, 5 * kSecond);
    if (harness.send_count(id)) harness.complete_attempt(id, Outcome::kOverloaded);
  }
  return harness.send_count_to(2) * 200'000.0;
}

TEST(SlowStart, SendsStayWithinThisGatewaysBudget) {
  const double limit = 3 * 0.35 * 8 * 1500'000;  // load multiple x capacity fraction x cores x window
  const double alone = work_sent_us(1, false);
  const double one_of_three = work_sent_us(3, false);
  EXPECT_GT(alone, 0);
  EXPECT_LE(alone, 1.7 * limit);
  EXPECT_GT(one_of_three, 0);
  EXPECT_LE(one_of_three, 1.7 * limit / 3);
}

// Found in simulated worlds 1906, 2257 and 3547: the actual work of queries without reported work exceeded
// their mean.
TEST(SlowStart, BudgetLeavesMarginForVarianceOfWork) {
  const double even = work_sent_us(8, false);
  const double varying = work_sent_us(8, false, 180'000);
  EXPECT_GT(varying, 0);
  EXPECT_LT(varying, 0.95 * even);
}

TEST(SlowStart, RetriedQueryAddsMoreVariance) {
  EXPECT_LT(work_sent_us(8, false, 180'000, true), work_sent_us(8, false, 180'000));
}

TEST(SlowStart, RestartedGatewayTakesBudgetAsSpent) { EXPECT_EQ(work_sent_us(1, true), 0); }

TEST(SlowStart, BudgetsBelowOneQueryAreUsedButNotExceededInSum) {
  const int gateways = 200;
  Settings settings = plain_settings();
  settings.gateway_count = gateways;
  const TimeUs start = 100 * kSecond;
  std::map<TimeUs, double> sent;  // work by intervals of 100 ms
  for (int g = 0; g < gateways; ++g) {
    ManagerHarness harness(settings, start, 1000 + g);
    harness.update_endpoints({engine(1, 0, 0, start)});
    for (RequestId id = 1; id <= 150; ++id) {  // far more than the engine can take
      harness.request(id, id % 4 == 0, 5 * kSecond);
      harness.run_for(20 * kMs);
      if (harness.send_count(id) > 0)
        harness.complete_attempt(id, Outcome::kOk, id % 4 == 0 ? 4'000'000 : 300'000);
    }
    for (const Action& a : harness.actions) {
      if (a.kind == Action::kSend) sent[(a.at - start) / (100 * kMs)] += a.id % 4 == 0 ? 4'000'000 : 300'000;
    }
  }
  double all = 0;
  for (const auto& [at, work] : sent) {
    double window = 0;
    for (TimeUs k = 0; k < 15; ++k) window += sent.contains(at + k) ? sent.at(at + k) : 0;
    EXPECT_LE(window, 3 * 0.35 * 8 * 1500'000) << "from " << at * 100 << " ms";
    all += work;
  }
  EXPECT_GT(all, 0.1 * 3 * 0.35 * 8 * 3'000'000) << "the engine must receive work";
}

// A burst of requests on independent gateways: traffic is uneven, work varies, attempts are rejected as
// overloaded and retried, and some gateways restart during an engine's slow start.
class BurstFleet {
 public:
  static constexpr double kWorkUs = 200'000;  // mean work of a query
  static constexpr TimeUs kEngineStart = 100 * kSecond;

  BurstFleet() : settings_(plain_settings()), gateways_(kGateways) {
    settings_.gateway_count = kGateways;
    for (Gateway& gateway : gateways_) start_gateway(gateway, kFleetStart, false);
  }

  // Returns the times of the sends to the starting engine, in ascending order.
  std::vector<TimeUs> run_for(TimeUs span) {
    bool engine_listed = false;
    for (TimeUs now = kFleetStart; now < kEngineStart + span; now += kStepUs) {
      if (now >= kEngineStart && !std::exchange(engine_listed, true))
        for (Gateway& gateway : gateways_) list_starting_engine(gateway);
      for (int i = 0; i < kGateways; ++i) step(gateways_[i], i, now);
    }
    std::sort(sent_.begin(), sent_.end());
    return sent_;
  }
  const Settings& settings() const { return settings_; }

 private:
  struct Gateway {
    std::unique_ptr<ManagerHarness> harness;
    RequestId last_request = 0;
    size_t actions_seen = 0;
    std::vector<std::pair<TimeUs, RequestId>> in_flight;  // with the time of completion
  };
  static constexpr int kGateways = 30;
  static constexpr TimeUs kStepUs = 10 * kMs;
  static constexpr TimeUs kFleetStart = kEngineStart - 30 * kSecond;
  static constexpr EngineId kStartingEngine = 4;

  double draw() {  // in [0, 1)
    random_state_ = random_state_ * 6364136223846793005ull + 1442695040888963407ull;
    return static_cast<double>(random_state_ >> 11) / static_cast<double>(1ull << 53);
  }

  static void list_starting_engine(Gateway& gateway) {
    gateway.harness->update_endpoints(
        {engine(1), engine(2), engine(3), engine(kStartingEngine, 0, 0, kEngineStart)});
  }

  void start_gateway(Gateway& gateway, TimeUs now, bool engine_listed) {
    const uint64_t seed = 1000 + static_cast<uint64_t>(1e6 * draw());
    gateway.harness = std::make_unique<ManagerHarness>(settings_, now, seed);
    gateway.actions_seen = 0;
    gateway.in_flight.clear();
    gateway.harness->update_endpoints({engine(1), engine(2), engine(3)});
    if (engine_listed) list_starting_engine(gateway);
  }

  void step(Gateway& gateway, int index, TimeUs now) {
    if (now == kEngineStart + 700 * kMs && index % 6 == 0) start_gateway(gateway, now, true);
    gateway.harness->run_for(kStepUs);
    // Most gateways receive 15 requests per second and some 60; all receive three times as many after the
    // engine's start.
    const double rate = (index % 5 == 0 ? 60 : 15) * (now >= kEngineStart ? 3 : 1);
    if (draw() < rate * kStepUs / kSecond) gateway.harness->request(++gateway.last_request, 0, 5 * kSecond);
    complete_attempts(gateway);
    record_sends(gateway);
  }

  void complete_attempts(Gateway& gateway) {
    ManagerHarness& harness = *gateway.harness;
    std::vector<RequestId> ending;
    std::erase_if(gateway.in_flight, [&](const auto& item) {
      if (item.first > harness.now()) return false;
      ending.push_back(item.second);
      return true;
    });
    for (const RequestId id : ending)
      harness.complete_attempt(id, draw() < 0.1 ? Outcome::kOverloaded : Outcome::kOk,
                               kWorkUs * (0.2 + 1.6 * draw()));
  }

  void record_sends(Gateway& gateway) {
    const ManagerHarness& harness = *gateway.harness;
    for (; gateway.actions_seen < harness.actions.size(); ++gateway.actions_seen) {
      const Action& action = harness.actions[gateway.actions_seen];
      if (action.kind != Action::kSend) continue;
      gateway.in_flight.emplace_back(harness.now() + 300 * kMs, action.id);
      if (action.engine == kStartingEngine) sent_.push_back(harness.now());
    }
  }

  Settings settings_;
  uint64_t random_state_ = 7;
  std::vector<Gateway> gateways_;
  std::vector<TimeUs> sent_;
};

// Within any window, the work that all gateways send to the engine must stay within the limit in the settings
// plus a margin for the variance of this many sends.
TEST(SlowStart, ThirtyGatewaysDoNotCollapseEngine) {
  BurstFleet fleet;
  const std::vector<TimeUs> sent = fleet.run_for(3 * kSecond);
  const Settings& settings = fleet.settings();
  size_t max_in_window = 0;
  size_t first = 0;
  for (size_t last = 0; last < sent.size(); ++last) {
    while (sent[last] - sent[first] > settings.collapse_window_us) ++first;
    max_in_window = std::max(max_in_window, last - first + 1);
  }
  const double allowed = settings.collapse_load_multiple * settings.slow_start_min_capacity_fraction * 8 *
                         settings.collapse_window_us / BurstFleet::kWorkUs;
  EXPECT_GT(max_in_window, 10u) << "the engine still receives work";
  EXPECT_LE(max_in_window, allowed + 2 * std::sqrt(allowed) + 2);
  RecordProperty("most_in_a_window", static_cast<int>(max_in_window));
  RecordProperty("allowed", static_cast<int>(allowed));
}

}  // namespace
}  // namespace sablelink::test
