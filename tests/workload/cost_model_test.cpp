// What outcomes teach about queries.
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
  const auto ask = [&](RequestId id, double need) {
    QueryRequest r;
    r.id = id;
    r.deadline = harness.now() + 5 * kSecond;
    r.estimated_cost_us = 50'000;
    r.estimated_memory_mb = need;
    harness.manager().on_request(harness.now(), r, harness);
    return harness.last(Action::kSetHints, id)->amount;
  };
  const double before = ask(1, 100);
  EXPECT_GT(before, 100);
  for (RequestId id = 2; id < 80; ++id) {
    ask(id, 100);
    AttemptCompletion end;
    end.id = id;
    end.engine = 1;
    end.request_finished = true;
    end.duration_us = 50'000;
    end.work_us = 50'000;
    end.memory_used_mb = 200;
    harness.manager().on_attempt_completed(harness.now(), end, harness);
  }
  EXPECT_GT(ask(100, 100), 190);
  EXPECT_LE(ask(101, 1e6), 0.4 * 16384 + 1);
}

}  // namespace
}  // namespace sablelink::test
