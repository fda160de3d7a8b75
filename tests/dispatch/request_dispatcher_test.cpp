// Tests of the dispatcher with a fake transport, fake clients and a manual clock.
#include "dispatch/request_dispatcher.h"

#include <gtest/gtest.h>

#include "tests/dispatch/dispatcher_harness.h"

namespace sablelink::test {
namespace {

using dispatch::CompletionReason;
using dispatch::RequestStatus;

TEST(RequestDispatcher, Response_IsWithheldUntilComplete) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.submit(client);
  FakeEngineTransport::SentAttempt* const sent = fixture.transport.in_flight(id);
  ASSERT_NE(sent, nullptr);
  EXPECT_TRUE(fixture.dispatcher.on_attempt_message(sent->id, "schema"));
  EXPECT_TRUE(fixture.dispatcher.on_attempt_message(sent->id, "batch"));
  EXPECT_TRUE(client->messages.empty());
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 11u);
  fixture.complete(*sent, Outcome::kOk);
  ASSERT_EQ(client->messages.size(), 2u);
  ASSERT_EQ(client->final_responses.size(), 1u);
  EXPECT_EQ(client->final_responses[0].status, RequestStatus::kServed);
  EXPECT_EQ(fixture.dispatcher.open_requests(), 0u);
  EXPECT_EQ(fixture.dispatcher.tracked_requests(), 0u);
  fixture.dispatcher.on_response_consumed(id, 11);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 0u);
}

TEST(RequestDispatcher, FailedAttempt_ItsBufferedResponseIsNotForwarded) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.submit(client);
  fixture.dispatcher.on_attempt_message(fixture.transport.in_flight(id)->id, "partial response");
  fixture.complete(*fixture.transport.in_flight(id), Outcome::kReset);
  ASSERT_EQ(fixture.transport.sent_count(id), 2);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 0u);
  fixture.dispatcher.on_attempt_message(fixture.transport.in_flight(id)->id, "complete response");
  fixture.complete(*fixture.transport.in_flight(id), Outcome::kOk);
  ASSERT_EQ(client->messages, std::vector<std::string>{"complete response"});
  EXPECT_EQ(client->final_responses.at(0).attempts, 2);
}

TEST(RequestDispatcher, ResponsePastBufferLimit_IsStreamedAndNotRetried) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 10;
  DispatcherFixture fixture(plain_settings(), limits);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.submit(client);
  FakeEngineTransport::SentAttempt* const sent = fixture.transport.in_flight(id);
  fixture.dispatcher.on_attempt_message(sent->id, "0123456");
  EXPECT_TRUE(client->messages.empty());
  fixture.dispatcher.on_attempt_message(sent->id, "789abc");
  EXPECT_EQ(client->messages.size(), 2u);
  fixture.complete(*sent, Outcome::kReset);
  ASSERT_EQ(client->final_responses.size(), 1u);
  EXPECT_EQ(client->final_responses[0].status, RequestStatus::kFailed);
  EXPECT_EQ(client->final_responses[0].reason, CompletionReason::kStreamInterrupted);
  fixture.clock.run_for(2 * kSecond);
  EXPECT_EQ(fixture.transport.sent_count(id), 1);
}

TEST(RequestDispatcher, RequestPastItsDeadline_IsRejectedImmediatelyAndNotSent) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.submit(client, 0);
  EXPECT_EQ(fixture.transport.sent_count(id), 0);
  ASSERT_EQ(client->final_responses.size(), 1u);
  EXPECT_EQ(client->final_responses[0].status, RequestStatus::kRejected);
  EXPECT_EQ(client->final_responses[0].reason, CompletionReason::kDeadlineExceeded);
  EXPECT_EQ(fixture.dispatcher.tracked_requests(), 0u);
}

// The request is queued behind another one of its key, and its deadline passes before the workload manager's
// next periodic check. Nothing was executed, so it must be rejected, which allows the client to retry.
TEST(RequestDispatcher, QueuedRequest_AtDeadlineIsRejected) {
  Settings s = plain_settings();
  s.classes[0].ordered_by_key = true;
  DispatcherFixture fixture(s);
  fixture.submit(std::make_shared<FakeClient>(), kSecond, 0, 5);
  const auto client = std::make_shared<FakeClient>();
  fixture.submit(client, 300, 0, 5);
  EXPECT_TRUE(client->final_responses.empty());
  fixture.clock.run_for(kMs);
  ASSERT_EQ(client->final_responses.size(), 1u);
  EXPECT_EQ(client->final_responses[0].status, RequestStatus::kRejected);
  EXPECT_EQ(client->final_responses[0].reason, CompletionReason::kDeadlineExceeded);
}

TEST(RequestDispatcher, StreamedResponse_ContinuesPastTheDeadline) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 10;
  DispatcherFixture fixture(plain_settings(), limits);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.submit(client, kSecond);
  fixture.dispatcher.on_attempt_message(fixture.transport.in_flight(id)->id, "start of a long response");
  fixture.clock.run_for(3 * kSecond);
  EXPECT_TRUE(client->final_responses.empty());
  fixture.complete(*fixture.transport.in_flight(id), Outcome::kOk);
  EXPECT_EQ(client->final_responses.at(0).status, RequestStatus::kServed);
}

TEST(RequestDispatcher, SlowReader_PausesItsOwnAttemptOnly) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 4;
  limits.stream_window_bytes = 100;
  DispatcherFixture fixture(plain_settings(), limits);
  const auto slow = std::make_shared<FakeClient>();
  const auto fast = std::make_shared<FakeClient>();
  const RequestId slow_id = fixture.submit(slow);
  const RequestId fast_id = fixture.submit(fast);
  const dispatch::AttemptId slow_attempt = fixture.transport.in_flight(slow_id)->id;
  EXPECT_TRUE(fixture.dispatcher.on_attempt_message(slow_attempt, std::string(60, 'x')));
  EXPECT_FALSE(fixture.dispatcher.on_attempt_message(
      slow_attempt, std::string(60, 'x')));  // 120 unread bytes exceed the window
  EXPECT_TRUE(
      fixture.dispatcher.on_attempt_message(fixture.transport.in_flight(fast_id)->id, std::string(60, 'x')));
  fixture.dispatcher.on_response_consumed(slow_id, 60);
  EXPECT_EQ(fixture.transport.resumes, 0);  // 60 unread bytes, more than half of the window
  fixture.dispatcher.on_response_consumed(slow_id, 30);
  EXPECT_EQ(fixture.transport.resumes, 1);
}

TEST(RequestDispatcher, TotalBufferLimit_StreamsResponsesBeforeTheirOwnLimit) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 1000;
  limits.total_buffer_bytes = 1500;
  DispatcherFixture fixture(plain_settings(), limits);
  const auto one = std::make_shared<FakeClient>();
  const auto two = std::make_shared<FakeClient>();
  const RequestId first = fixture.submit(one);
  const RequestId second = fixture.submit(two);
  fixture.dispatcher.on_attempt_message(fixture.transport.in_flight(first)->id, std::string(900, 'x'));
  EXPECT_TRUE(two->messages.empty());
  fixture.dispatcher.on_attempt_message(fixture.transport.in_flight(second)->id, std::string(700, 'x'));
  EXPECT_EQ(two->messages.size(), 1u);  // streamed although below its own limit
  fixture.dispatcher.on_client_disconnected(second);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 900u);
  fixture.dispatcher.on_client_disconnected(first);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 0u);
}

TEST(RequestDispatcher, ClientDisconnectedAfterCompletion_UnreadBytesAreNotCounted) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.submit(client);
  fixture.dispatcher.on_attempt_message(fixture.transport.in_flight(id)->id, "result");
  fixture.complete(*fixture.transport.in_flight(id), Outcome::kOk);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 6u);
  fixture.dispatcher.on_client_disconnected(id);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 0u);
  fixture.dispatcher.on_response_consumed(id, 6);  // late, for an unknown request
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 0u);
}

TEST(RequestDispatcher, ClientDisconnected_AttemptIsCancelledAndNothingForwarded) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.submit(client);
  const dispatch::AttemptId attempt = fixture.transport.in_flight(id)->id;
  fixture.dispatcher.on_client_disconnected(id);
  EXPECT_TRUE(fixture.transport.find(attempt)->is_cancelled);
  EXPECT_EQ(fixture.dispatcher.open_requests(), 0u);
  EXPECT_EQ(fixture.dispatcher.tracked_requests(), 0u);
  fixture.dispatcher.on_attempt_message(attempt, "late");
  fixture.dispatcher.on_attempt_completed(attempt, {});
  EXPECT_TRUE(client->messages.empty());
  EXPECT_TRUE(client->final_responses.empty());
  EXPECT_EQ(fixture.dispatcher.counters().disconnected, 1u);
}

TEST(RequestDispatcher, ClientDisconnectedWhileStreaming_AttemptIsCancelled) {
  dispatch::DispatcherLimits limits;
  limits.response_buffer_bytes = 2;
  DispatcherFixture fixture(plain_settings(), limits);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.submit(client);
  const dispatch::AttemptId attempt = fixture.transport.in_flight(id)->id;
  fixture.dispatcher.on_attempt_message(attempt, "stream");
  fixture.dispatcher.on_client_disconnected(id);
  EXPECT_TRUE(fixture.transport.find(attempt)->is_cancelled);
  EXPECT_EQ(fixture.dispatcher.tracked_requests(), 0u);
  EXPECT_EQ(fixture.dispatcher.buffered_bytes(), 0u);
}

TEST(RequestDispatcher, StatementError_IsForwardedAndNotRetried) {
  DispatcherFixture fixture;
  for (int i = 0; i < 20; ++i) {
    const auto client = std::make_shared<FakeClient>();
    const RequestId id = fixture.submit(client);
    ASSERT_NE(fixture.transport.in_flight(id), nullptr) << "an engine was ejected for invalid statements";
    fixture.complete(*fixture.transport.in_flight(id), Outcome::kError, true);
    ASSERT_EQ(client->final_responses.size(), 1u);
    EXPECT_EQ(client->final_responses[0].status, RequestStatus::kFailed);
    EXPECT_EQ(client->final_responses[0].reason, CompletionReason::kStatementError);
    EXPECT_EQ(client->final_responses[0].error.message, "engine error");
    EXPECT_EQ(fixture.transport.sent_count(id), 1);
  }
}

TEST(RequestDispatcher, UnresponsiveEngine_RequestIsCompletedByItsDeadline) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.submit(client, kSecond);  // the engine never responds
  ASSERT_NE(fixture.transport.in_flight(id), nullptr);
  fixture.clock.run_for(kSecond);
  ASSERT_EQ(client->final_responses.size(), 1u);
  EXPECT_NE(client->final_responses[0].status, RequestStatus::kServed);
  EXPECT_EQ(fixture.dispatcher.open_requests(), 0u);
  fixture.clock.run_for(5 * kSecond);
  EXPECT_EQ(fixture.dispatcher.tracked_requests(), 0u);
  EXPECT_EQ(client->final_responses.size(), 1u);
}

TEST(RequestDispatcher, ProcessStall_RequestIsCompletedAfterward) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  fixture.submit(client, kSecond);
  fixture.clock.stall(10 * kSecond);
  fixture.clock.run_for(1);
  EXPECT_EQ(client->final_responses.size(), 1u);
  EXPECT_EQ(fixture.dispatcher.open_requests(), 0u);
}

TEST(RequestDispatcher, OpenRequestLimit_FurtherRequestsAreRejectedImmediately) {
  dispatch::DispatcherLimits limits;
  limits.max_open_requests = 2;
  DispatcherFixture fixture(plain_settings(), limits);
  const auto one = std::make_shared<FakeClient>();
  const auto two = std::make_shared<FakeClient>();
  const auto three = std::make_shared<FakeClient>();
  const RequestId first = fixture.submit(one);
  fixture.submit(two);
  EXPECT_EQ(fixture.submit(three), 0u);
  ASSERT_EQ(three->final_responses.size(), 1u);
  EXPECT_EQ(three->final_responses[0].status, RequestStatus::kRejected);
  EXPECT_EQ(three->final_responses[0].reason, CompletionReason::kGatewayOverloaded);
  fixture.complete(*fixture.transport.in_flight(first), Outcome::kOk);
  EXPECT_NE(fixture.submit(std::make_shared<FakeClient>()), 0u);
}

TEST(RequestDispatcher, StopAccepting_RejectsNewRequestsAndCompletesOpenOnes) {
  DispatcherFixture fixture;
  const auto old = std::make_shared<FakeClient>();
  const auto fresh = std::make_shared<FakeClient>();
  const RequestId id = fixture.submit(old);
  bool idle = false;
  fixture.dispatcher.stop_accepting([&] { idle = true; });
  EXPECT_EQ(fixture.submit(fresh), 0u);
  EXPECT_EQ(fresh->final_responses.at(0).reason, CompletionReason::kShuttingDown);
  EXPECT_FALSE(idle);
  fixture.complete(*fixture.transport.in_flight(id), Outcome::kOk);
  EXPECT_TRUE(idle);
  EXPECT_EQ(old->final_responses.at(0).status, RequestStatus::kServed);
}

TEST(RequestDispatcher, CancelInFlight_CompletesOpenRequestsAndRejectsNewOnes) {
  DispatcherFixture fixture;
  const auto open = std::make_shared<FakeClient>();
  const auto later = std::make_shared<FakeClient>();
  const RequestId id = fixture.submit(open);
  ASSERT_NE(fixture.transport.in_flight(id), nullptr);
  fixture.dispatcher.cancel_in_flight();
  ASSERT_EQ(open->final_responses.size(), 1u);
  EXPECT_TRUE(fixture.transport.find({id, 0})->is_cancelled);
  fixture.submit(later);
  ASSERT_EQ(later->final_responses.size(), 1u);
  EXPECT_EQ(later->final_responses[0].reason, dispatch::CompletionReason::kShuttingDown);
  EXPECT_EQ(fixture.dispatcher.open_requests(), 0u);
}

// The client has disconnected, but on_client_disconnected hasn't been called yet.
TEST(RequestDispatcher, ClientKnownToBeDisconnected_AttemptIsNoLongerValid) {
  struct DisconnectingClient : FakeClient {
    bool is_client_disconnected() const override { return is_disconnected; }
    bool is_disconnected = false;
  };
  for (const bool disconnected : {false, true}) {
    DispatcherFixture fixture;
    const auto client = std::make_shared<DisconnectingClient>();
    const RequestId id = fixture.submit(client);
    FakeEngineTransport::SentAttempt* const sent = fixture.transport.in_flight(id);
    ASSERT_NE(sent, nullptr);
    client->is_disconnected = disconnected;
    EXPECT_EQ(sent->spec.still_valid(), !disconnected);
    EXPECT_EQ(fixture.dispatcher.counters().disconnected, disconnected ? 1u : 0u);
    EXPECT_EQ(fixture.transport.find({id, 0})->is_cancelled, disconnected);
  }
}

TEST(RequestDispatcher, StopAccepting_WithoutOpenRequestsIsIdleImmediately) {
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
  const RequestId id = fixture.submit(client);
  fixture.complete(*fixture.transport.in_flight(id), Outcome::kReset);
  fixture.clock.run_for(kSecond);
  EXPECT_EQ(fixture.transport.sent_count(id), 1);
  EXPECT_EQ(client->final_responses.at(0).status, RequestStatus::kFailed);
}

TEST(RequestDispatcher, NonIdempotentRequest_AfterConnectFailureIsRetried) {
  Settings s = plain_settings();
  s.classes[0].idempotency = Idempotency::kNotIdempotent;
  DispatcherFixture fixture(s);
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.submit(client);
  fixture.complete(*fixture.transport.in_flight(id), Outcome::kConnectFailed);
  ASSERT_EQ(fixture.transport.sent_count(id), 2);
  fixture.complete(*fixture.transport.in_flight(id), Outcome::kOk);
  EXPECT_EQ(client->final_responses.at(0).status, RequestStatus::kServed);
}

TEST(RequestDispatcher, RequestsOfOneKey_AreSentInOrder) {
  Settings s = plain_settings();
  s.classes[0].ordered_by_key = true;
  s.ordering_gap_us = 300 * kMs;
  DispatcherFixture fixture(s);
  const auto one = std::make_shared<FakeClient>();
  const auto two = std::make_shared<FakeClient>();
  const RequestId first = fixture.submit(one, 5 * kSecond, 0, 9);
  const RequestId second = fixture.submit(two, 5 * kSecond, 0, 9);
  EXPECT_EQ(fixture.transport.sent_count(second), 0);
  // The cancelled attempt may still be running, so the key's next request waits.
  fixture.dispatcher.on_client_disconnected(first);
  fixture.clock.run_for(200 * kMs);
  EXPECT_EQ(fixture.transport.sent_count(second), 0);
  fixture.clock.run_for(200 * kMs);
  EXPECT_EQ(fixture.transport.sent_count(second), 1);
}

TEST(RequestDispatcher, EngineDrainingBeforeRetry_IsNotRetriedThere) {
  DispatcherFixture fixture;
  const auto client = std::make_shared<FakeClient>();
  const RequestId id = fixture.submit(client);
  const EngineId first = fixture.transport.in_flight(id)->engine;
  const EngineId other = 3 - first;  // the engines are 1 and 2
  std::vector<Endpoint> list{engine(1), engine(2)};
  list[other - 1].state = EndpointState::kDraining;
  fixture.dispatcher.on_endpoints_changed(EndpointUpdateKind::kFull, list);
  fixture.complete(*fixture.transport.in_flight(id), Outcome::kError);
  fixture.clock.run_for(kSecond);
  for (const FakeEngineTransport::SentAttempt& s : fixture.transport.sent) EXPECT_NE(s.engine, other);
}

TEST(RequestDispatcher, HealthCheckWithoutResult_TimesOut) {
  Settings s = plain_settings();
  s.health_checks_allowed = true;
  s.load_reports_in_health_checks = true;
  dispatch::DispatcherLimits limits;
  limits.health_check_timeout_us = 300 * kMs;
  DispatcherFixture fixture(s, limits);
  fixture.submit(std::make_shared<FakeClient>(), 15 * kSecond, 1);
  ASSERT_EQ(fixture.transport.health_checks.size(), 2u);
  EXPECT_EQ(fixture.dispatcher.outstanding_health_checks(), 2u);
  fixture.dispatcher.on_health_check_completed(fixture.transport.health_checks[0], Outcome::kOk,
                                               std::nullopt);
  EXPECT_EQ(fixture.dispatcher.outstanding_health_checks(), 1u);
  fixture.clock.run_for(kSecond);
  EXPECT_EQ(fixture.dispatcher.outstanding_health_checks(), 0u);
  fixture.dispatcher.on_health_check_completed(fixture.transport.health_checks[1], Outcome::kOk,
                                               std::nullopt);  // late, for an unknown check
}

TEST(RequestDispatcher, CompletedRequests_LeaveNoPendingTimers) {
  DispatcherFixture fixture;
  for (int i = 0; i < 2'000; ++i) {
    const auto client = std::make_shared<FakeClient>();
    const RequestId id = fixture.submit(client);
    if (id != 0 && fixture.transport.in_flight(id) != nullptr)
      fixture.complete(*fixture.transport.in_flight(id), Outcome::kOk);
    fixture.clock.run_for(kMs);
    fixture.transport.sent.clear();
  }
  EXPECT_EQ(fixture.dispatcher.tracked_requests(), 0u);
  EXPECT_LE(fixture.clock.pending(), 8u);
}

}  // namespace
}  // namespace sablelink::test
