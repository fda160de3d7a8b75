// Each rule of the auditor is shown a made-up record that breaks it, and one next to it that doesn't.
#include <gtest/gtest.h>

#include "audit/auditor.h"

namespace sablelink::audit {
namespace {

using nodes::NodeEvent;
using End = NodeEvent::End;
constexpr TimeUs kMs = 1000, kSecond = 1'000'000;

class Made : public testing::Test {
 protected:
  Made() {
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

  ClientRecord& asked(const std::string& tag, int cls, TimeUs from, TimeUs to,
                      ClientRecord::End end = ClientRecord::End::kServed) {
    ClientRecord c;
    c.tag = tag;
    c.gateway = "g";
    c.cls = cls;
    c.asked_at = from;
    c.due_at = from + 5 * kSecond;
    c.ended_at = to;
    c.end = end;
    c.answers = end == ClientRecord::End::kNoAnswer ? 0 : 1;
    records.clients.push_back(c);
    return records.clients.back();
  }
  // An attempt of the request that a tag names; request "g/1/<tag>".
  void ran(const std::string& tag, int attempt, const std::string& node, TimeUs from, TimeUs to,
           End end = End::kAnswered, bool did_run = true, double work_us = 1000) {
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
    e.ran = did_run;
    records.nodes.push_back(e);
  }
  void started(const std::string& node, TimeUs at) {
    NodeEvent e;
    e.kind = NodeEvent::Kind::kStarted;
    e.at = at;
    e.node = node;
    records.nodes.push_back(e);
  }
  // The rules that broke.
  std::vector<int> broken() {
    std::vector<int> rules;
    for (const Finding& f : audit(settings, records).findings)
      if (rules.empty() || rules.back() != f.rule) rules.push_back(f.rule);
    return rules;
  }

  AuditSettings settings;
  Records records;
  const std::vector<int> none;
};

TEST_F(Made, AnOrdinaryRunIsClean) {
  asked("a", 0, 0, 100 * kMs);
  ran("a", 0, "n0", 10 * kMs, 50 * kMs, End::kError);
  ran("a", 1, "n1", 51 * kMs, 90 * kMs);
  EXPECT_EQ(broken(), none);
  const Report r = audit(settings, records);
  EXPECT_EQ(r.classes[0].served, 1u);
  EXPECT_EQ(r.further_attempts, 1u);
  EXPECT_NE(render(settings, r).find("audit: clean"), std::string::npos);
}

TEST_F(Made, Rule1WhatClientsReadIsPartOfIt) {
  asked("a", 0, 0, 100 * kMs).fault = "it ends after 2 of 3 rows";
  ran("a", 0, "n0", 10 * kMs, 50 * kMs);
  EXPECT_EQ(broken(), std::vector<int>{1});
  EXPECT_NE(render(settings, audit(settings, records)).find("2 of 3 rows"), std::string::npos);
}

// A send that kept clear of a draining node says how often rule 3 was at stake; none does where none drained.
TEST_F(Made, ARuleThatWasNeverAtStakeIsSaid) {
  asked("a", 0, 2 * kSecond, 3 * kSecond);
  ran("a", 0, "n0", 2 * kSecond + 10 * kMs, 2 * kSecond + 50 * kMs);
  const Report quiet = audit(settings, records);
  EXPECT_EQ(quiet.counts.at_stake[3], 0u);
  EXPECT_EQ(quiet.untouched_rule(), 2);
  EXPECT_NE(render(settings, quiet).find("NOT AT STAKE"), std::string::npos);
  records.told.push_back({"g", "n1", kSecond});
  EXPECT_EQ(audit(settings, records).counts.at_stake[3], 1u);
  records.told[0].at = 2 * kSecond;  // within the grace it might still be sent to
  EXPECT_EQ(audit(settings, records).counts.at_stake[3], 0u);
}

TEST_F(Made, Rule1NoAnswer) {
  asked("a", 0, 0, 5 * kSecond, ClientRecord::End::kNoAnswer);
  EXPECT_EQ(broken(), std::vector<int>{1});
  records.kills.push_back({"g", kSecond, 2 * kSecond});  // what a killed gateway held is the client's
  EXPECT_EQ(broken(), none);
  records.kills[0].gateway = "other";
  EXPECT_EQ(broken(), std::vector<int>{1});
}

TEST_F(Made, Rule1LateAnswer) {
  asked("a", 0, 0, 5 * kSecond + 25 * kMs, ClientRecord::End::kFailed);
  EXPECT_EQ(broken(), none);
  records.clients[0].ended_at += 10 * kMs;
  EXPECT_EQ(broken(), std::vector<int>{1});
}

TEST_F(Made, Rule1TwoAnswersAndSendsAfterTheEnd) {
  asked("a", 0, 0, 100 * kMs).answers = 2;
  EXPECT_EQ(broken(), std::vector<int>{1});
  records.clients[0].answers = 1;
  ran("a", 0, "n1", 130 * kMs, 140 * kMs);
  EXPECT_EQ(broken(), std::vector<int>{1});
}

TEST_F(Made, Rule2TwoAttemptsAtOnce) {
  asked("a", 0, 0, 100 * kMs);
  ran("a", 0, "n0", 0, 80 * kMs, End::kCancelled);
  ran("a", 1, "n1", 50 * kMs, 90 * kMs);
  EXPECT_EQ(broken(), std::vector<int>{2});
  settings.rules.hedging_allowed = true;
  EXPECT_EQ(broken(), none);
}

TEST_F(Made, Rule2AnAttemptWithoutAnEndIsOutUntilItsNodeRestarts) {
  asked("a", 0, 0, 200 * kMs);
  ran("a", 0, "n0", 0, 0);
  records.nodes.pop_back();
  ran("a", 1, "n1", 100 * kMs, 150 * kMs);
  EXPECT_EQ(broken(), std::vector<int>{2});
  started("n0", 90 * kMs);
  EXPECT_EQ(broken(), none);
  records.nodes.pop_back();
  records.node_kills.push_back({"n1", 90 * kMs});
  EXPECT_EQ(broken(), std::vector<int>{2});
  records.node_kills.push_back({"n0", 90 * kMs});
  EXPECT_EQ(broken(), none);
}

TEST_F(Made, Rule2UnsafeSentAgainOrRefused) {
  asked("a", 1, 0, 100 * kMs);
  ran("a", 0, "n0", 0, 10 * kMs, End::kRefused, false);
  ran("a", 1, "n1", 20 * kMs, 40 * kMs);
  EXPECT_EQ(broken(), none);
  records.nodes[1].ran = true;
  EXPECT_EQ(broken(), std::vector<int>{2});
  records.nodes.resize(2);
  records.clients[0].end = ClientRecord::End::kRefused;
  EXPECT_EQ(broken(), std::vector<int>{2});
}

TEST_F(Made, Rule2KeyedOutsideItsGroupOrTime) {
  settings.classes[0].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[0].dedup_scope = DedupScope::kZone;
  settings.classes[0].dedup_window_us = kSecond;
  asked("a", 0, 0, 3 * kSecond);
  ran("a", 0, "n0", 0, 10 * kMs, End::kError);
  ran("a", 1, "n0", 20 * kMs, 30 * kMs, End::kError);
  EXPECT_EQ(broken(), none);
  ran("a", 2, "n1", 40 * kMs, 50 * kMs);
  EXPECT_EQ(broken(), std::vector<int>{2});
  records.nodes.resize(4);
  ran("a", 2, "n0", 2 * kSecond, 2 * kSecond + kMs);
  EXPECT_EQ(broken(), std::vector<int>{2});
}

TEST_F(Made, Rule2OneAttemptSentTwice) {
  asked("a", 0, 0, 100 * kMs);
  ran("a", 0, "n0", 0, 10 * kMs);
  ran("a", 0, "n1", 20 * kMs, 30 * kMs);
  EXPECT_EQ(broken(), std::vector<int>{2});
}

TEST_F(Made, Rule3SentToADrainingNode) {
  asked("a", 0, 0, kSecond);
  ran("a", 0, "n0", 400 * kMs, 500 * kMs);
  records.told.push_back({"g", "n0", 200 * kMs});
  EXPECT_EQ(broken(), none);
  records.told[0].at = 100 * kMs;
  EXPECT_EQ(broken(), std::vector<int>{3});
  records.told[0].gateway = "other";
  EXPECT_EQ(broken(), none);
  records.told[0].gateway = "g";
  started("n0", 350 * kMs);  // a new life
  EXPECT_EQ(broken(), none);
}

TEST_F(Made, Rule4AColdNodePushed) {
  started("n0", 0);
  for (int i = 0; i < 7; ++i) {
    const std::string tag = "a" + std::to_string(i);
    asked(tag, 0, i * kMs, kSecond);
    ran(tag, 0, "n0", i * kMs, 900 * kMs, End::kAnswered, true, 0.5 * kSecond);
  }
  EXPECT_EQ(broken(), none);  // 3.5 s of the 4 s that it bears
  for (NodeEvent& e : records.nodes) e.work_us = 0.6 * kSecond;
  EXPECT_EQ(broken(), std::vector<int>{4});
}

TEST_F(Made, Rule4ANodeThatFell) {
  NodeEvent e;
  e.kind = NodeEvent::Kind::kFell;
  e.node = "n0";
  records.nodes.push_back(e);
  EXPECT_EQ(broken(), std::vector<int>{4});
}

TEST_F(Made, Rule5TwoOfOneKeyAtOnce) {
  asked("a", 2, 0, 100 * kMs).key = "k";
  asked("b", 2, kMs, 200 * kMs).key = "k";
  ran("a", 0, "n0", 0, 90 * kMs);
  ran("b", 0, "n1", 95 * kMs, 150 * kMs);
  EXPECT_EQ(broken(), none);
  records.nodes[2].at = 50 * kMs;
  EXPECT_EQ(broken(), std::vector<int>{5});
  records.clients[1].key = "other";
  EXPECT_EQ(broken(), none);
}

TEST_F(Made, Rule5NoRestAfterACancel) {
  asked("a", 2, 0, 100 * kMs, ClientRecord::End::kLeft).key = "k";
  asked("b", 2, kMs, 3 * kSecond).key = "k";
  ran("a", 0, "n0", 0, 90 * kMs, End::kCancelled);
  ran("b", 0, "n1", 1200 * kMs, 1300 * kMs);
  EXPECT_EQ(broken(), none);
  records.nodes[2].at = 500 * kMs;
  EXPECT_EQ(broken(), std::vector<int>{5});
}

TEST_F(Made, Rule5OutOfTurn) {
  asked("a", 2, 0, 400 * kMs).key = "k";
  asked("b", 2, 50 * kMs, 200 * kMs).key = "k";
  ran("b", 0, "n0", 100 * kMs, 200 * kMs);
  ran("a", 0, "n1", 210 * kMs, 300 * kMs);
  EXPECT_EQ(broken(), std::vector<int>{5});
}

TEST_F(Made, Rule6WhereItMayNotRun) {
  asked("a", 3, 0, 100 * kMs);
  ran("a", 0, "n1", 0, 90 * kMs);
  EXPECT_EQ(broken(), none);
  records.nodes[0].node = records.nodes[1].node = "n0";
  EXPECT_EQ(broken(), std::vector<int>{6});
}

TEST_F(Made, Rule7PastTheBudget) {
  settings.rules.retry_budget_enabled = true;
  settings.rules.retry_budget_window_us = 10 * kSecond;
  settings.rules.retry_budget_base = 1;
  settings.rules.retry_budget_per_request = 0.5;
  asked("a", 0, 0, 900 * kMs);
  asked("b", 0, 0, 900 * kMs);
  for (int i = 0; i < 3; ++i)
    ran("a", i, "n0", TimeUs{i} * 100 * kMs, TimeUs{i} * 100 * kMs + kMs, End::kError);
  EXPECT_EQ(broken(), none);
  ran("a", 4, "n0", 800 * kMs, 810 * kMs);  // number 3 was seen by no node, and counts
  EXPECT_EQ(broken(), std::vector<int>{7});
}

// An attempt that never left was made at some time after the one before it: perhaps in an earlier window.
TEST_F(Made, Rule7CountsUnseenAttemptsOnlyWhereTheySurelyWere) {
  settings.rules.retry_budget_enabled = true;
  settings.rules.retry_budget_window_us = kSecond;
  settings.rules.retry_budget_base = 2;
  asked("a", 0, 0, 3 * kSecond);
  ran("a", 0, "n0", 0, 10 * kMs, End::kError);
  ran("a", 2, "n0", 900 * kMs, 910 * kMs, End::kError);
  ran("a", 3, "n0", 1500 * kMs, 1510 * kMs, End::kError);
  EXPECT_EQ(broken(), none);
  ran("a", 4, "n0", 1600 * kMs, 1610 * kMs);
  EXPECT_EQ(broken(), std::vector<int>{7});
}

}  // namespace
}  // namespace sablelink::audit
