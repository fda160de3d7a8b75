// Tests ejection and recovery of engines, with one case per failure mode.
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

// Guards against the ejection of the fleet by malformed requests, which fail on every engine.
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
      EXPECT_TRUE(harness.has_final_response(id)) << "the final response must follow immediately";
      EXPECT_LE(attempts, 3);
    }
    harness.run_for(kSecond);
    EXPECT_TRUE(harness.logs.empty()) << engines << ": " << harness.logs[0];
  }
}

// Broken connections are no evidence against an engine that responds on a new connection.
TEST(OutlierDetector, ResponsiveEngineIsNotBlamedForConnections) {
  for (const bool responsive : {true, false}) {
    ManagerHarness harness(plain_settings());
    harness.update_endpoints({engine(1), engine(2), engine(3), engine(4)});
    for (RequestId id = 1; id <= 60; ++id) {
      harness.request(id, 0, 5 * kSecond, 50'000);
      harness.run_for(10 * kMs);
      if (harness.last_engine(id) == 1) {
        AttemptCompletion completion;
        completion.id = id;
        completion.engine = 1;
        completion.outcome = Outcome::kReset;
        completion.engine_responsive = responsive;
        harness.manager().on_attempt_completed(harness.now(), completion, harness);
        EXPECT_EQ(harness.send_count(id), 2) << "the query must be retried";
      }
      harness.complete_attempt(id, Outcome::kOk, 50'000);
    }
    EXPECT_EQ(harness.logs.empty(), responsive);
  }
}

TEST(OutlierDetector, ErrorsOfOneEngineAloneAreBlamedOnIt) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1), engine(2), engine(3), engine(4)});
  // The retry stays in flight without an outcome; after a delay the error is attributed to the first engine.
  for (RequestId id = 1; id <= 40 && harness.logs.empty(); ++id) {
    harness.request(id, 0, 5 * kSecond, 400'000);
    harness.run_for(10 * kMs);
    if (harness.last_engine(id) == 1) harness.complete_attempt(id, Outcome::kError);
    harness.run_for(150 * kMs);
  }
  ASSERT_FALSE(harness.logs.empty());
  EXPECT_EQ(harness.logs[0], "engine taken out: failures");
}

TEST(OutlierDetector, SilentEngineIsEjectedAndRecoversByCheckQueries) {
  Settings settings = plain_settings();
  settings.cancellation_allowed = false;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1), engine(2), engine(3), engine(4)});
  bool hung = true;
  int sends_while_hung = 0;
  std::set<RequestId> unfinished;
  const auto run_queries = [&](RequestId from, RequestId to, int* count) {
    for (RequestId id = from; id < to; ++id) {
      harness.request(id, 0, 5 * kSecond, 50'000);
      harness.run_for(50 * kMs);
      if (harness.last_engine(id) == 1 && count) ++*count;
      if (harness.last_engine(id) == 1 && hung) {
        unfinished.insert(id);
      } else {
        harness.complete_attempt(id, Outcome::kOk, 50'000);
      }
    }
  };
  run_queries(1, 100, nullptr);
  ASSERT_FALSE(harness.logs.empty());
  run_queries(100, 200, &sends_while_hung);
  EXPECT_LE(sends_while_hung, 5) << "only recovery checks may be sent";
  hung = false;
  for (const RequestId id : unfinished) harness.complete_attempt(id, Outcome::kTimeout);
  run_queries(200, 500, nullptr);
  int sends_after_recovery = 0;
  run_queries(500, 600, &sends_after_recovery);
  EXPECT_GE(sends_after_recovery, 8) << "the engine must be back in service";
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
  EXPECT_LE(harness.logs.size(), 2u) << "at most half of the engines may be ejected";
  std::set<EngineId> used;
  for (const Action& a : harness.actions) {
    if (a.kind == Action::kSend && a.id > 50) used.insert(a.engine);
  }
  EXPECT_GE(used.size(), 2u);
}

TEST(OutlierDetector, UnreachableEnginesAreEjectedEvenIfMost) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1), engine(2), engine(3), engine(4)});
  const auto run_queries = [&](RequestId from, RequestId to) {
    int failed_attempts = 0;
    for (RequestId id = from; id < to; ++id) {
      harness.request(id, 0, 5 * kSecond, 50'000);
      for (int i = 0; i < 5 && harness.last_engine(id) != 4 && harness.send_count(id) > i; ++i) {
        ++failed_attempts;
        harness.complete_attempt(id, Outcome::kConnectFailed);
      }
      harness.run_for(10 * kMs);
      if (harness.last_engine(id) == 4) harness.complete_attempt(id, Outcome::kOk, 50'000);
    }
    return failed_attempts;
  };
  run_queries(1, 40);
  EXPECT_LE(run_queries(40, 140), 10)
      << "incident i5c8115: a gateway disconnected from most engines kept sending to them";
}

}  // namespace
}  // namespace sablelink::test
