// What changes with hundreds of gateways and tens of engines: old reports, shares under one query, homes,
// stalls.
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

std::vector<Endpoint> engines(int n, TimeUs started = 0) {
  std::vector<Endpoint> list;
  for (int i = 1; i <= n; ++i) list.push_back(engine(i, 0, 0, started));
  return list;
}

// Does a lookup follow its table group to the engine whose last report, this old, was far over the other's?
bool sent_to_reported_busy(TimeUs age) {
  Settings s = plain_settings();
  s.gateway_count = 200;
  Bench b(s);
  b.list(engines(2));
  b.request(1, 0, 5 * kSecond, 100'000, 7);
  b.request(2, 0, 5 * kSecond, 100'000, 8);
  const EngineId busy = b.engine_of(1);
  b.run_for(50 * kMs);
  b.end(1, Outcome::kOk, 100'000, 9);
  b.end(2, Outcome::kOk, 100'000, 1);
  b.run_for(age);
  b.request(3, 0, 5 * kSecond, 100'000, 7);
  return b.engine_of(3) == busy;
}

TEST(Size, AReportCountsWhileItIsFreshAndFadesToTheFleetsMean) {
  EXPECT_FALSE(sent_to_reported_busy(100 * kMs));
  EXPECT_TRUE(sent_to_reported_busy(60 * kSecond));
}

TEST(Size, GatewaysAgreeOnTheHomesOfATableGroup) {
  std::map<EngineId, int> homes;
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    Bench b(plain_settings(), 100 * kSecond, seed);
    b.list(engines(40));
    b.request(1, 0, 5 * kSecond, 100'000, 7);
    ++homes[b.engine_of(1)];
  }
  EXPECT_LE(homes.size(), 4u) << "thirty gateways spread a group over few of forty engines";
}

TEST(Size, SharesUnderOneQueryAreUsedInTheSumAndNeverExceededByIt) {
  constexpr int kGateways = 200;
  Settings s = plain_settings();
  s.gateway_count = kGateways;
  const TimeUs start = 100 * kSecond;
  std::map<TimeUs, double> sent;  // work by 100 ms
  for (int g = 0; g < kGateways; ++g) {
    Bench b(s, start, 1000 + g);
    b.list({engine(1, 0, 0, start)});
    for (RequestId id = 1; id <= 150; ++id) {  // far more than the engine may get
      b.request(id, id % 4 == 0, 5 * kSecond);
      b.run_for(20 * kMs);
      if (b.sends(id) > 0) b.end(id, Outcome::kOk, id % 4 == 0 ? 4'000'000 : 300'000);
    }
    for (const Action& a : b.actions) {
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
  EXPECT_GT(all, 0.1 * 3 * 0.35 * 8 * 3'000'000) << "the engine is used, too";
}

// Thirty gateways, each unaware of the others, under a burst: traffic is uneven, costs stray, attempts come
// back as full and are tried again, and some gateways start anew beside the engine that did. What they send
// to that one in any window stays under what the settings allow then, and the chance of so many calls.
TEST(Size, AFleetOfThirtyPushesNoColdEngineOver) {
  constexpr int kGateways = 30;
  constexpr double kWorkUs = 200'000;
  Settings s = plain_settings();
  s.gateway_count = kGateways;
  const TimeUs start = 100 * kSecond, step = 10 * kMs, warmed = start - 30 * kSecond;
  uint64_t draws = 7;
  const auto draw = [&] {  // 0 to 1
    draws = draws * 6364136223846793005ull + 1442695040888963407ull;
    return static_cast<double>(draws >> 11) / static_cast<double>(1ull << 53);
  };
  struct One {
    std::unique_ptr<Bench> gateway;
    RequestId last = 0;
    size_t seen = 0;
    std::vector<std::pair<TimeUs, RequestId>> out;
  };
  std::vector<One> fleet(kGateways);
  const auto begin = [&](One& one, TimeUs at, bool anew) {
    one.gateway = std::make_unique<Bench>(s, at, 1000 + static_cast<uint64_t>(1e6 * draw()));
    one.seen = 0;
    one.out.clear();
    one.gateway->list({engine(1), engine(2), engine(3)});
    if (anew) one.gateway->list({engine(1), engine(2), engine(3), engine(4, 0, 0, start)});
  };
  for (One& one : fleet) begin(one, warmed, false);
  std::vector<TimeUs> sent;  // to the cold one
  bool told = false;
  for (TimeUs now = warmed; now < start + 3 * kSecond; now += step) {
    if (now >= start && !std::exchange(told, true))
      for (One& one : fleet) one.gateway->list({engine(1), engine(2), engine(3), engine(4, 0, 0, start)});
    for (int g = 0; g < kGateways; ++g) {
      One& one = fleet[g];
      if (now == start + 700 * kMs && g % 6 == 0) begin(one, now, true);
      Bench& b = *one.gateway;
      b.run_for(step);
      // 15 requests a second for most, 60 for some, and thrice that as the engine starts.
      const double rate = (g % 5 == 0 ? 60 : 15) * (now >= start ? 3 : 1);
      if (draw() < rate * step / kSecond) b.request(++one.last, 0, 5 * kSecond);
      std::vector<RequestId> over;
      std::erase_if(one.out, [&](const auto& item) {
        if (item.first > b.now()) return false;
        over.push_back(item.second);
        return true;
      });
      for (const RequestId id : over)
        b.end(id, draw() < 0.1 ? Outcome::kOverloaded : Outcome::kOk, kWorkUs * (0.2 + 1.6 * draw()));
      for (; one.seen < b.actions.size(); ++one.seen) {
        const Action& a = b.actions[one.seen];
        if (a.kind != Action::kSend) continue;
        one.out.emplace_back(b.now() + 300 * kMs, a.id);
        if (a.engine == 4) sent.push_back(b.now());
      }
    }
  }
  std::sort(sent.begin(), sent.end());
  size_t most = 0;
  for (size_t i = 0, j = 0; j < sent.size(); ++j) {
    while (sent[j] - sent[i] > s.collapse_window_us) ++i;
    most = std::max(most, j - i + 1);
  }
  const double allowed =
      s.collapse_load_multiple * s.slow_start_min_capacity_fraction * 8 * s.collapse_window_us / kWorkUs;
  EXPECT_GT(most, 10u) << "it gets its part all the same";
  EXPECT_LE(most, allowed + 2 * std::sqrt(allowed) + 2);
  RecordProperty("most_in_a_window", static_cast<int>(most));
  RecordProperty("allowed", static_cast<int>(allowed));
}

TEST(Size, AfterAStallNothingIsJudgedBeforeWhatCameIsRead) {
  Bench b(plain_settings());
  b.list(engines(4));
  for (RequestId id = 1; id <= 3; ++id) b.request(id, 0, 5 * kSecond, 100'000);
  b.run_for(50 * kMs);
  b.stall(2 * kSecond);
  b.run_for(5 * kMs);  // timers come first in the batch, answers after them
  for (RequestId id = 1; id <= 3; ++id) {
    EXPECT_EQ(b.count(Action::kCancel, id), 0);
    b.end(id, Outcome::kOk, 100'000);
  }
  EXPECT_TRUE(b.logs.empty()) << "no engine was taken out";
}

TEST(Size, OnAFullFleetHeavyQueriesWaitAndLightOnesPass) {
  Settings s = plain_settings();
  s.gateway_count = 200;
  Bench b(s);
  b.list(engines(4));
  for (RequestId id = 1; id <= 40; ++id) {  // every report says that the engines hold a hundred queries
    b.request(id, 0, 5 * kSecond, 100'000);
    b.run_for(50 * kMs);
    if (b.sends(id) > 0) b.end(id, Outcome::kOk, 100'000, 100);
  }
  b.request(100, 1, 15 * kSecond, 6'000'000);
  b.request(101, 1, 15 * kSecond, 6'000'000);
  b.request(102, 0, 5 * kSecond, 100'000);
  EXPECT_LE(b.sends(100) + b.sends(101), 1) << "this gateway's part is one";
  EXPECT_EQ(b.sends(102), 1);
}

// Threads that this gateway has out once every answer said that the engines' memory is granted this many
// times.
double threads_out(MemoryPressurePolicy when_short, double memory_share) {
  Settings s = plain_settings();
  s.gateway_count = 200;
  s.memory_pressure_policy = when_short;
  Bench b(s);
  b.list(engines(4));
  for (RequestId id = 1; id <= 40; ++id) {
    QueryRequest r;
    r.id = id, r.deadline = b.now() + 5 * kSecond, r.estimated_cost_us = 100'000, r.estimated_memory_mb = 800;
    b.gateway().on_request(b.now(), r, b);
    b.run_for(50 * kMs);
    LoadReport report;
    report.cpu_utilization = 0.2;  // busy cores fall once an engine pages
    report.memory_utilization = memory_share;
    if (b.sends(id) > 0) b.end(id, Outcome::kOk, 100'000, report);
  }
  for (RequestId id = 100; id < 130; ++id) b.request(id, 0, 5 * kSecond, 100'000);
  double out = 0;
  for (RequestId id = 100; id < 130; ++id) out += b.sends(id);
  return out;
}

TEST(Reports, MemoryInUseTellsAFullFleetWhereBusyCoresDoNot) {
  EXPECT_GT(threads_out(MemoryPressurePolicy::kOvercommit, 0.2), 20);
  EXPECT_LT(threads_out(MemoryPressurePolicy::kOvercommit, 3), 10)
      << "light ones wait, too, where all would slow down";
}

TEST(Size, AGatewayThatHeardOfAFullFleetSendsAgainThoughItHearsNoMore) {
  Settings s = plain_settings();
  s.gateway_count = 8;
  Bench b(s);
  b.list(engines(4));
  for (RequestId id = 1; id <= 40; ++id) {
    b.request(id, 0, 5 * kSecond, 100'000);
    b.run_for(50 * kMs);
    if (b.sends(id) > 0) b.end(id, Outcome::kOk, 100'000, 100);
  }
  const auto sent = [&](RequestId from) {
    int n = 0;
    for (RequestId id = from; id < from + 6; ++id) {
      b.request(id, 1, 60 * kSecond, 6'000'000);
      n += b.sends(id);
    }
    return n;
  };
  EXPECT_LE(sent(100), 2) << "its part";
  for (RequestId id = 100; id < 106; ++id) b.leave(id);
  for (RequestId id = 100; id < 106; ++id) {
    if (b.sends(id) > 0) b.end(id, Outcome::kCancelled);
  }
  b.run_for(15 * kSecond);
  EXPECT_GE(sent(200), 4) << "the old mean kept it at its part for good";
}

TEST(Size, OddFleetsAndPeersNeitherCrashNorBreakARule) {
  Settings s = plain_settings();
  s.gateway_count = 5000;
  Bench b(s);
  b.list({});
  b.request(1, 0, 5 * kSecond);
  b.list(engines(40, b.now()));
  b.request(2, 1, 5 * kSecond);
  b.list(engines(1));
  b.request(3, 0, 5 * kSecond);
  b.list({});
  b.gateway().on_gossip(b.now(), 7, std::string_view("\xff\0\x01", 3), b);
  b.stall(3 * kSecond);
  b.run_for(3 * kSecond);
  for (RequestId id = 1; id <= 3; ++id) {
    if (b.sends(id) == 0) {
      EXPECT_TRUE(b.over(id)) << id;
    }
  }
}

}  // namespace
}  // namespace sablelink::test
