// For each rule, tests the auditor with records that break it and with similar ones that don't.
#include <gtest/gtest.h>

#include "audit/auditor.h"

namespace sablelink::audit {
namespace {

using nodes::NodeEvent;
using End = NodeEvent::End;
constexpr TimeUs kMs = 1000, kSecond = 1'000'000;

class AuditorTest : public testing::Test {
 protected:
  AuditorTest() {
    settings.classes.resize(4);
    settings.class_names = {"safe", "unsafe", "ordered", "bound"};
    settings.classes[1].idempotency = Idempotency::kNotIdempotent;
    settings.classes[2].ordered_by_key = true;
    settings.classes[3].allowed_zones = {1};
    settings.nodes = {{"n0", 0, 0, 0, 8, 0.25, 10 * kSecond}, {"n1", 1, 0, 1, 8, 1, 0}};
    settings.rules.drain_grace_us = 250 * kMs;
    settings.rules.ordering_gap_us = kSecond;
    settings.rules.collapse_window_us = kSecond;
    settings.rules.collapse_load_multiple = 2;
    settings.rules.response_slack_us = 20 * kMs;
    settings.slack_us = 10 * kMs;
  }

  ClientRecord& add_request(const std::string& tag, int cls, TimeUs from, TimeUs to,
                            ClientRecord::End end = ClientRecord::End::kServed) {
    ClientRecord c;
    c.tag = tag;
    c.gateway = "g";
    c.cls = cls;
    c.started_at = from;
    c.deadline = from + 5 * kSecond;
    c.ended_at = to;
    c.end = end;
    c.responses = end == ClientRecord::End::kNoResponse ? 0 : 1;
    records.clients.push_back(c);
    return records.clients.back();
  }
  // Adds an attempt of the request "g/1/<tag>".
  void add_attempt(const std::string& tag, int attempt, const std::string& node, TimeUs from, TimeUs to,
                   End end = End::kAnswered, bool executed = true, double work_us = 1000) {
    NodeEvent e;
    e.kind = NodeEvent::Kind::kArrived;
    e.at = from;
    e.node = node;
    e.request = "g/1/" + tag;
    e.tag = tag;
    e.attempt = attempt;
    e.work_us = work_us;
    records.nodes.push_back(e);
    e.kind = NodeEvent::Kind::kEnded;
    e.at = to;
    e.end = end;
    e.work_started = executed;
    records.nodes.push_back(e);
  }
  void add_node_start(const std::string& node, TimeUs at) {
    NodeEvent e;
    e.kind = NodeEvent::Kind::kStarted;
    e.at = at;
    e.node = node;
    records.nodes.push_back(e);
  }
  // Returns the broken rules.
  std::vector<int> broken_rules() {
    std::vector<int> rules;
    for (const Finding& f : audit(settings, records).findings)
      if (rules.empty() || rules.back() != f.rule) rules.push_back(f.rule);
    return rules;
  }

  AuditSettings settings;
  Records records;
  const std::vector<int> no_rules;
};

TEST_F(AuditorTest, NormalRunIsClean) {
  add_request("a", 0, 0, 100 * kMs);
  add_attempt("a", 0, "n0", 10 * kMs, 50 * kMs, End::kError);
  add_attempt("a", 1, "n1", 51 * kMs, 90 * kMs);
  EXPECT_EQ(broken_rules(), no_rules);
  const Report r = audit(settings, records);
  EXPECT_EQ(r.classes[0].served, 1u);
  EXPECT_EQ(r.retries, 1u);
  EXPECT_NE(render(settings, r).find("audit: clean"), std::string::npos);
}

TEST_F(AuditorTest, Rule1WrongResponse) {
  add_request("a", 0, 0, 100 * kMs).response_error = "it ends after 2 of 3 rows";
  add_attempt("a", 0, "n0", 10 * kMs, 50 * kMs);
  EXPECT_EQ(broken_rules(), std::vector<int>{1});
  EXPECT_NE(render(settings, audit(settings, records)).find("2 of 3 rows"), std::string::npos);
}

// Rule 3 is at stake for each attempt sent elsewhere while a node is draining, and for none if no node is.
TEST_F(AuditorTest, RulesNeverAtStakeAreReported) {
  add_request("a", 0, 2 * kSecond, 3 * kSecond);
  add_attempt("a", 0, "n0", 2 * kSecond + 10 * kMs, 2 * kSecond + 50 * kMs);
  const Report no_drain = audit(settings, records);
  EXPECT_EQ(no_drain.counts.at_stake[3], 0u);
  EXPECT_EQ(no_drain.rule_never_at_stake(), 2);
  EXPECT_NE(render(settings, no_drain).find("NOT AT STAKE"), std::string::npos);
  records.unavailable.push_back({"g", "n1", kSecond});
  EXPECT_EQ(audit(settings, records).counts.at_stake[3], 1u);
  records.unavailable[0].at = 2 * kSecond;  // attempts may be sent to it during the grace period
  EXPECT_EQ(audit(settings, records).counts.at_stake[3], 0u);
}

TEST_F(AuditorTest, Rule1NoResponse) {
  add_request("a", 0, 0, 5 * kSecond, ClientRecord::End::kNoResponse);
  EXPECT_EQ(broken_rules(), std::vector<int>{1});
  // The requests of a killed gateway needn't get a response.
  records.kills.push_back({"g", kSecond, 2 * kSecond});
  EXPECT_EQ(broken_rules(), no_rules);
  records.kills[0].gateway = "other";
  EXPECT_EQ(broken_rules(), std::vector<int>{1});
}

TEST_F(AuditorTest, Rule1LateResponse) {
  add_request("a", 0, 0, 5 * kSecond + 25 * kMs, ClientRecord::End::kFailed);
  EXPECT_EQ(broken_rules(), no_rules);
  records.clients[0].ended_at += 10 * kMs;
  EXPECT_EQ(broken_rules(), std::vector<int>{1});
}

TEST_F(AuditorTest, Rule1TwoResponsesAndAttemptsAfterTheEnd) {
  add_request("a", 0, 0, 100 * kMs).responses = 2;
  EXPECT_EQ(broken_rules(), std::vector<int>{1});
  records.clients[0].responses = 1;
  add_attempt("a", 0, "n1", 130 * kMs, 140 * kMs);
  EXPECT_EQ(broken_rules(), std::vector<int>{1});
}

TEST_F(AuditorTest, Rule2ConcurrentAttempts) {
  add_request("a", 0, 0, 100 * kMs);
  add_attempt("a", 0, "n0", 0, 80 * kMs, End::kCancelled);
  add_attempt("a", 1, "n1", 50 * kMs, 90 * kMs);
  EXPECT_EQ(broken_rules(), std::vector<int>{2});
  settings.rules.hedging_allowed = true;
  EXPECT_EQ(broken_rules(), no_rules);
}

TEST_F(AuditorTest, Rule2AttemptWithoutEndIsInFlightUntilItsNodeRestarts) {
  add_request("a", 0, 0, 200 * kMs);
  add_attempt("a", 0, "n0", 0, 0);
  records.nodes.pop_back();
  add_attempt("a", 1, "n1", 100 * kMs, 150 * kMs);
  EXPECT_EQ(broken_rules(), std::vector<int>{2});
  add_node_start("n0", 90 * kMs);
  EXPECT_EQ(broken_rules(), no_rules);
  records.nodes.pop_back();
  records.node_kills.push_back({"n1", 90 * kMs});
  EXPECT_EQ(broken_rules(), std::vector<int>{2});
  records.node_kills.push_back({"n0", 90 * kMs});
  EXPECT_EQ(broken_rules(), no_rules);
}

TEST_F(AuditorTest, Rule2NonIdempotentRetriedOrRejected) {
  add_request("a", 1, 0, 100 * kMs);
  add_attempt("a", 0, "n0", 0, 10 * kMs, End::kRejected, false);
  add_attempt("a", 1, "n1", 20 * kMs, 40 * kMs);
  EXPECT_EQ(broken_rules(), no_rules);
  records.nodes[1].work_started = true;
  EXPECT_EQ(broken_rules(), std::vector<int>{2});
  records.nodes.resize(2);
  records.clients[0].end = ClientRecord::End::kRejected;
  EXPECT_EQ(broken_rules(), std::vector<int>{2});
}

TEST_F(AuditorTest, Rule2KeyedOutsideItsScopeOrWindow) {
  settings.classes[0].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[0].dedup_scope = DedupScope::kZone;
  settings.classes[0].dedup_window_us = kSecond;
  add_request("a", 0, 0, 3 * kSecond);
  add_attempt("a", 0, "n0", 0, 10 * kMs, End::kError);
  add_attempt("a", 1, "n0", 20 * kMs, 30 * kMs, End::kError);
  EXPECT_EQ(broken_rules(), no_rules);
  add_attempt("a", 2, "n1", 40 * kMs, 50 * kMs);
  EXPECT_EQ(broken_rules(), std::vector<int>{2});
  records.nodes.resize(4);
  add_attempt("a", 2, "n0", 2 * kSecond, 2 * kSecond + kMs);
  EXPECT_EQ(broken_rules(), std::vector<int>{2});
}

TEST_F(AuditorTest, Rule2AttemptSentTwice) {
  add_request("a", 0, 0, 100 * kMs);
  add_attempt("a", 0, "n0", 0, 10 * kMs);
  add_attempt("a", 0, "n1", 20 * kMs, 30 * kMs);
  EXPECT_EQ(broken_rules(), std::vector<int>{2});
}

TEST_F(AuditorTest, Rule3SentToADrainingNode) {
  add_request("a", 0, 0, kSecond);
  add_attempt("a", 0, "n0", 400 * kMs, 500 * kMs);
  records.unavailable.push_back({"g", "n0", 200 * kMs});
  EXPECT_EQ(broken_rules(), no_rules);
  records.unavailable[0].at = 100 * kMs;
  EXPECT_EQ(broken_rules(), std::vector<int>{3});
  records.unavailable[0].gateway = "other";
  EXPECT_EQ(broken_rules(), no_rules);
  records.unavailable[0].gateway = "g";
  add_node_start("n0", 350 * kMs);  // a new incarnation
  EXPECT_EQ(broken_rules(), no_rules);
}

TEST_F(AuditorTest, Rule4WarmingNodeOverloaded) {
  add_node_start("n0", 0);
  for (int i = 0; i < 7; ++i) {
    const std::string tag = "a" + std::to_string(i);
    add_request(tag, 0, i * kMs, kSecond);
    add_attempt(tag, 0, "n0", i * kMs, 900 * kMs, End::kAnswered, true, 0.5 * kSecond);
  }
  EXPECT_EQ(broken_rules(), no_rules);  // 3.5 s of work, of a limit of 4 s
  for (NodeEvent& e : records.nodes) e.work_us = 0.6 * kSecond;
  EXPECT_EQ(broken_rules(), std::vector<int>{4});
}

TEST_F(AuditorTest, Rule4NodeCollapsed) {
  NodeEvent e;
  e.kind = NodeEvent::Kind::kCollapsed;
  e.node = "n0";
  records.nodes.push_back(e);
  EXPECT_EQ(broken_rules(), std::vector<int>{4});
}

TEST_F(AuditorTest, Rule5ConcurrentRequestsOfOneKey) {
  add_request("a", 2, 0, 100 * kMs).key = "k";
  add_request("b", 2, kMs, 200 * kMs).key = "k";
  add_attempt("a", 0, "n0", 0, 90 * kMs);
  add_attempt("b", 0, "n1", 95 * kMs, 150 * kMs);
  EXPECT_EQ(broken_rules(), no_rules);
  records.nodes[2].at = 50 * kMs;
  EXPECT_EQ(broken_rules(), std::vector<int>{5});
  records.clients[1].key = "other";
  EXPECT_EQ(broken_rules(), no_rules);
}

TEST_F(AuditorTest, Rule5NoDelayAfterCancelledAttempt) {
  add_request("a", 2, 0, 100 * kMs, ClientRecord::End::kCancelled).key = "k";
  add_request("b", 2, kMs, 3 * kSecond).key = "k";
  add_attempt("a", 0, "n0", 0, 90 * kMs, End::kCancelled);
  add_attempt("b", 0, "n1", 1200 * kMs, 1300 * kMs);
  EXPECT_EQ(broken_rules(), no_rules);
  records.nodes[2].at = 500 * kMs;
  EXPECT_EQ(broken_rules(), std::vector<int>{5});
}

TEST_F(AuditorTest, Rule5OutOfOrder) {
  add_request("a", 2, 0, 400 * kMs).key = "k";
  add_request("b", 2, 50 * kMs, 200 * kMs).key = "k";
  add_attempt("b", 0, "n0", 100 * kMs, 200 * kMs);
  add_attempt("a", 0, "n1", 210 * kMs, 300 * kMs);
  EXPECT_EQ(broken_rules(), std::vector<int>{5});
}

TEST_F(AuditorTest, Rule6WrongZone) {
  add_request("a", 3, 0, 100 * kMs);
  add_attempt("a", 0, "n1", 0, 90 * kMs);
  EXPECT_EQ(broken_rules(), no_rules);
  records.nodes[0].node = records.nodes[1].node = "n0";
  EXPECT_EQ(broken_rules(), std::vector<int>{6});
}

TEST_F(AuditorTest, Rule7BudgetExceeded) {
  settings.rules.retry_budget_enabled = true;
  settings.rules.retry_budget_window_us = 10 * kSecond;
  settings.rules.retry_budget_base = 1;
  settings.rules.retry_budget_per_request = 0.5;
  add_request("a", 0, 0, 900 * kMs);
  add_request("b", 0, 0, 900 * kMs);
  for (int i = 0; i < 3; ++i)
    add_attempt("a", i, "n0", TimeUs{i} * 100 * kMs, TimeUs{i} * 100 * kMs + kMs, End::kError);
  EXPECT_EQ(broken_rules(), no_rules);
  add_attempt("a", 4, "n0", 800 * kMs, 810 * kMs);  // attempt 3 was never sent to a node, and is counted
  EXPECT_EQ(broken_rules(), std::vector<int>{7});
}

// The time of an attempt that was never sent is unknown. It may have been made before the window.
TEST_F(AuditorTest, Rule7CountsUnsentAttemptsOnlyIfCertainlyInTheWindow) {
  settings.rules.retry_budget_enabled = true;
  settings.rules.retry_budget_window_us = kSecond;
  settings.rules.retry_budget_base = 2;
  add_request("a", 0, 0, 3 * kSecond);
  add_attempt("a", 0, "n0", 0, 10 * kMs, End::kError);
  add_attempt("a", 2, "n0", 900 * kMs, 910 * kMs, End::kError);
  add_attempt("a", 3, "n0", 1500 * kMs, 1510 * kMs, End::kError);
  EXPECT_EQ(broken_rules(), no_rules);
  add_attempt("a", 4, "n0", 1600 * kMs, 1610 * kMs);
  EXPECT_EQ(broken_rules(), std::vector<int>{7});
}

}  // namespace
}  // namespace sablelink::audit
