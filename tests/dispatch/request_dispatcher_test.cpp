// The dispatcher against fakes: final answers, attempts, holding back, flow, time-outs and its own bounds.
#include "dispatch/request_dispatcher.h"

#include <gtest/gtest.h>

#include "tests/program_harness.h"

namespace sablelink::test {
namespace {

using dispatch::CompletionReason;
using dispatch::RequestStatus;

TEST(Carrier, HoldsAnAnswerBackUntilItIsWhole) {
  DispatcherFixture b;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = b.take(client);
  FakeNodes::Sent* const sent = b.nodes.out(id);
  ASSERT_NE(sent, nullptr);
  EXPECT_TRUE(b.dispatcher.on_attempt_message(sent->key, "schema"));
  EXPECT_TRUE(b.dispatcher.on_attempt_message(sent->key, "batch"));
  EXPECT_TRUE(client->messages.empty());
  EXPECT_EQ(b.dispatcher.buffered_bytes(), 11u);
  b.end(*sent, Outcome::kOk);
  ASSERT_EQ(client->messages.size(), 2u);
  ASSERT_EQ(client->answers.size(), 1u);
  EXPECT_EQ(client->answers[0].status, RequestStatus::kServed);
  EXPECT_EQ(b.dispatcher.open_requests(), 0u);
  EXPECT_EQ(b.dispatcher.tracked_requests(), 0u);
  b.dispatcher.on_response_consumed(id, 11);
  EXPECT_EQ(b.dispatcher.buffered_bytes(), 0u);
}

TEST(Carrier, AnswerHeldBackOfAFailedAttemptIsNeverSeen) {
  DispatcherFixture b;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = b.take(client);
  b.dispatcher.on_attempt_message(b.nodes.out(id)->key, "half of an answer");
  b.end(*b.nodes.out(id), Outcome::kReset);
  ASSERT_EQ(b.nodes.count(id), 2);
  EXPECT_EQ(b.dispatcher.buffered_bytes(), 0u);
  b.dispatcher.on_attempt_message(b.nodes.out(id)->key, "whole");
  b.end(*b.nodes.out(id), Outcome::kOk);
  ASSERT_EQ(client->messages, std::vector<std::string>{"whole"});
  EXPECT_EQ(client->answers.at(0).attempts, 2);
}

TEST(Carrier, PastTheBoundAnAnswerFlowsAndIsNotTriedAgain) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 10;
  DispatcherFixture b(plain_settings(), limits);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = b.take(client);
  FakeNodes::Sent* const sent = b.nodes.out(id);
  b.dispatcher.on_attempt_message(sent->key, "0123456");
  EXPECT_TRUE(client->messages.empty());
  b.dispatcher.on_attempt_message(sent->key, "789abc");
  EXPECT_EQ(client->messages.size(), 2u);
  b.end(*sent, Outcome::kReset);
  ASSERT_EQ(client->answers.size(), 1u);
  EXPECT_EQ(client->answers[0].status, RequestStatus::kFailed);
  EXPECT_EQ(client->answers[0].reason, CompletionReason::kStreamInterrupted);
  b.clock.run_for(2 * kSecond);
  EXPECT_EQ(b.nodes.count(id), 1);
}

TEST(Carrier, WhatComesTooLateIsRefusedAtOnceAndNeverSent) {
  DispatcherFixture b;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = b.take(client, 0);
  EXPECT_EQ(b.nodes.count(id), 0);
  ASSERT_EQ(client->answers.size(), 1u);
  EXPECT_EQ(client->answers[0].status, RequestStatus::kRejected);
  EXPECT_EQ(client->answers[0].reason, CompletionReason::kDeadlineExceeded);
  EXPECT_EQ(b.dispatcher.tracked_requests(), 0u);
}

// It waits for its key's turn, so shortly that the module's own check comes later: nothing ran, and its
// client may know.
TEST(Carrier, WhatWasNeverSentIsRefusedWhenItsTimeIsUp) {
  Settings s = plain_settings();
  s.classes[0].ordered_by_key = true;
  DispatcherFixture b(s);
  b.take(std::make_shared<FakeClient>(), kSecond, 0, 5);
  const auto client = std::make_shared<FakeClient>();
  b.take(client, 300, 0, 5);
  EXPECT_TRUE(client->answers.empty());
  b.clock.run_for(kMs);
  ASSERT_EQ(client->answers.size(), 1u);
  EXPECT_EQ(client->answers[0].status, RequestStatus::kRejected);
  EXPECT_EQ(client->answers[0].reason, CompletionReason::kDeadlineExceeded);
}

TEST(Carrier, AFlowingAnswerOutlivesTheDeadline) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 10;
  DispatcherFixture b(plain_settings(), limits);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = b.take(client, kSecond);
  b.dispatcher.on_attempt_message(b.nodes.out(id)->key, "a long answer begins");
  b.clock.run_for(3 * kSecond);
  EXPECT_TRUE(client->answers.empty());
  b.end(*b.nodes.out(id), Outcome::kOk);
  EXPECT_EQ(client->answers.at(0).status, RequestStatus::kServed);
}

TEST(Carrier, ASlowReaderHoldsBackItsOwnQueryOnly) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 4;
  limits.stream_window_bytes = 100;
  DispatcherFixture b(plain_settings(), limits);
  const auto slow = std::make_shared<FakeClient>(), fast = std::make_shared<FakeClient>();
  const RequestId a = b.take(slow), c = b.take(fast);
  const dispatch::AttemptId key = b.nodes.out(a)->key;
  EXPECT_TRUE(b.dispatcher.on_attempt_message(key, std::string(60, 'x')));
  EXPECT_FALSE(b.dispatcher.on_attempt_message(key, std::string(60, 'x')));  // 120 unread: past the window
  EXPECT_TRUE(b.dispatcher.on_attempt_message(b.nodes.out(c)->key, std::string(60, 'x')));
  b.dispatcher.on_response_consumed(a, 60);
  EXPECT_EQ(b.nodes.resumes, 0);  // 60 left, over half of the window
  b.dispatcher.on_response_consumed(a, 30);
  EXPECT_EQ(b.nodes.resumes, 1);
}

TEST(Carrier, BytesOfAllAnswersTogetherAreBounded) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 1000;
  limits.total_buffer_bytes = 1500;
  DispatcherFixture b(plain_settings(), limits);
  const auto one = std::make_shared<FakeClient>(), two = std::make_shared<FakeClient>();
  const RequestId a = b.take(one), c = b.take(two);
  b.dispatcher.on_attempt_message(b.nodes.out(a)->key, std::string(900, 'x'));
  EXPECT_TRUE(two->messages.empty());
  b.dispatcher.on_attempt_message(b.nodes.out(c)->key, std::string(700, 'x'));
  EXPECT_EQ(two->messages.size(), 1u);  // flows before its own bound
  b.dispatcher.on_client_disconnected(c);
  EXPECT_EQ(b.dispatcher.buffered_bytes(), 900u);
  b.dispatcher.on_client_disconnected(a);
  EXPECT_EQ(b.dispatcher.buffered_bytes(), 0u);
}

TEST(Carrier, WhatIsUnreadOfAFinishedAnswerIsForgottenWithItsClient) {
  DispatcherFixture b;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = b.take(client);
  b.dispatcher.on_attempt_message(b.nodes.out(id)->key, "answer");
  b.end(*b.nodes.out(id), Outcome::kOk);
  EXPECT_EQ(b.dispatcher.buffered_bytes(), 6u);
  b.dispatcher.on_client_disconnected(id);
  EXPECT_EQ(b.dispatcher.buffered_bytes(), 0u);
  b.dispatcher.on_response_consumed(id, 6);  // late, and of nobody
  EXPECT_EQ(b.dispatcher.buffered_bytes(), 0u);
}

TEST(Carrier, AClientThatLeavesGetsNothingMoreAndItsAttemptIsDropped) {
  DispatcherFixture b;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = b.take(client);
  const dispatch::AttemptId key = b.nodes.out(id)->key;
  b.dispatcher.on_client_disconnected(id);
  EXPECT_TRUE(b.nodes.find(key)->dropped);
  EXPECT_EQ(b.dispatcher.open_requests(), 0u);
  EXPECT_EQ(b.dispatcher.tracked_requests(), 0u);
  b.dispatcher.on_attempt_message(key, "late");
  b.dispatcher.on_attempt_completed(key, {});
  EXPECT_TRUE(client->messages.empty());
  EXPECT_TRUE(client->answers.empty());
  EXPECT_EQ(b.dispatcher.counters().disconnected, 1u);
}

TEST(Carrier, AClientThatLeavesAStreamEndsIt) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 2;
  DispatcherFixture b(plain_settings(), limits);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = b.take(client);
  const dispatch::AttemptId key = b.nodes.out(id)->key;
  b.dispatcher.on_attempt_message(key, "stream");
  b.dispatcher.on_client_disconnected(id);
  EXPECT_TRUE(b.nodes.find(key)->dropped);
  EXPECT_EQ(b.dispatcher.tracked_requests(), 0u);
  EXPECT_EQ(b.dispatcher.buffered_bytes(), 0u);
}

TEST(Carrier, AStatementsOwnFaultIsAnsweredAsItIsAndNotTriedAgain) {
  DispatcherFixture b;
  for (int i = 0; i < 20; ++i) {
    const auto client = std::make_shared<FakeClient>();
    const RequestId id = b.take(client);
    ASSERT_NE(b.nodes.out(id), nullptr) << "an engine was taken out for wrong statements";
    b.end(*b.nodes.out(id), Outcome::kError, true);
    ASSERT_EQ(client->answers.size(), 1u);
    EXPECT_EQ(client->answers[0].status, RequestStatus::kFailed);
    EXPECT_EQ(client->answers[0].reason, CompletionReason::kStatementError);
    EXPECT_EQ(client->answers[0].error.message, "trouble");
    EXPECT_EQ(b.nodes.count(id), 1);
  }
}

TEST(Carrier, EverythingIsAnsweredByTheClientsDeadline) {
  DispatcherFixture b;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = b.take(client, kSecond);  // the node never answers
  ASSERT_NE(b.nodes.out(id), nullptr);
  b.clock.run_for(kSecond);
  ASSERT_EQ(client->answers.size(), 1u);
  EXPECT_NE(client->answers[0].status, RequestStatus::kServed);
  EXPECT_EQ(b.dispatcher.open_requests(), 0u);
  b.clock.run_for(5 * kSecond);
  EXPECT_EQ(b.dispatcher.tracked_requests(), 0u);
  EXPECT_EQ(client->answers.size(), 1u);
}

TEST(Carrier, AfterAStallTheDeadlineIsStillKeptByItsOwnCheck) {
  DispatcherFixture b;
  const auto client = std::make_shared<FakeClient>();
  b.take(client, kSecond);
  b.clock.stall(10 * kSecond);
  b.clock.run_for(1);
  EXPECT_EQ(client->answers.size(), 1u);
  EXPECT_EQ(b.dispatcher.open_requests(), 0u);
}

TEST(Carrier, RefusesAtOnceWhatIsPastItsBound) {
  dispatch::DispatcherLimits limits;
  limits.max_open_requests = 2;
  DispatcherFixture b(plain_settings(), limits);
  const auto one = std::make_shared<FakeClient>(), two = std::make_shared<FakeClient>(),
             three = std::make_shared<FakeClient>();
  const RequestId a = b.take(one);
  b.take(two);
  EXPECT_EQ(b.take(three), 0u);
  ASSERT_EQ(three->answers.size(), 1u);
  EXPECT_EQ(three->answers[0].status, RequestStatus::kRejected);
  EXPECT_EQ(three->answers[0].reason, CompletionReason::kGatewayOverloaded);
  b.end(*b.nodes.out(a), Outcome::kOk);
  EXPECT_NE(b.take(std::make_shared<FakeClient>()), 0u);
}

TEST(Carrier, StoppingRefusesTheNewAndEndsTheOld) {
  DispatcherFixture b;
  const auto old = std::make_shared<FakeClient>(), fresh = std::make_shared<FakeClient>();
  const RequestId id = b.take(old);
  bool idle = false;
  b.dispatcher.stop_accepting([&] { idle = true; });
  EXPECT_EQ(b.take(fresh), 0u);
  EXPECT_EQ(fresh->answers.at(0).reason, CompletionReason::kShuttingDown);
  EXPECT_FALSE(idle);
  b.end(*b.nodes.out(id), Outcome::kOk);
  EXPECT_TRUE(idle);
  EXPECT_EQ(old->answers.at(0).status, RequestStatus::kServed);
}

TEST(Carrier, GivingUpAnswersWhatIsHeldAndRefusesWhatComes) {
  DispatcherFixture b;
  const auto held = std::make_shared<FakeClient>(), later = std::make_shared<FakeClient>();
  const RequestId id = b.take(held);
  ASSERT_NE(b.nodes.out(id), nullptr);
  b.dispatcher.cancel_in_flight();
  ASSERT_EQ(held->answers.size(), 1u);
  EXPECT_TRUE(b.nodes.find({id, 0})->dropped);
  b.take(later);
  ASSERT_EQ(later->answers.size(), 1u);
  EXPECT_EQ(later->answers[0].reason, dispatch::CompletionReason::kShuttingDown);
  EXPECT_EQ(b.dispatcher.open_requests(), 0u);
}

// Its client is gone, though the end of its connection waits to be read: the attempt doesn't leave.
TEST(Carrier, AnAttemptWhoseClientIsGoneMayNotLeave) {
  struct Gone : FakeClient {
    bool is_client_disconnected() const override { return is_gone; }
    bool is_gone = false;
  };
  for (const bool gone : {false, true}) {
    DispatcherFixture b;
    const auto client = std::make_shared<Gone>();
    const RequestId id = b.take(client);
    FakeNodes::Sent* const sent = b.nodes.out(id);
    ASSERT_NE(sent, nullptr);
    client->is_gone = gone;
    EXPECT_EQ(sent->order.still_valid(), !gone);
    EXPECT_EQ(b.dispatcher.counters().disconnected, gone ? 1u : 0u);
    EXPECT_EQ(b.nodes.find({id, 0})->dropped, gone);
  }
}

TEST(Carrier, StoppingWithNothingHeldIsIdleAtOnce) {
  DispatcherFixture b;
  bool idle = false;
  b.dispatcher.stop_accepting([&] { idle = true; });
  EXPECT_TRUE(idle);
}

TEST(Carrier, AnUnsafeRequestThatMayHaveRunFailsAndIsNotSentAgain) {
  Settings s = plain_settings();
  s.classes[0].idempotency = Idempotency::kNotIdempotent;
  DispatcherFixture b(s);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = b.take(client);
  b.end(*b.nodes.out(id), Outcome::kReset);
  b.clock.run_for(kSecond);
  EXPECT_EQ(b.nodes.count(id), 1);
  EXPECT_EQ(client->answers.at(0).status, RequestStatus::kFailed);
}

TEST(Carrier, AnUnsafeRequestThatProvablyNeverRanIsSentAgain) {
  Settings s = plain_settings();
  s.classes[0].idempotency = Idempotency::kNotIdempotent;
  DispatcherFixture b(s);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = b.take(client);
  b.end(*b.nodes.out(id), Outcome::kConnectFailed);
  ASSERT_EQ(b.nodes.count(id), 2);
  b.end(*b.nodes.out(id), Outcome::kOk);
  EXPECT_EQ(client->answers.at(0).status, RequestStatus::kServed);
}

TEST(Carrier, OneKeysRequestsRunInTurn) {
  Settings s = plain_settings();
  s.classes[0].ordered_by_key = true;
  s.ordering_gap_us = 300 * kMs;
  DispatcherFixture b(s);
  const auto one = std::make_shared<FakeClient>(), two = std::make_shared<FakeClient>();
  const RequestId a = b.take(one, 5 * kSecond, 0, 9), c = b.take(two, 5 * kSecond, 0, 9);
  EXPECT_EQ(b.nodes.count(c), 0);
  b.dispatcher.on_client_disconnected(a);  // its attempt is cancelled and may still run: the key rests
  b.clock.run_for(200 * kMs);
  EXPECT_EQ(b.nodes.count(c), 0);
  b.clock.run_for(200 * kMs);
  EXPECT_EQ(b.nodes.count(c), 1);
}

TEST(Carrier, ADrainToldWhileARetryIsDueLeavesThatNodeOut) {
  DispatcherFixture b;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = b.take(client);
  const EngineId first = b.nodes.out(id)->engine, other = 3 - first;
  std::vector<Endpoint> list{engine(1), engine(2)};
  list[other - 1].state = EndpointState::kDraining;
  b.dispatcher.on_endpoints_changed(EndpointUpdateKind::kFull, list);
  b.end(*b.nodes.out(id), Outcome::kError);
  b.clock.run_for(kSecond);
  for (const FakeNodes::Sent& s : b.nodes.sent) EXPECT_NE(s.engine, other);
}

TEST(Carrier, AProbeWithoutAnAnswerEndsByItself) {
  Settings s = plain_settings();
  s.health_checks_allowed = true;
  s.load_reports_in_health_checks = true;
  dispatch::DispatcherLimits limits;
  limits.health_check_timeout_us = 300 * kMs;
  DispatcherFixture b(s, limits);
  b.take(std::make_shared<FakeClient>(), 15 * kSecond, 1);
  ASSERT_EQ(b.nodes.probes.size(), 2u);
  EXPECT_EQ(b.dispatcher.outstanding_health_checks(), 2u);
  b.dispatcher.on_health_check_completed(b.nodes.probes[0].first, Outcome::kOk, std::nullopt);
  EXPECT_EQ(b.dispatcher.outstanding_health_checks(), 1u);
  b.clock.run_for(kSecond);
  EXPECT_EQ(b.dispatcher.outstanding_health_checks(), 0u);
  b.dispatcher.on_health_check_completed(b.nodes.probes[1].first, Outcome::kOk,
                                         std::nullopt);  // late: of nobody
}

TEST(Carrier, TimersDoNotPileUp) {
  DispatcherFixture b;
  for (int i = 0; i < 2'000; ++i) {
    const auto client = std::make_shared<FakeClient>();
    const RequestId id = b.take(client);
    if (id != 0 && b.nodes.out(id) != nullptr) b.end(*b.nodes.out(id), Outcome::kOk);
    b.clock.run_for(kMs);
    b.nodes.sent.clear();
  }
  EXPECT_EQ(b.dispatcher.tracked_requests(), 0u);
  EXPECT_LE(b.clock.pending(), 8u);
}

}  // namespace
}  // namespace sablelink::test
