// Tests the public class with each kind of event.
#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

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
  AttemptCompletion completion;
  completion.id = 99;
  completion.engine = 55;
  harness.manager().on_attempt_completed(harness.now(), completion, harness);
  harness.request(7, 9, kSecond);
  EXPECT_EQ(harness.count(Action::kReject, 7), 1) << "the settings have no such class";
}

TEST(WorkloadManager, UnusualFleetsAndGossipAreHarmless) {
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

TEST(WorkloadManager, SameEventsGiveSameActions) {
  const auto run = [] {
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
  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace sablelink::test
