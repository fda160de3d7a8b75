// Tests the estimates learned from outcomes.
#include <gtest/gtest.h>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

TEST(CostModel, GrantsFollowMemoryThatQueriesUse) {
  Settings settings = plain_settings();
  settings.engines_honor_grants = true;
  settings.max_grant_fraction = 0.4;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1)});
  const auto memory_grant_of = [&](RequestId id, double estimated_memory_mb) {
    QueryRequest request;
    request.id = id;
    request.deadline = harness.now() + 5 * kSecond;
    request.estimated_cost_us = 50'000;
    request.estimated_memory_mb = estimated_memory_mb;
    harness.manager().on_request(harness.now(), request, harness);
    return harness.last(Action::kSetHints, id)->grant_mb;
  };
  const double before = memory_grant_of(1, 100);
  EXPECT_GT(before, 100);
  for (RequestId id = 2; id < 80; ++id) {
    memory_grant_of(id, 100);
    AttemptCompletion completion;
    completion.id = id;
    completion.engine = 1;
    completion.request_finished = true;
    completion.duration_us = 50'000;
    completion.work_us = 50'000;
    completion.memory_used_mb = 200;
    harness.manager().on_attempt_completed(harness.now(), completion, harness);
  }
  EXPECT_GT(memory_grant_of(100, 100), 190);
  EXPECT_LE(memory_grant_of(101, 1e6), 0.4 * 16384 + 1);
}

}  // namespace
}  // namespace sablelink::test
