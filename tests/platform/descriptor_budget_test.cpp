// Division of file descriptors between client and engine connections.
#include "platform/descriptor_budget.h"

#include <gtest/gtest.h>

namespace sablelink::test {
namespace {

TEST(DescriptorBudget, BudgetsStayWithinTheLimit) {
  for (const size_t limit : {256, 384, 512, 1024}) {
    const auto budget = platform::DescriptorBudget::from_limit(limit);
    EXPECT_LE(budget.clients + budget.engines + 24, limit);
    EXPECT_GE(budget.clients, limit / 3);
    EXPECT_LE(budget.per_engine(9) * 9, budget.engines);
  }
}

}  // namespace
}  // namespace sablelink::test
