// Ejection and recovery of engines, one case for each failure found.
#include <gtest/gtest.h>

#include <set>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

TEST(OutlierDetector, FastFailuresDoNotAttractQueries) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1), engine(2), engine(3), engine(4)});
  for (RequestId id = 1; id <= 60; ++id) {
    harness.request(id, 0, 5 * kSecond, 50'000);
    harness.run_for(10 * kMs);
    for (int i = 0; i < 5 && harness.last_engine(id) == 1; ++i) harness.complete_attempt(id, Outcome::kError);
    harness.complete_attempt(id, Outcome::kOk, 50'000);
  }
  EXPECT_LE(harness.send_count_to(1), 6);
}

// A client's own mistake goes wrong wherever it is sent: a flood of them must not take the fleet out.
TEST(OutlierDetector, FaultyRequestsBlameNoEngine) {
  for (const size_t engines : {2u, 4u, 8u}) {
    ManagerHarness harness(plain_settings());
    std::vector<Endpoint> fleet;
    for (EngineId e = 1; e <= engines; ++e) fleet.push_back(engine(e));
    harness.update_endpoints(fleet);
    for (RequestId id = 1; id <= 200; ++id) {
      harness.request(id, 0, 5 * kSecond, 50'000);
      harness.run_for(5 * kMs);
      if (id % 2 == 0) {
        harness.complete_attempt(id, Outcome::kOk, 50'000);
        continue;
      }
      int attempts = 0;
      for (; attempts < 6 && !harness.has_final_response(id); ++attempts)
        harness.complete_attempt(id, Outcome::kError);
      EXPECT_TRUE(harness.has_final_response(id)) << "the final answer comes at once";
      EXPECT_LE(attempts, 3);
    }
    harness.run_for(kSecond);
    EXPECT_TRUE(harness.logs.empty()) << engines << ": " << harness.logs[0];
  }
}

// Connections that break say nothing of an engine that answers on the next one.
TEST(OutlierDetector, ResponsiveEngineIsNotBlamedForConnections) {
  for (const bool alive : {true, false}) {
    ManagerHarness harness(plain_settings());
    harness.update_endpoints({engine(1), engine(2), engine(3), engine(4)});
    for (RequestId id = 1; id <= 60; ++id) {
      harness.request(id, 0, 5 * kSecond, 50'000);
      harness.run_for(10 * kMs);
      if (harness.last_engine(id) == 1) {
        AttemptCompletion end;
        end.id = id;
        end.engine = 1;
        end.outcome = Outcome::kReset;
        end.engine_responsive = alive;
        harness.manager().on_attempt_completed(harness.now(), end, harness);
        EXPECT_EQ(harness.send_count(id), 2) << "tried again";
      }
      harness.complete_attempt(id, Outcome::kOk, 50'000);
    }
    EXPECT_EQ(harness.logs.empty(), alive);
  }
}

TEST(OutlierDetector, ErrorsOfOneEngineAloneAreBlamedOnIt) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1), engine(2), engine(3), engine(4)});
  // The next attempt is out and says nothing: after a while the first engine is to blame all the same.
  for (RequestId id = 1; id <= 40 && harness.logs.empty(); ++id) {
    harness.request(id, 0, 5 * kSecond, 400'000);
    harness.run_for(10 * kMs);
    if (harness.last_engine(id) == 1) harness.complete_attempt(id, Outcome::kError);
    harness.run_for(150 * kMs);
  }
  ASSERT_FALSE(harness.logs.empty());
  EXPECT_EQ(harness.logs[0], "engine taken out: failures");
}

TEST(OutlierDetector, SilentEngineIsEjectedAndRecoversByTrialQueries) {
  Settings settings = plain_settings();
  settings.cancellation_allowed = false;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1), engine(2), engine(3), engine(4)});
  bool hung = true;
  int during = 0;
  std::set<RequestId> stuck;
  const auto traffic = [&](RequestId from, RequestId to, int* count) {
    for (RequestId id = from; id < to; ++id) {
      harness.request(id, 0, 5 * kSecond, 50'000);
      harness.run_for(50 * kMs);
      if (harness.last_engine(id) == 1 && count) ++*count;
      if (harness.last_engine(id) == 1 && hung) {
        stuck.insert(id);
      } else {
        harness.complete_attempt(id, Outcome::kOk, 50'000);
      }
    }
  };
  traffic(1, 100, nullptr);
  ASSERT_FALSE(harness.logs.empty());
  traffic(100, 200, &during);
  EXPECT_LE(during, 5) << "only trials";
  hung = false;
  for (const RequestId id : stuck) harness.complete_attempt(id, Outcome::kTimeout);
  traffic(200, 500, nullptr);
  int after = 0;
  traffic(500, 600, &after);
  EXPECT_GE(after, 8) << "back in service";
}

TEST(OutlierDetector, AtLeastHalfStaysInServiceWhenMostFail) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1), engine(2), engine(3), engine(4)});
  for (RequestId id = 1; id <= 60; ++id) {
    harness.request(id, 0, 5 * kSecond, 50'000);
    harness.run_for(10 * kMs);
    for (int i = 0; i < 6 && !harness.has_final_response(id) && harness.send_count(id) > i; ++i)
      harness.complete_attempt(id, Outcome::kError);
  }
  EXPECT_LE(harness.logs.size(), 2u) << "never over half";
  std::set<EngineId> used;
  for (const Action& a : harness.actions) {
    if (a.kind == Action::kSend && a.id > 50) used.insert(a.engine);
  }
  EXPECT_GE(used.size(), 2u);
}

TEST(OutlierDetector, UnreachableEnginesAreEjectedEvenIfMost) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1), engine(2), engine(3), engine(4)});
  const auto traffic = [&](RequestId from, RequestId to) {
    int lost = 0;
    for (RequestId id = from; id < to; ++id) {
      harness.request(id, 0, 5 * kSecond, 50'000);
      for (int i = 0; i < 5 && harness.last_engine(id) != 4 && harness.send_count(id) > i; ++i) {
        ++lost;
        harness.complete_attempt(id, Outcome::kConnectFailed);
      }
      harness.run_for(10 * kMs);
      if (harness.last_engine(id) == 4) harness.complete_attempt(id, Outcome::kOk, 50'000);
    }
    return lost;
  };
  traffic(1, 40);
  EXPECT_LE(traffic(40, 140), 10) << "incident i5c8115: a gateway cut off from most engines kept trying them";
}

}  // namespace
}  // namespace sablelink::test
