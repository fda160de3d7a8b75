// The public class: each kind of event from first to last.
#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

TEST(WorkloadManager, NothingIsSentAfterClientDisconnected) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1)});
  harness.request(7, 0, 5 * kSecond);
  harness.disconnect(7);
  harness.complete_attempt(7, Outcome::kReset);
  harness.run_for(kSecond);
  EXPECT_EQ(harness.send_count(7), 1);
  EXPECT_FALSE(harness.has_final_response(7));
}

// Rule 1 at a planned end: refused where nothing may have run, or it may run again, else failed.
TEST(WorkloadManager, ShutdownCompletesAllRequests) {
  Settings settings = plain_settings();
  settings.classes[1].idempotency = Idempotency::kNotIdempotent;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1)});
  harness.request(1, 0, 5 * kSecond);
  harness.request(2, 1, 5 * kSecond);
  ASSERT_EQ(harness.send_count(1) + harness.send_count(2), 2);
  harness.manager().on_shutdown(harness.now(), harness);
  EXPECT_EQ(harness.count(Action::kReject, 1), 1);
  EXPECT_EQ(harness.count(Action::kFail, 2), 1);
  EXPECT_EQ(harness.count(Action::kCancel, 1), 1);
}

TEST(WorkloadManager, StartedResponseIsNeitherCancelledNorCompleted) {
  Settings settings = plain_settings();
  settings.classes[0].streams_response = true;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1)});
  harness.request(7, 0, kSecond, 10'000);
  harness.manager().on_response_started(harness.now(), 7, 0, harness);
  harness.run_for(8 * kSecond);
  EXPECT_EQ(harness.count(Action::kCancel, 7), 0);
  EXPECT_FALSE(harness.has_final_response(7));
}

TEST(WorkloadManager, EndpointWatchIsRetriedAfterFailure) {
  Settings settings = plain_settings();
  settings.watch_endpoints = true;
  ManagerHarness harness(settings);
  EXPECT_EQ(harness.count(Action::kWatchEndpoints, 0), 1);
  harness.update_endpoints({}, EndpointUpdateKind::kFailed);
  harness.run_for(kSecond);
  EXPECT_EQ(harness.count(Action::kWatchEndpoints, 0), 2);
}

TEST(WorkloadManager, FailedEndpointUpdateChangesNothing) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1)});
  harness.update_endpoints({}, EndpointUpdateKind::kFailed);
  harness.request(7, 0, 5 * kSecond);
  EXPECT_EQ(harness.last_engine(7), 1u);
}

TEST(WorkloadManager, UnknownRequestsEnginesAndTimersAreIgnored) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1)});
  harness.disconnect(99);
  harness.manager().on_timer(harness.now(), 12345, harness);
  harness.manager().on_progress(harness.now(), ProgressUpdate{99, 0, 1, ProgressKind::kProgress, 0.5},
                                harness);
  AttemptCompletion end;
  end.id = 99;
  end.engine = 55;
  harness.manager().on_attempt_completed(harness.now(), end, harness);
  harness.request(7, 9, kSecond);
  EXPECT_EQ(harness.count(Action::kReject, 7), 1) << "a class that the settings don't have";
}

TEST(WorkloadManager, OddFleetsAndGossipAreHarmless) {
  Settings settings = plain_settings();
  settings.gateway_count = 5000;
  ManagerHarness harness(settings);
  harness.update_endpoints({});
  harness.request(1, 0, 5 * kSecond);
  harness.update_endpoints(engines(40, harness.now()));
  harness.request(2, 1, 5 * kSecond);
  harness.update_endpoints(engines(1));
  harness.request(3, 0, 5 * kSecond);
  harness.update_endpoints({});
  harness.manager().on_gossip(harness.now(), 7, std::string_view("\xff\0\x01", 3), harness);
  harness.stall(3 * kSecond);
  harness.run_for(3 * kSecond);
  for (RequestId id = 1; id <= 3; ++id) {
    if (harness.send_count(id) == 0) {
      EXPECT_TRUE(harness.has_final_response(id)) << id;
    }
  }
}

TEST(WorkloadManager, LightQueriesGetHigherPriority) {
  Settings settings = plain_settings();
  settings.engines_honor_priorities = true;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1)});
  harness.request(1, 0, 5 * kSecond, 100'000);
  harness.request(2, 1, 15 * kSecond, 4'000'000);
  EXPECT_GT(harness.last(Action::kSetHints, 1)->value, harness.last(Action::kSetHints, 2)->value);
}

TEST(WorkloadManager, SameEventsGiveSameActions) {
  const auto play = [] {
    ManagerHarness harness(plain_settings());
    harness.update_endpoints({engine(1), engine(2), engine(3)});
    for (RequestId id = 1; id <= 40; ++id) {
      harness.request(id, id % 5 == 0, 5 * kSecond, 100'000, id % 3);
      harness.run_for(10 * kMs);
      if (harness.send_count(id))
        harness.complete_attempt(id, id % 7 == 0 ? Outcome::kError : Outcome::kOk, 90'000, 3);
    }
    std::vector<std::pair<RequestId, EngineId>> sent;
    for (const Action& a : harness.actions) sent.emplace_back(a.id, a.engine);
    return sent;
  };
  EXPECT_EQ(play(), play());
}

}  // namespace
}  // namespace sablelink::test
