// Attempts of one request never overlap, whether or not the previous attempt's cancellation succeeds.
#include "platform/engine_client/orphaned_attempts.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "tests/platform/engine_client/engine_client_harness.h"
#include "tests/platform/platform_harness.h"

namespace sablelink::test {
namespace {

// Starts the first attempt of a request.
void start_first(PlatformFixture& fixture, const ScriptedEngine& engine) {
  fixture.engine_client().start({7, 0}, fixture.engine_id(engine), make_spec(make_request_id(7)));
}

// Cancels the first attempt of the request and starts its next one.
void cancel_and_start_next(PlatformFixture& fixture, const ScriptedEngine& engine) {
  fixture.engine_client().cancel({7, 0});
  fixture.engine_client().start({7, 1}, fixture.engine_id(engine), make_spec(make_request_id(7)));
}

// Rule 2: without hedging, the next attempt reaches its engine only after the previous one has ended.
TEST(OrphanedAttempts, NextAttemptWaitsForConfirmedCancellation) {
  PlatformFixture fixture;
  ScriptedEngine& first_engine = fixture.add_engine();
  ScriptedEngine& second_engine = fixture.add_engine();
  first_engine.execution_time_us = 10 * kSecond;
  second_engine.execution_time_us = 10 * kSecond;
  first_engine.script = confirm_cancellation_late;
  fixture.publish_endpoints();
  start_first(fixture, first_engine);
  fixture.run_for(300 * kMs);
  ASSERT_EQ(first_engine.request_count("POST"), 1u);
  cancel_and_start_next(fixture, second_engine);
  fixture.run_for(kSecond);
  ASSERT_NE(first_engine.first_request("DELETE"), nullptr);
  ASSERT_NE(second_engine.first_request("POST"), nullptr);
  EXPECT_GE(second_engine.first_request("POST")->received_at,
            first_engine.first_request("DELETE")->received_at + 100 * kMs);
  fixture.engine_client().cancel({7, 1});
  fixture.run_for(kSecond);
}

// On another connection a DELETE could overtake the POST that it cancels.
TEST(OrphanedAttempts, CancellationIsDelayedAfterItsStart) {
  PlatformFixture fixture;
  ScriptedEngine& first_engine = fixture.add_engine();
  ScriptedEngine& second_engine = fixture.add_engine();
  first_engine.execution_time_us = 10 * kSecond;
  second_engine.execution_time_us = 10 * kSecond;
  int cancellations = 0;
  first_engine.script =
      [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
    if (received.request.method != "DELETE" || ++cancellations > 1) return std::nullopt;
    return ScriptedResponse{
        http::serialize_response(404, {}, "", true)};  // does not confirm the cancellation
  };
  fixture.publish_endpoints();
  start_first(fixture, first_engine);
  while (first_engine.request_count("POST") == 0) fixture.run_for(kMs);
  cancel_and_start_next(fixture, second_engine);
  fixture.run_for(kSecond);
  ASSERT_EQ(first_engine.request_count("DELETE"), 2u);
  EXPECT_GE(first_engine.first_request("DELETE")->received_at,
            first_engine.first_request("POST")->received_at + 25 * kMs);
  ASSERT_NE(second_engine.first_request("POST"), nullptr);
  EXPECT_GT(second_engine.first_request("POST")->received_at,
            first_engine.received_requests.back().received_at);
  fixture.engine_client().cancel({7, 1});
  fixture.run_for(kSecond);
}

// Guards against two attempts of one request at once after a long hang: whether the engine has read the start
// or not, no time proves that it has ended an attempt. Only a response does.
TEST(OrphanedAttempts, NextAttemptWaitsForAsLongAsTheEngineIsSilent) {
  for (const bool is_start_read : {false, true}) {
    PlatformFixture fixture;
    ScriptedEngine& first_engine = fixture.add_engine();
    ScriptedEngine& second_engine = fixture.add_engine();
    second_engine.execution_time_us = 10 * kSecond;
    const TimeUs resumes_at = fixture.world().now() + 8 * kSecond;
    first_engine.script = [&](const ScriptedEngine::ReceivedRequest& received) {
      const bool is_start = received.request.method == "POST";
      if (is_start && is_start_read) return ScriptedResponse{http::serialize_response(202, {}, "", true)};
      if (received.received_at < resumes_at) return ScriptedResponse{"", 0, false, true};
      return ScriptedResponse{http::serialize_response(204, {}, "", true)};
    };
    fixture.publish_endpoints();
    start_first(fixture, first_engine);
    fixture.run_for(300 * kMs);
    cancel_and_start_next(fixture, second_engine);
    fixture.world().run_until(resumes_at);
    EXPECT_EQ(second_engine.request_count("POST"), 0u) << is_start_read;
    fixture.run_for(2 * kSecond);
    ASSERT_EQ(second_engine.request_count("POST"), 1u) << is_start_read;
    EXPECT_EQ(first_engine.received_requests.back().request.method, "DELETE");
    EXPECT_GT(second_engine.first_request("POST")->received_at,
              first_engine.received_requests.back().received_at);
    fixture.engine_client().cancel({7, 1});
    fixture.run_for(kSecond);
  }
}

// Guards against two attempts of one request at once with too few connections to an engine that hangs: an
// attempt whose polls have waited for a connection for too long is given up, but it may still run.
TEST(OrphanedAttempts, NextAttemptWaitsForOneWhosePollsHadNoConnection) {
  constexpr int kAttempts = 20;
  constexpr TimeUs kMinute = 60 * kSecond;
  PlatformFixture fixture(20, 4);
  ScriptedEngine& first_engine = fixture.add_engine();
  ScriptedEngine& second_engine = fixture.add_engine();
  second_engine.execution_time_us = 10 * kSecond;
  bool is_hung = false;
  first_engine.script = [&](const ScriptedEngine::ReceivedRequest& received) {
    if (is_hung) return ScriptedResponse{"", 0, false, true};
    const int status = received.request.method == "DELETE" ? 204 : 202;
    return ScriptedResponse{http::serialize_response(status, {}, "", true)};
  };
  fixture.publish_endpoints();
  for (int i = 1; i <= kAttempts; ++i)
    fixture.engine_client().start({static_cast<RequestId>(i), 0}, fixture.engine_id(first_engine),
                                  make_spec(make_request_id(i), kMinute));
  fixture.run_for(kSecond);
  ASSERT_EQ(first_engine.request_count("POST"), static_cast<size_t>(kAttempts));
  is_hung = true;
  fixture.run_for(5 * kSecond);
  ASSERT_EQ(fixture.engine_client().active_attempts(), 0u);
  for (int i = 1; i <= kAttempts; ++i)
    fixture.engine_client().start({static_cast<RequestId>(i), 1}, fixture.engine_id(second_engine),
                                  make_spec(make_request_id(i), kMinute));
  fixture.run_for(kSecond);
  EXPECT_EQ(second_engine.request_count("POST"), 0u);
  is_hung = false;
  fixture.run_for(3 * kSecond);
  EXPECT_EQ(second_engine.request_count("POST"), static_cast<size_t>(kAttempts));
  for (int i = 1; i <= kAttempts; ++i) fixture.engine_client().cancel({static_cast<RequestId>(i), 1});
  fixture.run_for(kSecond);
}

// A DELETE that the engine reads late may end the attempt, so the response to it is awaited: later DELETEs
// are answered "unknown attempt", which proves nothing while the start has no response.
TEST(OrphanedAttempts, LateResponseToCancellationReleasesTheNextAttempt) {
  PlatformFixture fixture;
  ScriptedEngine& first_engine = fixture.add_engine();
  ScriptedEngine& second_engine = fixture.add_engine();
  second_engine.execution_time_us = 10 * kSecond;
  const TimeUs resumes_at = fixture.world().now() + 800 * kMs;
  first_engine.script = [&](const ScriptedEngine::ReceivedRequest& received) {
    if (received.request.method != "DELETE") return ScriptedResponse{"", 0, false, true};
    const TimeUs delay = std::max<TimeUs>(resumes_at - received.received_at, 0);
    const int status = first_engine.request_count("DELETE") == 1 ? 204 : 500;
    return ScriptedResponse{http::serialize_response(status, {}, "", true), delay};
  };
  fixture.publish_endpoints();
  start_first(fixture, first_engine);
  fixture.run_for(100 * kMs);
  cancel_and_start_next(fixture, second_engine);
  fixture.world().run_until(resumes_at);
  EXPECT_EQ(second_engine.request_count("POST"), 0u);
  fixture.run_for(50 * kMs);
  EXPECT_EQ(second_engine.request_count("POST"), 1u);
  fixture.engine_client().cancel({7, 1});
  fixture.run_for(kSecond);
}

// Rule 3: a delayed start is not sent to an engine that has begun to drain.
TEST(OrphanedAttempts, DelayedAttemptDoesNotStartOnDrainingEngine) {
  PlatformFixture fixture;
  ScriptedEngine& first_engine = fixture.add_engine();
  ScriptedEngine& second_engine = fixture.add_engine();
  fixture.publish_endpoints();
  first_engine.execution_time_us = 10 * kSecond;
  second_engine.execution_time_us = 10 * kSecond;
  first_engine.script = confirm_cancellation_late;
  start_first(fixture, first_engine);
  fixture.run_for(100 * kMs);
  cancel_and_start_next(fixture, second_engine);
  fixture.publish_endpoints({{second_engine.address(), EndpointState::kDraining}});
  fixture.run_for(2 * kSecond);
  EXPECT_EQ(second_engine.request_count("POST"), 0u);
}

// An engine that has not read the start reports the attempt as unknown, although it will execute it later.
TEST(OrphanedAttempts, UnknownAttemptIsNotConfirmedAsEndedWhileItsStartHasNoResponse) {
  PlatformFixture fixture;
  ScriptedEngine& first_engine = fixture.add_engine();
  ScriptedEngine& second_engine = fixture.add_engine();
  second_engine.execution_time_us = 10 * kSecond;
  first_engine.script =
      [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
    if (received.request.method == "POST")
      return ScriptedResponse{http::serialize_response(202, {}, "", true), 300 * kMs};
    return ScriptedResponse{http::serialize_response(
        received.received_at < first_engine.received_requests[0].received_at + 300 * kMs ? 500 : 204, {}, "",
        true)};
  };
  fixture.publish_endpoints();
  start_first(fixture, first_engine);
  while (first_engine.request_count("POST") == 0) fixture.run_for(kMs);
  cancel_and_start_next(fixture, second_engine);
  fixture.run_for(3 * kSecond);
  ASSERT_NE(second_engine.first_request("POST"), nullptr);
  EXPECT_GE(second_engine.first_request("POST")->received_at,
            first_engine.first_request("POST")->received_at + 300 * kMs);
  fixture.engine_client().cancel({7, 1});
  fixture.run_for(kSecond);
}

// Guards against two attempts of one request at once: a DELETE that is answered "unknown attempt" after the
// start's call has timed out proves nothing, as the engine may read the start next.
TEST(OrphanedAttempts, UnknownAttemptIsNotConfirmedAsEndedAfterItsStartCallHasTimedOut) {
  PlatformFixture fixture;
  ScriptedEngine& first_engine = fixture.add_engine();
  ScriptedEngine& second_engine = fixture.add_engine();
  second_engine.execution_time_us = 10 * kSecond;
  const auto hang = std::make_shared<HangBeforeStartScript>(first_engine, kSecond, 10 * kSecond);
  first_engine.script = [hang](const ScriptedEngine::ReceivedRequest& received) { return (*hang)(received); };
  fixture.publish_endpoints();
  start_first(fixture, first_engine);
  fixture.run_for(950 * kMs);
  ASSERT_EQ(fixture.engine_client().counters().starts_overdue, 1u);
  cancel_and_start_next(fixture, second_engine);
  fixture.run_for(kSecond);
  ASSERT_NE(second_engine.first_request("POST"), nullptr);
  const ScriptedEngine::ReceivedRequest& last_call = first_engine.received_requests.back();
  EXPECT_EQ(last_call.request.method, "DELETE");
  EXPECT_GE(last_call.received_at, hang->resumes_at());
  EXPECT_GT(second_engine.first_request("POST")->received_at, last_call.received_at);
  fixture.engine_client().cancel({7, 1});
  fixture.run_for(kSecond);
}

// Guards against a next attempt that waits until its request's end: a late result is not used if bytes follow
// it, but it proves that the start was read, so "unknown attempt" then proves the end.
TEST(OrphanedAttempts, LateResultWithTrailingBytesProvesThatItsStartWasRead) {
  PlatformFixture fixture;
  ScriptedEngine& first_engine = fixture.add_engine();
  ScriptedEngine& second_engine = fixture.add_engine();
  second_engine.execution_time_us = 10 * kSecond;
  const TimeUs responds_at = fixture.world().now() + 800 * kMs;
  first_engine.script = [&](const ScriptedEngine::ReceivedRequest& received) {
    if (received.request.method == "GET") return ScriptedResponse{"", 0, false, true};
    if (received.request.method == "DELETE")
      return ScriptedResponse{http::serialize_response(500, {}, "", true)};
    return ScriptedResponse{first_engine.page_response(0) + "noise", responds_at - received.received_at};
  };
  fixture.publish_endpoints();
  start_first(fixture, first_engine);
  fixture.run_for(500 * kMs);
  ASSERT_EQ(fixture.engine_client().counters().starts_overdue, 1u);
  cancel_and_start_next(fixture, second_engine);
  fixture.world().run_until(responds_at);
  EXPECT_EQ(second_engine.request_count("POST"), 0u);
  fixture.run_for(100 * kMs);
  EXPECT_EQ(second_engine.request_count("POST"), 1u);
  fixture.engine_client().cancel({7, 1});
  fixture.run_for(kSecond);
}

// An engine may need longer for its answer than a few calls take.
TEST(OrphanedAttempts, CancellationIsRepeatedUntilItIsConfirmed) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 10 * kSecond;
  constexpr int kUnconfirmedCalls = 8;
  int cancellations = 0;
  engine.script = [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
    if (received.request.method != "DELETE" || ++cancellations > kUnconfirmedCalls) return std::nullopt;
    return ScriptedResponse{http::serialize_response(404, {}, "", true)};
  };
  fixture.publish_endpoints();
  start_first(fixture, engine);
  fixture.run_for(100 * kMs);
  fixture.engine_client().cancel({7, 0});
  fixture.run_for(3 * kSecond);
  EXPECT_EQ(cancellations, kUnconfirmedCalls + 1);
}

// The same engine may be chosen again: its late read of the first start must not be mistaken for the second.
TEST(OrphanedAttempts, NextAttemptOnTheSameEngineWaitsToo) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  const auto hang = std::make_shared<HangBeforeStartScript>(engine, kSecond, 10 * kSecond);
  engine.script = [hang](const ScriptedEngine::ReceivedRequest& received) { return (*hang)(received); };
  fixture.publish_endpoints();
  start_first(fixture, engine);
  fixture.run_for(500 * kMs);
  cancel_and_start_next(fixture, engine);
  fixture.world().run_until(hang->resumes_at());
  EXPECT_EQ(engine.request_count("POST"), 1u);
  fixture.run_for(kSecond);
  EXPECT_EQ(engine.request_count("POST"), 2u);
  fixture.engine_client().cancel({7, 1});
  fixture.run_for(kSecond);
}

// A request that has its final response, for example at a shutdown, sends nothing more when its earlier
// attempt ends.
TEST(OrphanedAttempts, DelayedAttemptThatIsCancelledIsNeverSent) {
  PlatformFixture fixture;
  ScriptedEngine& first_engine = fixture.add_engine();
  ScriptedEngine& second_engine = fixture.add_engine();
  first_engine.execution_time_us = 10 * kSecond;
  first_engine.script = confirm_cancellation_late;
  fixture.publish_endpoints();
  start_first(fixture, first_engine);
  fixture.run_for(100 * kMs);
  cancel_and_start_next(fixture, second_engine);
  fixture.run_for(50 * kMs);
  fixture.engine_client().cancel({7, 1});
  fixture.run_for(5 * kSecond);
  EXPECT_EQ(first_engine.request_count("DELETE"), 1u);
  EXPECT_EQ(second_engine.received_requests.size(), 0u);
}

// A client may repeat its request with the same tag, for example after a disconnect. Engines identify the
// attempts of both requests by this tag.
TEST(OrphanedAttempts, ReusedClientTagWaitsForPreviousAttempt) {
  PlatformFixture fixture;
  ScriptedEngine& first_engine = fixture.add_engine();
  ScriptedEngine& second_engine = fixture.add_engine();
  first_engine.execution_time_us = 10 * kSecond;
  second_engine.execution_time_us = 10 * kSecond;
  first_engine.script = confirm_cancellation_late;
  fixture.publish_endpoints();
  start_first(fixture, first_engine);
  fixture.run_for(100 * kMs);
  fixture.engine_client().cancel({7, 0});
  fixture.engine_client().start({8, 0}, fixture.engine_id(second_engine), make_spec(make_request_id(7)));
  fixture.run_for(kSecond);
  ASSERT_NE(first_engine.first_request("DELETE"), nullptr);
  ASSERT_NE(second_engine.first_request("POST"), nullptr);
  EXPECT_GE(second_engine.first_request("POST")->received_at,
            first_engine.first_request("DELETE")->received_at + 100 * kMs);
  fixture.engine_client().cancel({8, 0});
  fixture.run_for(kSecond);
}

}  // namespace
}  // namespace sablelink::test
