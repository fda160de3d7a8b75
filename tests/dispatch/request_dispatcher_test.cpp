// The dispatcher with a fake transport, fake clients and a manual clock.
#include "dispatch/request_dispatcher.h"

#include <gtest/gtest.h>

#include "tests/program_harness.h"

namespace sablelink::test {
namespace {

using dispatch::CompletionReason;
using dispatch::RequestStatus;

TEST(RequestDispatcher, Response_IsWithheldUntilComplete) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(client);
  FakeNodes::Sent* const sent = fixture.nodes.out(id);
  ASSERT_NE(sent, nullptr);
  EXPECT_TRUE(fixture.dispatcher.on_attempt_message(sent->key, "schema"));
  EXPECT_TRUE(fixture.dispatcher.on_attempt_message(sent->key, "batch"));
  EXPECT_TRUE(client->messages.empty());
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 11u);
  fixture.end(*sent, Outcome::kOk);
  ASSERT_EQ(client->messages.size(), 2u);
  ASSERT_EQ(client->answers.size(), 1u);
  EXPECT_EQ(client->answers[0].status, RequestStatus::kServed);
  EXPECT_EQ(fixture.dispatcher.open_requests(), 0u);
  EXPECT_EQ(fixture.dispatcher.tracked_requests(), 0u);
  fixture.dispatcher.on_response_consumed(id, 11);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 0u);
}

TEST(RequestDispatcher, FailedAttempt_ItsBufferedResponseIsNotForwarded) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(client);
  fixture.dispatcher.on_attempt_message(fixture.nodes.out(id)->key, "half of an answer");
  fixture.end(*fixture.nodes.out(id), Outcome::kReset);
  ASSERT_EQ(fixture.nodes.count(id), 2);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 0u);
  fixture.dispatcher.on_attempt_message(fixture.nodes.out(id)->key, "whole");
  fixture.end(*fixture.nodes.out(id), Outcome::kOk);
  ASSERT_EQ(client->messages, std::vector<std::string>{"whole"});
  EXPECT_EQ(client->answers.at(0).attempts, 2);
}

TEST(RequestDispatcher, ResponsePastBufferLimit_IsStreamedAndNotRetried) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 10;
  DispatcherFixture fixture(plain_settings(), limits);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(client);
  FakeNodes::Sent* const sent = fixture.nodes.out(id);
  fixture.dispatcher.on_attempt_message(sent->key, "0123456");
  EXPECT_TRUE(client->messages.empty());
  fixture.dispatcher.on_attempt_message(sent->key, "789abc");
  EXPECT_EQ(client->messages.size(), 2u);
  fixture.end(*sent, Outcome::kReset);
  ASSERT_EQ(client->answers.size(), 1u);
  EXPECT_EQ(client->answers[0].status, RequestStatus::kFailed);
  EXPECT_EQ(client->answers[0].reason, CompletionReason::kStreamInterrupted);
  fixture.clock.run_for(2 * kSecond);
  EXPECT_EQ(fixture.nodes.count(id), 1);
}

TEST(RequestDispatcher, RequestPastItsDeadline_IsRejectedAtOnceAndNotSent) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(client, 0);
  EXPECT_EQ(fixture.nodes.count(id), 0);
  ASSERT_EQ(client->answers.size(), 1u);
  EXPECT_EQ(client->answers[0].status, RequestStatus::kRejected);
  EXPECT_EQ(client->answers[0].reason, CompletionReason::kDeadlineExceeded);
  EXPECT_EQ(fixture.dispatcher.tracked_requests(), 0u);
}

// It waits behind another request of its key, for less time than the workload manager's own check takes:
// nothing was executed, so the client may retry.
TEST(RequestDispatcher, QueuedRequest_AtDeadlineIsRejected) {
  Settings s = plain_settings();
  s.classes[0].ordered_by_key = true;
  DispatcherFixture fixture(s);
  fixture.take(std::make_shared<FakeClient>(), kSecond, 0, 5);
  const auto client = std::make_shared<FakeClient>();
  fixture.take(client, 300, 0, 5);
  EXPECT_TRUE(client->answers.empty());
  fixture.clock.run_for(kMs);
  ASSERT_EQ(client->answers.size(), 1u);
  EXPECT_EQ(client->answers[0].status, RequestStatus::kRejected);
  EXPECT_EQ(client->answers[0].reason, CompletionReason::kDeadlineExceeded);
}

TEST(RequestDispatcher, StreamedResponse_ContinuesPastTheDeadline) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 10;
  DispatcherFixture fixture(plain_settings(), limits);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(client, kSecond);
  fixture.dispatcher.on_attempt_message(fixture.nodes.out(id)->key, "a long answer begins");
  fixture.clock.run_for(3 * kSecond);
  EXPECT_TRUE(client->answers.empty());
  fixture.end(*fixture.nodes.out(id), Outcome::kOk);
  EXPECT_EQ(client->answers.at(0).status, RequestStatus::kServed);
}

TEST(RequestDispatcher, SlowReader_PausesItsOwnAttemptOnly) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 4;
  limits.stream_window_bytes = 100;
  DispatcherFixture fixture(plain_settings(), limits);
  const auto slow = std::make_shared<FakeClient>();
  const auto fast = std::make_shared<FakeClient>();
  const RequestId slow_id = fixture.take(slow);
  const RequestId fast_id = fixture.take(fast);
  const dispatch::AttemptId slow_attempt = fixture.nodes.out(slow_id)->key;
  EXPECT_TRUE(fixture.dispatcher.on_attempt_message(slow_attempt, std::string(60, 'x')));
  EXPECT_FALSE(fixture.dispatcher.on_attempt_message(
      slow_attempt, std::string(60, 'x')));  // 120 unread bytes exceed the window
  EXPECT_TRUE(fixture.dispatcher.on_attempt_message(fixture.nodes.out(fast_id)->key, std::string(60, 'x')));
  fixture.dispatcher.on_response_consumed(slow_id, 60);
  EXPECT_EQ(fixture.nodes.resumes, 0);  // 60 left, more than half of the window
  fixture.dispatcher.on_response_consumed(slow_id, 30);
  EXPECT_EQ(fixture.nodes.resumes, 1);
}

TEST(RequestDispatcher, TotalBufferLimit_StreamsResponsesBeforeTheirOwnLimit) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 1000;
  limits.total_buffer_bytes = 1500;
  DispatcherFixture fixture(plain_settings(), limits);
  const auto one = std::make_shared<FakeClient>();
  const auto two = std::make_shared<FakeClient>();
  const RequestId first = fixture.take(one);
  const RequestId second = fixture.take(two);
  fixture.dispatcher.on_attempt_message(fixture.nodes.out(first)->key, std::string(900, 'x'));
  EXPECT_TRUE(two->messages.empty());
  fixture.dispatcher.on_attempt_message(fixture.nodes.out(second)->key, std::string(700, 'x'));
  EXPECT_EQ(two->messages.size(), 1u);  // streamed before its own limit
  fixture.dispatcher.on_client_disconnected(second);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 900u);
  fixture.dispatcher.on_client_disconnected(first);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 0u);
}

TEST(RequestDispatcher, ClientDisconnectedAfterCompletion_UnreadBytesAreNotCounted) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(client);
  fixture.dispatcher.on_attempt_message(fixture.nodes.out(id)->key, "answer");
  fixture.end(*fixture.nodes.out(id), Outcome::kOk);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 6u);
  fixture.dispatcher.on_client_disconnected(id);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 0u);
  fixture.dispatcher.on_response_consumed(id, 6);  // late, for an unknown request
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 0u);
}

TEST(RequestDispatcher, ClientDisconnected_AttemptIsCancelledAndNothingForwarded) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(client);
  const dispatch::AttemptId key = fixture.nodes.out(id)->key;
  fixture.dispatcher.on_client_disconnected(id);
  EXPECT_TRUE(fixture.nodes.find(key)->dropped);
  EXPECT_EQ(fixture.dispatcher.open_requests(), 0u);
  EXPECT_EQ(fixture.dispatcher.tracked_requests(), 0u);
  fixture.dispatcher.on_attempt_message(key, "late");
  fixture.dispatcher.on_attempt_completed(key, {});
  EXPECT_TRUE(client->messages.empty());
  EXPECT_TRUE(client->answers.empty());
  EXPECT_EQ(fixture.dispatcher.counters().disconnected, 1u);
}

TEST(RequestDispatcher, ClientDisconnectedWhileStreaming_AttemptIsCancelled) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 2;
  DispatcherFixture fixture(plain_settings(), limits);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(client);
  const dispatch::AttemptId key = fixture.nodes.out(id)->key;
  fixture.dispatcher.on_attempt_message(key, "stream");
  fixture.dispatcher.on_client_disconnected(id);
  EXPECT_TRUE(fixture.nodes.find(key)->dropped);
  EXPECT_EQ(fixture.dispatcher.tracked_requests(), 0u);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 0u);
}

TEST(RequestDispatcher, StatementError_IsForwardedAndNotRetried) {
  DispatcherFixture fixture;
  for (int i = 0; i < 20; ++i) {
    const auto client = std::make_shared<FakeClient>();
    const RequestId id = fixture.take(client);
    ASSERT_NE(fixture.nodes.out(id), nullptr) << "an engine was ejected for wrong statements";
    fixture.end(*fixture.nodes.out(id), Outcome::kError, true);
    ASSERT_EQ(client->answers.size(), 1u);
    EXPECT_EQ(client->answers[0].status, RequestStatus::kFailed);
    EXPECT_EQ(client->answers[0].reason, CompletionReason::kStatementError);
    EXPECT_EQ(client->answers[0].error.message, "trouble");
    EXPECT_EQ(fixture.nodes.count(id), 1);
  }
}

TEST(RequestDispatcher, UnresponsiveEngine_RequestIsCompletedByItsDeadline) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(client, kSecond);  // the engine never responds
  ASSERT_NE(fixture.nodes.out(id), nullptr);
  fixture.clock.run_for(kSecond);
  ASSERT_EQ(client->answers.size(), 1u);
  EXPECT_NE(client->answers[0].status, RequestStatus::kServed);
  EXPECT_EQ(fixture.dispatcher.open_requests(), 0u);
  fixture.clock.run_for(5 * kSecond);
  EXPECT_EQ(fixture.dispatcher.tracked_requests(), 0u);
  EXPECT_EQ(client->answers.size(), 1u);
}

TEST(RequestDispatcher, ProcessStall_RequestIsCompletedAfterward) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  fixture.take(client, kSecond);
  fixture.clock.stall(10 * kSecond);
  fixture.clock.run_for(1);
  EXPECT_EQ(client->answers.size(), 1u);
  EXPECT_EQ(fixture.dispatcher.open_requests(), 0u);
}

TEST(RequestDispatcher, OpenRequestLimit_FurtherRequestsAreRejectedAtOnce) {
  dispatch::DispatcherLimits limits;
  limits.max_open_requests = 2;
  DispatcherFixture fixture(plain_settings(), limits);
  const auto one = std::make_shared<FakeClient>();
  const auto two = std::make_shared<FakeClient>();
  const auto three = std::make_shared<FakeClient>();
  const RequestId first = fixture.take(one);
  fixture.take(two);
  EXPECT_EQ(fixture.take(three), 0u);
  ASSERT_EQ(three->answers.size(), 1u);
  EXPECT_EQ(three->answers[0].status, RequestStatus::kRejected);
  EXPECT_EQ(three->answers[0].reason, CompletionReason::kGatewayOverloaded);
  fixture.end(*fixture.nodes.out(first), Outcome::kOk);
  EXPECT_NE(fixture.take(std::make_shared<FakeClient>()), 0u);
}

TEST(RequestDispatcher, StopAccepting_RejectsNewRequestsAndCompletesOpenOnes) {
  DispatcherFixture fixture;
  const auto old = std::make_shared<FakeClient>();
  const auto fresh = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(old);
  bool idle = false;
  fixture.dispatcher.stop_accepting([&] { idle = true; });
  EXPECT_EQ(fixture.take(fresh), 0u);
  EXPECT_EQ(fresh->answers.at(0).reason, CompletionReason::kShuttingDown);
  EXPECT_FALSE(idle);
  fixture.end(*fixture.nodes.out(id), Outcome::kOk);
  EXPECT_TRUE(idle);
  EXPECT_EQ(old->answers.at(0).status, RequestStatus::kServed);
}

TEST(RequestDispatcher, CancelInFlight_CompletesOpenRequestsAndRejectsNewOnes) {
  DispatcherFixture fixture;
  const auto open = std::make_shared<FakeClient>();
  const auto later = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(open);
  ASSERT_NE(fixture.nodes.out(id), nullptr);
  fixture.dispatcher.cancel_in_flight();
  ASSERT_EQ(open->answers.size(), 1u);
  EXPECT_TRUE(fixture.nodes.find({id, 0})->dropped);
  fixture.take(later);
  ASSERT_EQ(later->answers.size(), 1u);
  EXPECT_EQ(later->answers[0].reason, dispatch::CompletionReason::kShuttingDown);
  EXPECT_EQ(fixture.dispatcher.open_requests(), 0u);
}

// The client has disconnected, though the end of its connection is yet to be read.
TEST(RequestDispatcher, ClientKnownToBeDisconnected_AttemptIsNoLongerValid) {
  struct DisconnectingClient : FakeClient {
    bool is_client_disconnected() const override { return is_disconnected; }
    bool is_disconnected = false;
  };
  for (const bool disconnected : {false, true}) {
    DispatcherFixture fixture;
    const auto client = std::make_shared<DisconnectingClient>();
    const RequestId id = fixture.take(client);
    FakeNodes::Sent* const sent = fixture.nodes.out(id);
    ASSERT_NE(sent, nullptr);
    client->is_disconnected = disconnected;
    EXPECT_EQ(sent->order.still_valid(), !disconnected);
    EXPECT_EQ(fixture.dispatcher.counters().disconnected, disconnected ? 1u : 0u);
    EXPECT_EQ(fixture.nodes.find({id, 0})->dropped, disconnected);
  }
}

TEST(RequestDispatcher, StopAccepting_WithoutOpenRequestsIsIdleAtOnce) {
  DispatcherFixture fixture;
  bool idle = false;
  fixture.dispatcher.stop_accepting([&] { idle = true; });
  EXPECT_TRUE(idle);
}

TEST(RequestDispatcher, NonIdempotentRequest_AfterResetFailsAndIsNotRetried) {
  Settings s = plain_settings();
  s.classes[0].idempotency = Idempotency::kNotIdempotent;
  DispatcherFixture fixture(s);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(client);
  fixture.end(*fixture.nodes.out(id), Outcome::kReset);
  fixture.clock.run_for(kSecond);
  EXPECT_EQ(fixture.nodes.count(id), 1);
  EXPECT_EQ(client->answers.at(0).status, RequestStatus::kFailed);
}

TEST(RequestDispatcher, NonIdempotentRequest_AfterConnectFailureIsRetried) {
  Settings s = plain_settings();
  s.classes[0].idempotency = Idempotency::kNotIdempotent;
  DispatcherFixture fixture(s);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(client);
  fixture.end(*fixture.nodes.out(id), Outcome::kConnectFailed);
  ASSERT_EQ(fixture.nodes.count(id), 2);
  fixture.end(*fixture.nodes.out(id), Outcome::kOk);
  EXPECT_EQ(client->answers.at(0).status, RequestStatus::kServed);
}

TEST(RequestDispatcher, RequestsOfOneKey_AreSentInOrder) {
  Settings s = plain_settings();
  s.classes[0].ordered_by_key = true;
  s.ordering_gap_us = 300 * kMs;
  DispatcherFixture fixture(s);
  const auto one = std::make_shared<FakeClient>();
  const auto two = std::make_shared<FakeClient>();
  const RequestId first = fixture.take(one, 5 * kSecond, 0, 9);
  const RequestId second = fixture.take(two, 5 * kSecond, 0, 9);
  EXPECT_EQ(fixture.nodes.count(second), 0);
  // The cancelled attempt may still be running, so the key's next request waits.
  fixture.dispatcher.on_client_disconnected(first);
  fixture.clock.run_for(200 * kMs);
  EXPECT_EQ(fixture.nodes.count(second), 0);
  fixture.clock.run_for(200 * kMs);
  EXPECT_EQ(fixture.nodes.count(second), 1);
}

TEST(RequestDispatcher, EngineDrainingBeforeRetry_IsNotRetriedThere) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.take(client);
  const EngineId first = fixture.nodes.out(id)->engine;
  const EngineId other = 3 - first;  // the engines are 1 and 2
  std::vector<Endpoint> list{engine(1), engine(2)};
  list[other - 1].state = EndpointState::kDraining;
  fixture.dispatcher.on_endpoints_changed(EndpointUpdateKind::kFull, list);
  fixture.end(*fixture.nodes.out(id), Outcome::kError);
  fixture.clock.run_for(kSecond);
  for (const FakeNodes::Sent& s : fixture.nodes.sent) EXPECT_NE(s.engine, other);
}

TEST(RequestDispatcher, HealthCheckWithoutResult_TimesOut) {
  Settings s = plain_settings();
  s.health_checks_allowed = true;
  s.load_reports_in_health_checks = true;
  dispatch::DispatcherLimits limits;
  limits.health_check_timeout_us = 300 * kMs;
  DispatcherFixture fixture(s, limits);
  fixture.take(std::make_shared<FakeClient>(), 15 * kSecond, 1);
  ASSERT_EQ(fixture.nodes.probes.size(), 2u);
  EXPECT_EQ(fixture.dispatcher.outstanding_health_checks(), 2u);
  fixture.dispatcher.on_health_check_completed(fixture.nodes.probes[0].first, Outcome::kOk, std::nullopt);
  EXPECT_EQ(fixture.dispatcher.outstanding_health_checks(), 1u);
  fixture.clock.run_for(kSecond);
  EXPECT_EQ(fixture.dispatcher.outstanding_health_checks(), 0u);
  fixture.dispatcher.on_health_check_completed(fixture.nodes.probes[1].first, Outcome::kOk,
                                               std::nullopt);  // late, for an unknown check
}

TEST(RequestDispatcher, CompletedRequests_LeaveNoPendingTimers) {
  DispatcherFixture fixture;
  for (int i = 0; i < 2'000; ++i) {
    const auto client = std::make_shared<FakeClient>();
    const RequestId id = fixture.take(client);
    if (id != 0 && fixture.nodes.out(id) != nullptr) fixture.end(*fixture.nodes.out(id), Outcome::kOk);
    fixture.clock.run_for(kMs);
    fixture.nodes.sent.clear();
  }
  EXPECT_EQ(fixture.dispatcher.tracked_requests(), 0u);
  EXPECT_LE(fixture.clock.pending(), 8u);
}

}  // namespace
}  // namespace sablelink::test
