// Attempts on the platform's engines, with a virtual clock: results, retries, cancellation.
#include "platform/engine_client/engine_client.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/engine_client/engine_protocol.h"
#include "platform/pages.h"
#include "tests/platform/engine_client/engine_client_harness.h"
#include "tests/platform/platform_harness.h"

namespace sablelink::test {
namespace {

using ClientResponse = PlatformFixture::ClientResponse;

TEST(EngineClient, ResultOfSeveralPagesIsReturnedComplete) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.result_pages = {"a\t1\tx\nb\t2\t\n", "c\t\"q\"\tz\\\n"};
  fixture.publish_endpoints();
  const std::string text = "SELECT day FROM sales_17.orders WHERE tag = '3f9c'";
  const auto response = fixture.send(PlatformFixture::make_query(make_request_id(1), text));
  fixture.run_for(kSecond);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, R"({"rows":[["a","1","x"],["b","2",""],["c","\"q\"","z\\"]]})");
  const ScriptedEngine::ReceivedRequest* const post = engine.first_request("POST");
  ASSERT_NE(post, nullptr);
  EXPECT_EQ(post->request.target, "/v2/q");
  EXPECT_EQ(post->request.body, text);
  EXPECT_EQ(http::field_value(post->request.fields, "x-ticket"), make_request_id(1));
  EXPECT_EQ(http::field_value(post->request.fields, "x-queue"), "lookup");
  EXPECT_LE(http::parse_decimal(http::field_value(post->request.fields, "x-max-ms"), 100000), 2000);
  EXPECT_EQ(engine.request_count("POST"), 1u);
  EXPECT_EQ(fixture.engine_client().active_attempts(), 0u);
  EXPECT_EQ(fixture.dispatcher().tracked_requests(), 0u);
}

// Engines detect duplicates by the idempotency key and reject requests without one.
TEST(EngineClient, IdempotencyAndOrderingKeysAreForwarded) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  fixture.publish_endpoints();
  const auto response =
      fixture.send(PlatformFixture::make_query(make_request_id(1), "SELECT 1", "lookup", "2000",
                                               {{"Idempotency-Key", "fc9a5e3c"},
                                                {"X-Object", "t-7"},
                                                {"X-Tenant", "south"},
                                                {"X-Cost-Ms", "149.9"},
                                                {"X-Est-Mb", "722"}}));
  const auto unknown_tenant = fixture.send(PlatformFixture::make_query(
      make_request_id(2), "SELECT 1", "lookup", "2000", {{"X-Tenant", "nobody"}}));
  const auto invalid_key = fixture.send(PlatformFixture::make_query(make_request_id(3), "SELECT 1", "lookup",
                                                                    "2000", {{"X-Object", "two words"}}));
  fixture.run_for(kSecond);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(unknown_tenant->status, 400);
  EXPECT_EQ(invalid_key->status, 400);
  ASSERT_EQ(engine.request_count("POST"), 1u);
  EXPECT_EQ(http::field_value(engine.first_request("POST")->request.fields, "x-nonce"), "fc9a5e3c");
  EXPECT_EQ(http::field_value(engine.first_request("POST")->request.fields, "x-ref"), "t-7");
}

TEST(EngineClient, LongQueryIsPolledUntilItCompletes) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 900'000;
  fixture.publish_endpoints();
  const auto response =
      fixture.send(PlatformFixture::make_query(make_request_id(1), "SELECT 1", "report", "9000"));
  fixture.run_for(2 * kSecond);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(engine.request_count("POST"), 1u);
  EXPECT_GE(engine.request_count("GET"), 3u);
}

// An attempt is not tied to a connection: an interrupted call is repeated on another connection.
TEST(EngineClient, DisconnectDuringStartOrResponseCausesNoSecondStart) {
  for (const bool during_start : {true, false}) {
    PlatformFixture fixture;
    ScriptedEngine& engine = fixture.add_engine();
    engine.execution_time_us = 400'000;
    int disconnects = 0;
    engine.script = [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
      const bool is_affected =
          during_start ? received.request.method == "POST" : received.request.target.ends_with("/0");
      if (!is_affected || ++disconnects > 2) return std::nullopt;
      if (during_start) {
        return std::nullopt;  // the attempt starts; below, the connection is reset before the response
      }
      return ScriptedResponse{"HTTP/1.1 20", 0, true, false};
    };
    fixture.publish_endpoints();
    const auto response = fixture.send(PlatformFixture::make_query(make_request_id(1)));
    fixture.run_for(50 * kMs);
    if (during_start) fixture.streams().reset(engine.address());
    fixture.run_for(3 * kSecond);
    EXPECT_EQ(response->status, 200) << during_start;
    EXPECT_EQ(engine.request_count("POST"), 1u) << during_start;
  }
}

// The engine does not receive the start. It responds to the poll, so it is not ejected as an outlier.
TEST(EngineClient, ResetStartsAreRetriedAndEjectNoEngine) {
  PlatformFixture fixture;
  std::vector<ScriptedEngine*> engines;
  for (int i = 0; i < 3; ++i) engines.push_back(&fixture.add_engine());
  std::map<std::string, int> starts_by_tag;
  for (ScriptedEngine* engine : engines)
    engine->script = [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
      if (received.request.method != "POST") return std::nullopt;
      if (starts_by_tag[std::string(http::field_value(received.request.fields, "x-ticket"))]++ > 0)
        return std::nullopt;
      return ScriptedResponse{"", 0, true, false, "", true};  // as if the engine had not received it
    };
  fixture.publish_endpoints();
  std::vector<std::shared_ptr<ClientResponse>> responses;
  for (int i = 1; i <= 40; ++i) {
    responses.push_back(fixture.send(PlatformFixture::make_query(make_request_id(i))));
    fixture.run_for(50 * kMs);
  }
  fixture.run_for(kSecond);
  for (const auto& response : responses) EXPECT_EQ(response->status, 200);
  EXPECT_EQ(fixture.log().count("decision"), 0u);
}

// Guards against two attempts of one request at once after an engine has hung for a moment: it answers a poll
// with "unknown attempt" although it will read the start next.
TEST(EngineClient, UnknownAttemptDoesNotEndItWhileItsStartMayBeUnread) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  const auto hang = std::make_shared<HangBeforeStartScript>(engine, 700 * kMs, 600 * kMs);
  engine.script = [hang](const ScriptedEngine::ReceivedRequest& received) { return (*hang)(received); };
  fixture.publish_endpoints();
  fixture.engine_client().start({7, 0}, fixture.engine_id(engine), make_spec(make_request_id(7)));
  fixture.run_for(690 * kMs);
  ASSERT_GT(engine.request_count("GET"), 0u);
  fixture.world().run_until(hang->completes_at() - kMs);
  EXPECT_EQ(fixture.engine_client().active_attempts(), 1u);
  EXPECT_GT(fixture.engine_client().counters().starts_unread, 0u);
  fixture.world().run_until(hang->completes_at() + 300 * kMs);
  EXPECT_EQ(fixture.engine_client().active_attempts(), 0u);
  EXPECT_EQ(engine.request_count("POST"), 1u);
}

// The statement is executed once, by the engine that hung, and the request is served with its result.
TEST(EngineClient, RequestIsServedByEngineThatHungBeforeItsStart) {
  PlatformFixture fixture;
  std::vector<ScriptedEngine*> engines = {&fixture.add_engine(), &fixture.add_engine()};
  std::vector<std::shared_ptr<HangBeforeStartScript>> hangs;
  for (ScriptedEngine* engine : engines) {
    hangs.push_back(std::make_shared<HangBeforeStartScript>(*engine, 700 * kMs, 100 * kMs));
    engine->script = [hang = hangs.back()](const ScriptedEngine::ReceivedRequest& received) {
      return (*hang)(received);
    };
  }
  fixture.publish_endpoints();
  const auto response =
      fixture.send(PlatformFixture::make_query(make_request_id(1), "SELECT 1", "report", "9000"));
  fixture.run_for(3 * kSecond);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(engines[0]->request_count("POST") + engines[1]->request_count("POST"), 1u);
}

// A late response to the start counts too: it may be the only one, if the statement failed.
TEST(EngineClient, LateResponseToStartEndsTheAttempt) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.script = [](const ScriptedEngine::ReceivedRequest& received) {
    const TimeUs delay = received.request.method == "POST" ? 700 * kMs : 0;
    return ScriptedResponse{http::serialize_response(500, {}, "", true), delay};
  };
  fixture.publish_endpoints();
  fixture.engine_client().start({7, 0}, fixture.engine_id(engine), make_spec(make_request_id(7)));
  fixture.run_for(690 * kMs);
  EXPECT_EQ(fixture.engine_client().active_attempts(), 1u);
  fixture.run_for(20 * kMs);
  EXPECT_EQ(fixture.engine_client().active_attempts(), 0u);
  EXPECT_EQ(fixture.engine_client().counters().starts_overdue, 1u);
}

// A refusal to run that a poll reports proves as little as "unknown attempt" while the start may be unread.
TEST(EngineClient, ShedPollDoesNotEndAttemptWhileItsStartMayBeUnread) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.script = [](const ScriptedEngine::ReceivedRequest& received) {
    if (received.request.method == "POST") return ScriptedResponse{"", 0, false, true};
    return ScriptedResponse{http::serialize_response(503, {{"X-Shed", "1"}}, "", true)};
  };
  fixture.publish_endpoints();
  fixture.engine_client().start({7, 0}, fixture.engine_id(engine), make_spec(make_request_id(7)));
  fixture.run_for(2 * kSecond);
  EXPECT_GT(engine.request_count("GET"), 2u);
  EXPECT_EQ(fixture.engine_client().active_attempts(), 1u);
  fixture.engine_client().cancel({7, 0});
  fixture.run_for(10 * kSecond);
}

// A start that the engine has not read before it closed the connection is never read.
TEST(EngineClient, UnknownAttemptEndsItAfterTheEngineHasClosedTheConnectionOfItsStart) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.script = [](const ScriptedEngine::ReceivedRequest& received) {
    if (received.request.method == "POST") return ScriptedResponse{"", 500 * kMs, true, false, "", true};
    return ScriptedResponse{http::serialize_response(500, {}, "", true)};
  };
  fixture.publish_endpoints();
  fixture.engine_client().start({7, 0}, fixture.engine_id(engine), make_spec(make_request_id(7)));
  fixture.run_for(495 * kMs);
  EXPECT_EQ(fixture.engine_client().active_attempts(), 1u);
  fixture.run_for(300 * kMs);
  EXPECT_EQ(fixture.engine_client().active_attempts(), 0u);
}

TEST(EngineClient, MalformedPagesAreFetchedAgain) {
  const std::vector<std::string> malformed_responses = {
      "HTTP/1.1 200 OK\r\nPage-No: 1\r\nContent-Length: 3221225472\r\n\r\n",
      "\x01\x02\x03 noise\r\n\r\n",
      http::serialize_response(200, {{"Page-No", "1"}}, "two\tcolumns\n", true),
      http::serialize_response(200, {{"Page-No", "1"}}, "a\tb\tno end", true),
      http::serialize_response(200, {{"Page-No", "1"}}, "a\t\xff\xfe\tb\n", true),
      http::serialize_response(200, {{"Page-No", "2"}}, "another\tpage\tx\n", true),
      http::serialize_response(200, {}, "without\ta\tnumber\n", true),
      http::serialize_response(404, {}, "", true),
  };
  for (const std::string& bytes : malformed_responses) {
    PlatformFixture fixture;
    ScriptedEngine& engine = fixture.add_engine();
    engine.result_pages = {"a\t1\tx\n", "b\t2\ty\n"};
    int fetches = 0;
    engine.script = [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
      if (!received.request.target.ends_with("/1") || ++fetches > 1) return std::nullopt;
      return ScriptedResponse{bytes, 0, false, false};
    };
    fixture.publish_endpoints();
    const auto response = fixture.send(PlatformFixture::make_query(make_request_id(1)));
    fixture.run_for(2 * kSecond);
    EXPECT_EQ(response->body, R"({"rows":[["a","1","x"],["b","2","y"]]})") << bytes.substr(0, 60);
    EXPECT_EQ(engine.request_count("POST"), 1u);
  }
}

TEST(EngineClient, OverloadedFailedAndExpiredAttemptsAreRetried) {
  struct Case {
    int status;
    http::Fields fields;
    int expected_starts;  // the first start and its retry
  };
  for (const Case& test_case :
       {Case{503, {{"X-Shed", "1"}}, 2}, Case{500, {}, 2}, Case{504, {{"X-Shed", "1"}}, 2}}) {
    PlatformFixture fixture;
    ScriptedEngine& engine = fixture.add_engine();
    ScriptedEngine& other_engine = fixture.add_engine();
    int starts = 0;
    const auto script =
        [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
      if (received.request.method != "POST" || ++starts > 1) return std::nullopt;
      return ScriptedResponse{http::serialize_response(test_case.status, test_case.fields, "", true)};
    };
    engine.script = script;
    other_engine.script = script;
    fixture.publish_endpoints();
    const auto response = fixture.send(PlatformFixture::make_query(make_request_id(1)));
    fixture.run_for(2 * kSecond);
    EXPECT_EQ(response->status, 200) << test_case.status;
    EXPECT_EQ(engine.request_count("POST") + other_engine.request_count("POST"),
              static_cast<size_t>(test_case.expected_starts))
        << test_case.status;
  }
}

// Whether a decision is still valid is checked immediately before the start is sent.
TEST(EngineClient, SupersededStartIsNotSent) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  fixture.publish_endpoints();
  dispatch::AttemptSpec superseded = make_spec(make_request_id(7));
  dispatch::AttemptSpec valid = make_spec(make_request_id(8));
  superseded.still_valid = [] { return false; };
  valid.still_valid = [] { return true; };
  fixture.engine_client().start({7, 0}, fixture.engine_id(engine), superseded);
  fixture.engine_client().start({8, 0}, fixture.engine_id(engine), valid);
  fixture.run_for(kSecond);
  EXPECT_EQ(engine.request_count("POST"), 1u);
  EXPECT_EQ(fixture.engine_client().active_attempts(), 0u);
}

TEST(EngineClient, ClientDisconnectCancelsItsAttempt) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 3 * kSecond;
  fixture.publish_endpoints();
  fixture.send(PlatformFixture::make_query(make_request_id(1), "SELECT 1", "report", "9000"), 700 * kMs);
  fixture.run_for(2 * kSecond);
  EXPECT_EQ(engine.request_count("DELETE"), 1u);
  EXPECT_EQ(fixture.dispatcher().tracked_requests(), 0u);
  EXPECT_EQ(fixture.http_server().connection_count(), 0u);
}

// Guards against incomplete results that take any amount of memory: the further pages of a result are fetched
// once there is memory for all of them. Meanwhile its engine is asked for it, so that it isn't abandoned.
TEST(EngineClient, ResultsWaitForMemoryWithoutBeingAbandoned) {
  constexpr int kAttempts = 10;
  constexpr size_t kPages = 8;
  constexpr size_t kMaxResultBytes = kPages * platform::kMaxPageBytes;
  PlatformFixture fixture(20, 4, 7, 4 << 20, kMaxResultBytes / 2);
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 10 * kMs;
  engine.result_pages.assign(kPages, "a\t1\tx\n");
  engine.script = [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
    const std::string& target = received.request.target;
    if (received.request.method != "GET" || target.ends_with("/0")) return std::nullopt;
    return ScriptedResponse{engine.page_response(std::stoul(target.substr(target.rfind('/') + 1))),
                            100 * kMs};
  };
  fixture.publish_endpoints();
  for (int i = 1; i <= kAttempts; ++i)
    fixture.engine_client().start({static_cast<RequestId>(i), 0}, fixture.engine_id(engine),
                                  make_spec(make_request_id(i), 60 * kSecond));
  fixture.run_for(10 * kSecond);
  EXPECT_EQ(fixture.engine_client().active_attempts(), 0u);
  EXPECT_EQ(fixture.engine_client().counters().results_delayed, static_cast<uint64_t>(kAttempts - 1));
  EXPECT_EQ(fixture.result_memory().peak_bytes(), kMaxResultBytes);
  EXPECT_EQ(fixture.result_memory().used_bytes(), 0u);
  EXPECT_EQ(engine.request_count("DELETE"), 0u);
  for (int i = 1; i <= kAttempts; ++i) {
    const std::string tag = make_request_id(i);
    TimeUs last_call_at = 0;
    size_t fetched_pages = 0;
    for (const ScriptedEngine::ReceivedRequest& received : engine.received_requests) {
      const bool is_start = http::field_value(received.request.fields, "x-ticket") == tag;
      if (!is_start && received.request.target.find(tag) == std::string::npos) continue;
      const TimeUs unasked_for = last_call_at > 0 ? received.received_at - last_call_at : 0;
      EXPECT_LT(unasked_for, platform::kAbandonTimeoutUs) << tag;
      last_call_at = received.received_at;
      fetched_pages += !is_start && !received.request.target.ends_with("/0");
    }
    EXPECT_EQ(fetched_pages, kPages - 1) << tag;
  }
}

// A result that waits for memory leaves its place to the next one when its request is cancelled.
TEST(EngineClient, CancelledResultNoLongerWaitsForMemory) {
  constexpr size_t kPages = 2;
  PlatformFixture fixture(20, 4, 7, 4 << 20, platform::kMaxPageBytes);
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 10 * kMs;
  engine.result_pages.assign(kPages, "a\t1\tx\n");
  bool is_last_page_withheld = true;
  engine.script = [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
    if (!is_last_page_withheld || !received.request.target.ends_with("/1")) return std::nullopt;
    return ScriptedResponse{"", 0, false, true};
  };
  fixture.publish_endpoints();
  for (const int number : {1, 2, 3}) {
    fixture.engine_client().start({static_cast<RequestId>(number), 0}, fixture.engine_id(engine),
                                  make_spec(make_request_id(number), 60 * kSecond));
    fixture.run_for(50 * kMs);
  }
  ASSERT_EQ(fixture.engine_client().counters().results_delayed, 2u);
  fixture.engine_client().cancel({2, 0});
  is_last_page_withheld = false;
  fixture.engine_client().cancel({1, 0});
  fixture.run_for(100 * kMs);
  EXPECT_EQ(fixture.engine_client().active_attempts(), 0u);
  EXPECT_EQ(engine.request_count("GET /v2/q/" + make_request_id(2) + "/1"), 0u);
  EXPECT_EQ(engine.request_count("GET /v2/q/" + make_request_id(3) + "/1"), 1u);
  EXPECT_EQ(fixture.result_memory().used_bytes(), 0u);
}

}  // namespace
}  // namespace sablelink::test
