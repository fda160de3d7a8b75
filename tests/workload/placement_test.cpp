// Tests the choice of the engine and of the queue position.
#include <gtest/gtest.h>

#include <map>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

TEST(Placement, DrainTimeDecidesWithoutInteraction) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1), engine(2)});
  harness.request(1, 1, 15 * kSecond, 4'000'000);
  harness.request(2, 1, 15 * kSecond, 4'000'000);
  EXPECT_NE(harness.last_engine(1), harness.last_engine(2));
}

TEST(Placement, InteractionGainDecidesAmongIdleEngines) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1), engine(2), engine(3), engine(4)});
  harness.request(1, 0, 5 * kSecond, 100'000, 7);
  const EngineId engine_of_group = harness.last_engine(1);
  harness.run_for(100 * kMs);
  harness.complete_attempt(1, Outcome::kOk, 100'000);
  harness.run_for(kSecond);
  harness.request(2, 0, 5 * kSecond, 100'000, 7);
  EXPECT_EQ(harness.last_engine(2), engine_of_group);
}

TEST(Placement, DrainGuardBoundsCostOfInteraction) {
  ManagerHarness harness(plain_settings());
  harness.update_endpoints({engine(1), engine(2)});
  harness.request(1, 0, 5 * kSecond, 100'000, 7);
  const EngineId engine_of_group = harness.last_engine(1);
  harness.run_for(100 * kMs);
  harness.complete_attempt(1, Outcome::kOk, 100'000);
  for (RequestId id = 2; id < 8; ++id) harness.request(id, 1, 15 * kSecond, 4'000'000, 7);
  EXPECT_GT(harness.send_count_to(engine_of_group == 1 ? 2 : 1), 0);
}

TEST(Placement, TableLoadKeepsBlockedQueriesOffItsEngine) {
  Settings settings = plain_settings();
  settings.classes[1].writes_tables = true;
  settings.classes[0].blocked_by_table_loads = true;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1), engine(2)});
  harness.request(1, 1, 15 * kSecond, 20'000, 7);
  harness.request(2, 0, 5 * kSecond, 10'000, 7);
  EXPECT_NE(harness.last_engine(1), harness.last_engine(2));
}

TEST(Placement, GatewaysAgreeOnPreferredEnginesOfTableGroup) {
  std::map<EngineId, int> preferred;
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    ManagerHarness harness(plain_settings(), 100 * kSecond, seed);
    harness.update_endpoints(engines(40));
    harness.request(1, 0, 5 * kSecond, 100'000, 7);
    ++preferred[harness.last_engine(1)];
  }
  EXPECT_LE(preferred.size(), 4u) << "30 gateways must concentrate a table group on few of 40 engines";
}

}  // namespace
}  // namespace sablelink::test
