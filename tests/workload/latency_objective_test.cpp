// Tests the priority weight of a response by the time at which it is finished.
#include "workload/latency_objective.h"

#include <gtest/gtest.h>

#include "tests/workload/harness.h"
#include "workload/cost_model.h"
#include "workload/query.h"

namespace sablelink::test {
namespace {

// A query with 80 ms of estimated work on 4 threads that arrived at 1 s.
class LatencyObjective : public testing::Test {
 protected:
  LatencyObjective() {
    class_settings().latency_objective_us = 100 * kMs;
    class_settings().latency_objective_stretch = 2;
    class_settings().threads = 4;
    class_settings().priority_weight = 10;
    query_.class_settings = &class_settings();
    query_.arrived_at = kSecond;
    query_.request.deadline = 2 * kSecond;
    query_.request.estimated_cost_us = 80 * kMs;
  }
  ClassSettings& class_settings() { return settings_.classes[0]; }

  Settings settings_ = plain_settings();
  CostModel cost_model_{settings_};
  Query query_;
};

TEST_F(LatencyObjective, ObjectiveGrowsWithWorkPerThread) {
  EXPECT_EQ(latency_objective_at(cost_model_, query_), kSecond + 140 * kMs);
}

TEST_F(LatencyObjective, ObjectiveIsNeverAfterTheDeadline) {
  query_.request.deadline = kSecond + 50 * kMs;
  EXPECT_EQ(latency_objective_at(cost_model_, query_), kSecond + 50 * kMs);
}

TEST_F(LatencyObjective, LateResponseHasTheLateWeightUntilTheDeadline) {
  class_settings().late_weight_fraction = 0.25;
  EXPECT_EQ(weight_at(cost_model_, query_, kSecond + 140 * kMs), 10);
  EXPECT_EQ(weight_at(cost_model_, query_, kSecond + 141 * kMs), 2.5);
  EXPECT_EQ(weight_at(cost_model_, query_, 2 * kSecond), 2.5);
  EXPECT_EQ(weight_at(cost_model_, query_, 2 * kSecond + 1), 0);
}

TEST_F(LatencyObjective, ResponseIsUsefulUntilTheDeadlineOnlyIfLateOnesHaveWeight) {
  EXPECT_EQ(useful_until(cost_model_, query_), kSecond + 140 * kMs);
  class_settings().late_weight_fraction = 0.25;
  EXPECT_EQ(useful_until(cost_model_, query_), 2 * kSecond);
}

}  // namespace
}  // namespace sablelink::test
