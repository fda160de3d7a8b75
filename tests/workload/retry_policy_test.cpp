// Tests idempotency, attempt limits and the retry budget, each with a case in which a send or a response
// would violate it.
#include <gtest/gtest.h>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

TEST(RetryPolicy, AttemptsEndAtLimit) {
  Settings settings = plain_settings();
  settings.max_attempts = 2;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1), engine(2)});
  harness.request(7, 0, 5 * kSecond);
  harness.complete_attempt(7, Outcome::kError);
  ASSERT_EQ(harness.send_count(7), 2);
  harness.complete_attempt(7, Outcome::kError);
  EXPECT_EQ(harness.send_count(7), 2);
  EXPECT_TRUE(harness.has_final_response(7));
}

TEST(RetryPolicy, NonIdempotentQueryThatMayHaveRunFails) {
  for (const Outcome outcome : {Outcome::kError, Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled}) {
    Settings settings = plain_settings();
    settings.classes[0].idempotency = Idempotency::kNotIdempotent;
    ManagerHarness harness(settings);
    harness.update_endpoints({engine(1), engine(2)});
    harness.request(7, 0, 5 * kSecond);
    harness.complete_attempt(7, outcome);
    harness.run_for(100 * kMs);
    EXPECT_EQ(harness.send_count(7), 1);
    EXPECT_EQ(harness.count(Action::kReject, 7), 0);
    EXPECT_EQ(harness.count(Action::kFail, 7), 1);
  }
}

TEST(RetryPolicy, NonIdempotentQueryThatNeverRanIsRetried) {
  Settings settings = plain_settings();
  settings.classes[0].idempotency = Idempotency::kNotIdempotent;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1), engine(2)});
  harness.request(7, 0, 5 * kSecond);
  harness.complete_attempt(7, Outcome::kConnectFailed);
  EXPECT_EQ(harness.send_count(7), 2);
}

TEST(RetryPolicy, NonIdempotentQueryInFlightAtDeadlineFails) {
  Settings settings = plain_settings();
  settings.classes[0].idempotency = Idempotency::kNotIdempotent;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1)});
  harness.request(7, 0, 500 * kMs);
  harness.run_for(kSecond);
  EXPECT_EQ(harness.count(Action::kFail, 7), 1);
  EXPECT_EQ(harness.count(Action::kReject, 7), 0);
}

TEST(RetryPolicy, KeyedRetryStaysWithinDedupScopeAndWindow) {
  Settings settings = plain_settings();
  settings.classes[0].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[0].dedup_scope = DedupScope::kZone;
  settings.classes[0].dedup_window_us = 2 * kSecond;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1, 0), engine(2, 1), engine(3, 1), engine(4, 0)});
  harness.request(7, 0, 5 * kSecond);
  const bool first_zone = harness.last_engine(7) == 1 || harness.last_engine(7) == 4;
  harness.complete_attempt(7, Outcome::kReset);
  ASSERT_EQ(harness.send_count(7), 2);
  EXPECT_EQ(harness.last_engine(7) == 1 || harness.last_engine(7) == 4, first_zone);
  harness.run_for(2100 * kMs);
  harness.complete_attempt(7, Outcome::kReset);
  EXPECT_EQ(harness.send_count(7), 2) << "the deduplication window has ended";
  EXPECT_EQ(harness.count(Action::kFail, 7), 1)
      << "after a rejection the client could retry on another endpoint";
}

TEST(RetryPolicy, KeyedQueryOfGlobalScopeMayBeRejected) {
  Settings settings = plain_settings();
  settings.classes[0].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[0].dedup_window_us = 100 * kMs;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1)});
  harness.request(7, 0, 5 * kSecond);
  harness.run_for(200 * kMs);
  harness.complete_attempt(7, Outcome::kReset);
  harness.run_for(100 * kMs);
  EXPECT_EQ(harness.send_count(7), 1);
  EXPECT_TRUE(harness.has_final_response(7) || harness.send_count(7) == 1);
  harness.run_for(5 * kSecond);
  EXPECT_EQ(harness.count(Action::kReject, 7), 1);
}

TEST(RetryPolicy, KeyedRetryLeavesWithinDedupWindow) {
  Settings settings = plain_settings();
  settings.classes[0].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[0].dedup_window_us = kSecond;
  settings.max_send_delay_us = 200 * kMs;
  for (const TimeUs delay_us : {700 * kMs, 900 * kMs}) {
    ManagerHarness harness(settings);
    harness.update_endpoints({engine(1), engine(2)});
    harness.request(7, 0, 5 * kSecond);
    harness.run_for(delay_us);
    harness.complete_attempt(7, Outcome::kReset);
    EXPECT_EQ(harness.send_count(7), delay_us < 800 * kMs ? 2 : 1);
  }
}

TEST(RetryPolicy, RetryBudgetLimitsRetriesWithinWindow) {
  Settings settings = plain_settings();
  settings.retry_budget_enabled = true;
  settings.retry_budget_base = 2;
  settings.retry_budget_per_request = 0.1;
  settings.retry_budget_window_us = 10 * kSecond;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1), engine(2), engine(3), engine(4), engine(5)});
  int retries = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    harness.request(id, 0, 5 * kSecond);
    harness.complete_attempt(id, Outcome::kOverloaded);
    if (harness.send_count(id) > 1) {
      ++retries;
      harness.complete_attempt(id, Outcome::kOk, 1000);
    }
    EXPECT_LE(retries, 2 + 0.1 * id);
  }
  EXPECT_GE(retries, 3);
  harness.run_for(11 * kSecond);
  harness.request(50, 0, 5 * kSecond);
  harness.complete_attempt(50, Outcome::kOverloaded);
  EXPECT_EQ(harness.send_count(50), 2) << "the earlier retries are older than the window";
}

// An attempt may be sent up to max_send_delay_us after its decision, and then falls into one window with
// attempts that are decided and sent later.
TEST(RetryPolicy, RetryBudgetCoversDelayedSends) {
  Settings settings = plain_settings();
  settings.retry_budget_enabled = true;
  settings.retry_budget_base = 1;
  settings.retry_budget_window_us = kSecond;
  settings.max_send_delay_us = 200 * kMs;
  ManagerHarness harness(settings);
  harness.update_endpoints({engine(1), engine(2), engine(3)});
  const auto request_is_retried = [&](RequestId id) {
    harness.request(id, 0, 5 * kSecond);
    harness.complete_attempt(id, Outcome::kOverloaded);
    const bool sent = harness.send_count(id) == 2;
    if (sent) harness.complete_attempt(id, Outcome::kOk, 1000);
    return sent;
  };
  EXPECT_TRUE(request_is_retried(1));
  harness.run_for(1100 * kMs);
  EXPECT_FALSE(request_is_retried(2)) << "the first retry may have been sent 200 ms after its decision";
  harness.run_for(200 * kMs);
  EXPECT_TRUE(request_is_retried(3));
}

}  // namespace
}  // namespace sablelink::test
