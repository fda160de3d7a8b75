// Attempts at the platform's engines on a virtual clock: results, retries, cancellation.
#include "platform/engine_client/engine_client.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/platform/engine_client/engine_client_harness.h"
#include "tests/platform/platform_harness.h"

namespace sablelink::test {
namespace {

using Answer = PlatformBench::Answer;

TEST(EngineClient, ResultOfSeveralPagesIsReturnedComplete) {
  PlatformBench bench;
  ScriptedNode& engine = bench.add_node();
  engine.pages = {"a\t1\tx\nb\t2\t\n", "c\t\"q\"\tz\\\n"};
  bench.tell();
  const std::string text = "SELECT day FROM sales_17.orders WHERE tag = '3f9c'";
  const auto response = bench.start(PlatformBench::statement(id_number(1), text));
  bench.run_for(kSecond);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, R"({"rows":[["a","1","x"],["b","2",""],["c","\"q\"","z\\"]]})");
  const ScriptedNode::Seen* const post = engine.first("POST");
  ASSERT_NE(post, nullptr);
  EXPECT_EQ(post->request.target, "/v2/q");
  EXPECT_EQ(post->request.body, text);
  EXPECT_EQ(http::find(post->request.fields, "x-ticket"), id_number(1));
  EXPECT_EQ(http::find(post->request.fields, "x-queue"), "lookup");
  EXPECT_LE(http::whole_number(http::find(post->request.fields, "x-max-ms"), 100000), 2000);
  EXPECT_EQ(engine.count("POST"), 1u);
  EXPECT_EQ(bench.nodes().active_attempts(), 0u);
  EXPECT_EQ(bench.dispatcher().tracked_requests(), 0u);
}

// Engines drop duplicates by the idempotency key and reject a request that comes without it.
TEST(EngineClient, IdempotencyAndOrderingKeysAreForwarded) {
  PlatformBench bench;
  ScriptedNode& engine = bench.add_node();
  bench.tell();
  const auto response = bench.start(PlatformBench::statement(id_number(1), "SELECT 1", "lookup", "2000",
                                                             {{"Idempotency-Key", "fc9a5e3c"},
                                                              {"X-Object", "t-7"},
                                                              {"X-Tenant", "south"},
                                                              {"X-Cost-Ms", "149.9"},
                                                              {"X-Est-Mb", "722"}}));
  const auto unknown_tenant = bench.start(
      PlatformBench::statement(id_number(2), "SELECT 1", "lookup", "2000", {{"X-Tenant", "nobody"}}));
  const auto invalid_key = bench.start(
      PlatformBench::statement(id_number(3), "SELECT 1", "lookup", "2000", {{"X-Object", "two words"}}));
  bench.run_for(kSecond);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(unknown_tenant->status, 400);
  EXPECT_EQ(invalid_key->status, 400);
  ASSERT_EQ(engine.count("POST"), 1u);
  EXPECT_EQ(http::find(engine.first("POST")->request.fields, "x-nonce"), "fc9a5e3c");
  EXPECT_EQ(http::find(engine.first("POST")->request.fields, "x-ref"), "t-7");
}

TEST(EngineClient, LongQueryIsPolledUntilItCompletes) {
  PlatformBench bench;
  ScriptedNode& engine = bench.add_node();
  engine.work_us = 900'000;
  bench.tell();
  const auto response = bench.start(PlatformBench::statement(id_number(1), "SELECT 1", "report", "9000"));
  bench.run_for(2 * kSecond);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(engine.count("POST"), 1u);
  EXPECT_GE(engine.count("GET"), 3u);
}

// An attempt is not bound to a connection: an interrupted call is repeated on another one.
TEST(EngineClient, DisconnectDuringStartOrResponseCausesNoSecondStart) {
  for (const bool during_start : {true, false}) {
    PlatformBench bench;
    ScriptedNode& engine = bench.add_node();
    engine.work_us = 400'000;
    int disconnects = 0;
    engine.script = [&](const ScriptedNode::Seen& received) -> std::optional<NodeReply> {
      const bool is_affected =
          during_start ? received.request.method == "POST" : received.request.target.ends_with("/0");
      if (!is_affected || ++disconnects > 2) return std::nullopt;
      if (during_start) {
        return std::nullopt;  // started; the connection is reset before the response, below
      }
      return NodeReply{"HTTP/1.1 20", 0, true, false};
    };
    bench.tell();
    const auto response = bench.start(PlatformBench::statement(id_number(1)));
    bench.run_for(50 * kMs);
    if (during_start) bench.streams().reset(engine.address());
    bench.run_for(3 * kSecond);
    EXPECT_EQ(response->status, 200) << during_start;
    EXPECT_EQ(engine.count("POST"), 1u) << during_start;
  }
}

// The start never reached the engine. The engine responds to the poll, so it is not an outlier.
TEST(EngineClient, ResetStartsAreRetriedAndEjectNoEngine) {
  PlatformBench bench;
  std::vector<ScriptedNode*> engines;
  for (int i = 0; i < 3; ++i) engines.push_back(&bench.add_node());
  std::map<std::string, int> starts_by_tag;
  for (ScriptedNode* engine : engines)
    engine->script = [&](const ScriptedNode::Seen& received) -> std::optional<NodeReply> {
      if (received.request.method != "POST") return std::nullopt;
      if (starts_by_tag[std::string(http::find(received.request.fields, "x-ticket"))]++ > 0)
        return std::nullopt;
      return NodeReply{"", 0, true, false, "", true};  // as if the engine had not read it
    };
  bench.tell();
  std::vector<std::shared_ptr<Answer>> responses;
  for (int i = 1; i <= 40; ++i) {
    responses.push_back(bench.start(PlatformBench::statement(id_number(i))));
    bench.run_for(50 * kMs);
  }
  bench.run_for(kSecond);
  for (const auto& response : responses) EXPECT_EQ(response->status, 200);
  EXPECT_EQ(bench.log().count("decision"), 0u);
}

TEST(EngineClient, MalformedPagesAreFetchedAgain) {
  const std::vector<std::string> malformed_responses = {
      "HTTP/1.1 200 OK\r\nPage-No: 1\r\nContent-Length: 3221225472\r\n\r\n",
      "\x01\x02\x03 noise\r\n\r\n",
      http::write_response(200, {{"Page-No", "1"}}, "two\tcolumns\n", true),
      http::write_response(200, {{"Page-No", "1"}}, "a\tb\tno end", true),
      http::write_response(200, {{"Page-No", "1"}}, "a\t\xff\xfe\tb\n", true),
      http::write_response(200, {{"Page-No", "2"}}, "another\tpage\tx\n", true),
      http::write_response(200, {}, "without\ta\tnumber\n", true),
      http::write_response(404, {}, "", true),
  };
  for (const std::string& bytes : malformed_responses) {
    PlatformBench bench;
    ScriptedNode& engine = bench.add_node();
    engine.pages = {"a\t1\tx\n", "b\t2\ty\n"};
    int fetches = 0;
    engine.script = [&](const ScriptedNode::Seen& received) -> std::optional<NodeReply> {
      if (!received.request.target.ends_with("/1") || ++fetches > 1) return std::nullopt;
      return NodeReply{bytes, 0, false, false};
    };
    bench.tell();
    const auto response = bench.start(PlatformBench::statement(id_number(1)));
    bench.run_for(2 * kSecond);
    EXPECT_EQ(response->body, R"({"rows":[["a","1","x"],["b","2","y"]]})") << bytes.substr(0, 60);
    EXPECT_EQ(engine.count("POST"), 1u);
  }
}

TEST(EngineClient, OverloadedFailedAndExpiredAttemptsAreRetried) {
  struct Case {
    int status;
    http::Fields fields;
    int expected_starts;  // the first one and its retry
  };
  for (const Case& test_case :
       {Case{503, {{"X-Shed", "1"}}, 2}, Case{500, {}, 2}, Case{504, {{"X-Shed", "1"}}, 2}}) {
    PlatformBench bench;
    ScriptedNode& engine = bench.add_node();
    ScriptedNode& other_engine = bench.add_node();
    int starts = 0;
    const auto script = [&](const ScriptedNode::Seen& received) -> std::optional<NodeReply> {
      if (received.request.method != "POST" || ++starts > 1) return std::nullopt;
      return NodeReply{http::write_response(test_case.status, test_case.fields, "", true)};
    };
    engine.script = script;
    other_engine.script = script;
    bench.tell();
    const auto response = bench.start(PlatformBench::statement(id_number(1)));
    bench.run_for(2 * kSecond);
    EXPECT_EQ(response->status, 200) << test_case.status;
    EXPECT_EQ(engine.count("POST") + other_engine.count("POST"),
              static_cast<size_t>(test_case.expected_starts))
        << test_case.status;
  }
}

// Whether a decision still holds is checked right before the first byte is sent.
TEST(EngineClient, SupersededStartIsNotSent) {
  PlatformBench bench;
  ScriptedNode& engine = bench.add_node();
  bench.tell();
  dispatch::AttemptSpec superseded = make_spec(id_number(7));
  dispatch::AttemptSpec valid = make_spec(id_number(8));
  superseded.still_valid = [] { return false; };
  valid.still_valid = [] { return true; };
  bench.nodes().start({7, 0}, bench.id_of(engine), superseded);
  bench.nodes().start({8, 0}, bench.id_of(engine), valid);
  bench.run_for(kSecond);
  EXPECT_EQ(engine.count("POST"), 1u);
  EXPECT_EQ(bench.nodes().active_attempts(), 0u);
}

TEST(EngineClient, ClientDisconnectCancelsItsAttempt) {
  PlatformBench bench;
  ScriptedNode& engine = bench.add_node();
  engine.work_us = 3 * kSecond;
  bench.tell();
  bench.start(PlatformBench::statement(id_number(1), "SELECT 1", "report", "9000"), 700 * kMs);
  bench.run_for(2 * kSecond);
  EXPECT_EQ(engine.count("DELETE"), 1u);
  EXPECT_EQ(bench.dispatcher().tracked_requests(), 0u);
  EXPECT_EQ(bench.front().connections(), 0u);
}

}  // namespace
}  // namespace sablelink::test
