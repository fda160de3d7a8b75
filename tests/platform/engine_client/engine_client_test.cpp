// Attempts at the platform's engines on a virtual clock: complete responses through disconnects, attempts
// that never overlap.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "platform/pages.h"
#include "rpc/asio_loop.h"
#include "rpc/tcp_stream.h"
#include "sql/table_group.h"
#include "tests/platform/platform_harness.h"

namespace sablelink::test {
namespace {

using ClientResponse = PlatformFixture::ClientResponse;

dispatch::AttemptSpec order(const std::string& id) {
  dispatch::Statement statement;
  statement.text = "SELECT 1";
  statement.client_tag = id;
  dispatch::AttemptSpec out;
  out.statement = std::make_shared<const dispatch::Statement>(statement);
  out.remaining_us = 5 * kSecond;
  return out;
}

// A DELETE is confirmed 100 ms after it came; all else is as usual.
std::optional<ScriptedResponse> slow_delete(const ScriptedEngine::ReceivedRequest& s) {
  if (s.request.method != "DELETE") return std::nullopt;
  return ScriptedResponse{http::write_response(204, {}, "", true), 100 * kMs};
}

// ---- Whole answers ---------------------------------------------------------------------------------------

TEST(Platform, AStatementComesBackWhole) {
  PlatformFixture b;
  ScriptedEngine& node = b.add_engine();
  node.result_pages = {"a\t1\tx\nb\t2\t\n", "c\t\"q\"\tz\\\n"};
  b.publish_endpoints();
  const std::string text = "SELECT day FROM sales_17.orders WHERE tag = '3f9c'";
  const auto answer = b.send(PlatformFixture::make_query(make_request_id(1), text));
  b.run_for(kSecond);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->body, R"({"rows":[["a","1","x"],["b","2",""],["c","\"q\"","z\\"]]})");
  const ScriptedEngine::ReceivedRequest* const post = node.first_request("POST");
  ASSERT_NE(post, nullptr);
  EXPECT_EQ(post->request.target, "/v2/q");
  EXPECT_EQ(post->request.body, text);
  EXPECT_EQ(http::find(post->request.fields, "x-ticket"), make_request_id(1));
  EXPECT_EQ(http::find(post->request.fields, "x-queue"), "lookup");
  EXPECT_LE(http::parse_decimal(http::find(post->request.fields, "x-max-ms"), 100000), 2000);
  EXPECT_EQ(node.request_count("POST"), 1u);
  EXPECT_EQ(b.engine_client().active_attempts(), 0u);
  EXPECT_EQ(b.dispatcher().tracked_requests(), 0u);
}

// Nodes drop repeats by the client's key, and refuse a request that comes without it.
TEST(Platform, AClientsKeysGoAlongWithItsStatement) {
  PlatformFixture b;
  ScriptedEngine& node = b.add_engine();
  b.publish_endpoints();
  const auto answer = b.send(PlatformFixture::make_query(make_request_id(1), "SELECT 1", "lookup", "2000",
                                                         {{"Idempotency-Key", "fc9a5e3c"},
                                                          {"X-Object", "t-7"},
                                                          {"X-Tenant", "south"},
                                                          {"X-Cost-Ms", "149.9"},
                                                          {"X-Est-Mb", "722"}}));
  const auto stranger = b.send(PlatformFixture::make_query(make_request_id(2), "SELECT 1", "lookup", "2000",
                                                           {{"X-Tenant", "nobody"}}));
  const auto broken = b.send(PlatformFixture::make_query(make_request_id(3), "SELECT 1", "lookup", "2000",
                                                         {{"X-Object", "two words"}}));
  b.run_for(kSecond);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(stranger->status, 400);
  EXPECT_EQ(broken->status, 400);
  ASSERT_EQ(node.request_count("POST"), 1u);
  EXPECT_EQ(http::find(node.first_request("POST")->request.fields, "x-nonce"), "fc9a5e3c");
  EXPECT_EQ(http::find(node.first_request("POST")->request.fields, "x-ref"), "t-7");
}

TEST(Platform, ALongQueryIsAskedForUntilItEnds) {
  PlatformFixture b;
  ScriptedEngine& node = b.add_engine();
  node.execution_time_us = 900'000;
  b.publish_endpoints();
  const auto answer = b.send(PlatformFixture::make_query(make_request_id(1), "SELECT 1", "report", "9000"));
  b.run_for(2 * kSecond);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(node.request_count("POST"), 1u);
  EXPECT_GE(node.request_count("GET"), 3u);
}

// A query does not belong to a connection: what broke is asked for, and nothing runs twice.
TEST(Platform, ABreakUnderAStartOrAnAnswerIsMended) {
  for (const bool at_post : {true, false}) {
    PlatformFixture b;
    ScriptedEngine& node = b.add_engine();
    node.execution_time_us = 400'000;
    int breaks = 0;
    node.script = [&](const ScriptedEngine::ReceivedRequest& s) -> std::optional<ScriptedResponse> {
      const bool hit = at_post ? s.request.method == "POST" : s.request.target.ends_with("/0");
      if (!hit || ++breaks > 2) return std::nullopt;
      if (at_post) {
        return std::nullopt;  // read and begun; the connection breaks before a word of it, below
      }
      return ScriptedResponse{"HTTP/1.1 20", 0, true, false};
    };
    b.publish_endpoints();
    const auto answer = b.send(PlatformFixture::make_query(make_request_id(1)));
    b.run_for(50 * kMs);
    if (at_post) b.streams().reset(node.address());
    b.run_for(3 * kSecond);
    EXPECT_EQ(answer->status, 200) << at_post;
    EXPECT_EQ(node.request_count("POST"), 1u) << at_post;
  }
}

// The start never reached the node: the request is tried again, and the node, which answers, stays in
// service.
TEST(Platform, ResetsWhileRequestsComeTakeNoNodeOut) {
  PlatformFixture b;
  std::vector<ScriptedEngine*> nodes;
  for (int i = 0; i < 3; ++i) nodes.push_back(&b.add_engine());
  std::map<std::string, int> tries;
  for (ScriptedEngine* node : nodes)
    node->script = [&](const ScriptedEngine::ReceivedRequest& s) -> std::optional<ScriptedResponse> {
      if (s.request.method != "POST") return std::nullopt;
      if (tries[std::string(http::find(s.request.fields, "x-ticket"))]++ > 0) return std::nullopt;
      return ScriptedResponse{"", 0, true, false, "", true};  // as if it had not been read
    };
  b.publish_endpoints();
  std::vector<std::shared_ptr<ClientResponse>> answers;
  for (int i = 1; i <= 40; ++i) {
    answers.push_back(b.send(PlatformFixture::make_query(make_request_id(i))));
    b.run_for(50 * kMs);
  }
  b.run_for(kSecond);
  for (const auto& answer : answers) EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(b.log().count("decision"), 0u);
}

TEST(Platform, SpoiltPagesAreAskedForAgain) {
  const std::vector<std::string> spoilt = {
      "HTTP/1.1 200 OK\r\nPage-No: 1\r\nContent-Length: 3221225472\r\n\r\n",
      "\x01\x02\x03 noise\r\n\r\n",
      http::write_response(200, {{"Page-No", "1"}}, "two\tcolumns\n", true),
      http::write_response(200, {{"Page-No", "1"}}, "a\tb\tno end", true),
      http::write_response(200, {{"Page-No", "1"}}, "a\t\xff\xfe\tb\n", true),
      http::write_response(200, {{"Page-No", "2"}}, "another\tpage\tx\n", true),
      http::write_response(200, {}, "without\ta\tnumber\n", true),
      http::write_response(404, {}, "", true),
  };
  for (const std::string& bytes : spoilt) {
    PlatformFixture b;
    ScriptedEngine& node = b.add_engine();
    node.result_pages = {"a\t1\tx\n", "b\t2\ty\n"};
    int times = 0;
    node.script = [&](const ScriptedEngine::ReceivedRequest& s) -> std::optional<ScriptedResponse> {
      if (!s.request.target.ends_with("/1") || ++times > 1) return std::nullopt;
      return ScriptedResponse{bytes, 0, false, false};
    };
    b.publish_endpoints();
    const auto answer = b.send(PlatformFixture::make_query(make_request_id(1)));
    b.run_for(2 * kSecond);
    EXPECT_EQ(answer->body, R"({"rows":[["a","1","x"],["b","2","y"]]})") << bytes.substr(0, 60);
    EXPECT_EQ(node.request_count("POST"), 1u);
  }
}

// An answer that never comes is asked for again well before its client has lost patience, and a process that
// has stood still doesn't take answers that wait to be read for missing.
TEST(Platform, AnAnswerThatNeverComesIsAskedForAgain) {
  PlatformFixture b;
  ScriptedEngine& node = b.add_engine();
  node.result_pages = {"a\t1\tx\n", "b\t2\ty\n"};
  int pages = 0;
  node.script = [&](const ScriptedEngine::ReceivedRequest& s) -> std::optional<ScriptedResponse> {
    if (!s.request.target.ends_with("/1") || ++pages > 1) return std::nullopt;
    return ScriptedResponse{"", 0, false, true};
  };
  b.publish_endpoints();
  const auto answer = b.send(PlatformFixture::make_query(make_request_id(1)));
  b.run_for(400 * kMs);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(pages, 2);
}

// On sockets, since there what waits to be read and what is due show together.
TEST(Platform, AfterAStandstillAnswersAreReadBeforeTheyAreMissed) {
  const auto wall = [] { return std::chrono::system_clock::now(); };
  const auto steady = [] { return std::chrono::steady_clock::now(); };
  rpc::AsioLoop there(wall, steady), here(wall, steady);
  auto far = std::make_unique<rpc::TcpNet>(there), net = std::make_unique<rpc::TcpNet>(here);
  std::atomic<int> asked{0};
  config::EngineConfig node;
  node.name = "n";
  node.address =
      "127.0.0.1:" + std::to_string(far->listen("127.0.0.1:0", [&](auto stream) -> rpc::Awaitable<void> {
        for (;;) {
          const std::optional<std::string> bytes = co_await stream->read(4096);
          if (!bytes || bytes->empty()) co_return;
          ++asked;
          co_await sleep_for(there, 100 * kMs);
          const std::string answer = http::write_response(200, {{"Page-Count", "1"}}, "a\tb\tc\n", true);
          co_await rpc::write_all(*stream, answer);
        }
      }));
  membership::EndpointRegistry directory;
  directory.replace({node});
  platform::EngineClientOptions options;
  options.budget.engines = 4;
  options.class_names = {"lookup"};
  auto nodes = std::make_unique<platform::EngineClient>(options, *net, here, directory);
  struct NoLists : dispatch::EndpointSource {
    void watch(bool) override {}
    void fetch() override {}
  } lists;
  NullLog log;
  dispatch::RequestDispatcher dispatcher(plain_settings(), 7, {}, here, *nodes, lists, log);
  nodes->set_dispatcher(&dispatcher);
  nodes->on_endpoints_changed();
  nodes->start({7, 0}, directory.endpoints()[0].engine, order(make_request_id(7)));
  std::thread node_thread([&] { there.run(); });
  // Stands still as soon as the call has left, well past the time at which it is given up.
  bool stood = false;
  std::function<void()> look = [&] {
    if (!stood && nodes->counters().calls_sent > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(600));
      stood = true;
    }
    if (stood && nodes->active_attempts() == 0) return here.stop();
    here.call_after(kMs, [&] { look(); });
  };
  here.call_after(0, [&] { look(); });
  here.run();
  EXPECT_EQ(nodes->counters().calls_timed_out, 0u);
  EXPECT_EQ(asked, 1);
  nodes.reset();
  net.reset();
  here.poll();
  there.stop();
  node_thread.join();
  far.reset();
  there.poll();
}

// A second copy of an answer must not be taken for the next call's.
TEST(Platform, WhatFollowsAnAnswerEndsItsConnection) {
  for (const bool late : {false, true}) {
    PlatformFixture b(20, 1);
    ScriptedEngine& node = b.add_engine();
    node.script = [&](const ScriptedEngine::ReceivedRequest& s) -> std::optional<ScriptedResponse> {
      if (s.request.method != "POST" || s.connection_number > 1) return std::nullopt;
      const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n", copy = node.page_response(0);
      return ScriptedResponse{interim + copy + (late ? "" : copy), 0, false, false, late ? copy : ""};
    };
    b.publish_endpoints();
    std::vector<std::shared_ptr<ClientResponse>> answers;
    for (int i = 1; i <= 2; ++i) answers.push_back(b.send(PlatformFixture::make_query(make_request_id(i))));
    b.run_for(kSecond);
    node.script = nullptr;
    for (const auto& answer : answers) EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(node.request_count("POST"), 2u);
    EXPECT_EQ(node.received_requests.back().connection_number, 2);
  }
}

TEST(Platform, ANodeThatRefusesConnectionsLosesItsTurn) {
  PlatformFixture b;
  ScriptedEngine& dead = b.add_engine();
  ScriptedEngine& alive = b.add_engine();
  b.publish_endpoints();
  b.streams().unlisten(dead.address());
  std::vector<std::shared_ptr<ClientResponse>> answers;
  for (int i = 1; i <= 6; ++i) answers.push_back(b.send(PlatformFixture::make_query(make_request_id(i))));
  b.run_for(2 * kSecond);
  for (const auto& answer : answers) EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(alive.request_count("POST"), 6u);
}

TEST(Platform, FullErrorAndExpiredAreToldApart) {
  struct Case {
    int status;
    http::Fields fields;
    int posts;  // further attempts wherever it may be tried again
  };
  for (const Case& c : {Case{503, {{"X-Shed", "1"}}, 2}, Case{500, {}, 2}, Case{504, {{"X-Shed", "1"}}, 2}}) {
    PlatformFixture b;
    ScriptedEngine& node = b.add_engine();
    ScriptedEngine& other = b.add_engine();
    int times = 0;
    const auto script = [&](const ScriptedEngine::ReceivedRequest& s) -> std::optional<ScriptedResponse> {
      if (s.request.method != "POST" || ++times > 1) return std::nullopt;
      return ScriptedResponse{http::write_response(c.status, c.fields, "", true)};
    };
    node.script = other.script = script;
    b.publish_endpoints();
    const auto answer = b.send(PlatformFixture::make_query(make_request_id(1)));
    b.run_for(2 * kSecond);
    EXPECT_EQ(answer->status, 200) << c.status;
    EXPECT_EQ(node.request_count("POST") + other.request_count("POST"), static_cast<size_t>(c.posts))
        << c.status;
  }
}

// ---- Attempts and rules ----------------------------------------------------------------------------------

// Rule 2: where second copies aren't allowed the next attempt reaches its node only once the one before is
// known to be given up.
TEST(Platform, TheNextAttemptWaitsUntilTheOneBeforeIsGivenUp) {
  PlatformFixture b;
  ScriptedEngine& a = b.add_engine();
  ScriptedEngine& c = b.add_engine();
  a.execution_time_us = c.execution_time_us = 10 * kSecond;
  a.script = slow_delete;
  b.publish_endpoints();
  b.engine_client().start({7, 0}, b.engine_id(a), order(make_request_id(7)));
  b.run_for(300 * kMs);
  ASSERT_EQ(a.request_count("POST"), 1u);
  b.engine_client().cancel({7, 0});
  b.engine_client().start({7, 1}, b.engine_id(c), order(make_request_id(7)));
  b.run_for(kSecond);
  ASSERT_NE(a.first_request("DELETE"), nullptr);
  ASSERT_NE(c.first_request("POST"), nullptr);
  EXPECT_GE(c.first_request("POST")->received_at, a.first_request("DELETE")->received_at + 100 * kMs);
  b.engine_client().cancel({7, 1});
  b.run_for(kSecond);
}

// On a connection of its own a DELETE could overtake the POST that it is to end.
TEST(Platform, NoDeleteLeavesRightBehindItsPost) {
  PlatformFixture b;
  ScriptedEngine& a = b.add_engine();
  ScriptedEngine& c = b.add_engine();
  a.execution_time_us = c.execution_time_us = 10 * kSecond;
  int deletes = 0;
  a.script = [&](const ScriptedEngine::ReceivedRequest& s) -> std::optional<ScriptedResponse> {
    if (s.request.method != "DELETE" || ++deletes > 1) return std::nullopt;
    return ScriptedResponse{http::write_response(404, {}, "", true)};  // no word on the query
  };
  b.publish_endpoints();
  b.engine_client().start({7, 0}, b.engine_id(a), order(make_request_id(7)));
  while (a.request_count("POST") == 0) b.run_for(kMs);
  b.engine_client().cancel({7, 0});
  b.engine_client().start({7, 1}, b.engine_id(c), order(make_request_id(7)));
  b.run_for(kSecond);
  ASSERT_EQ(a.request_count("DELETE"), 2u);
  EXPECT_GE(a.first_request("DELETE")->received_at, a.first_request("POST")->received_at + 25 * kMs);
  ASSERT_NE(c.first_request("POST"), nullptr);
  EXPECT_GT(c.first_request("POST")->received_at, a.received_requests.back().received_at);
  b.engine_client().cancel({7, 1});
  b.run_for(kSecond);
}

TEST(Platform, OfASilentNodeTheNextAttemptWaitsUntilItHasLetGo) {
  PlatformFixture b;
  ScriptedEngine& a = b.add_engine();
  ScriptedEngine& c = b.add_engine();
  c.execution_time_us = 10 * kSecond;
  a.script = [](const ScriptedEngine::ReceivedRequest&) { return ScriptedResponse{"", 0, false, true}; };
  b.publish_endpoints();
  b.engine_client().start({7, 0}, b.engine_id(a), order(make_request_id(7)));
  b.run_for(300 * kMs);
  b.engine_client().cancel({7, 0});
  b.engine_client().start({7, 1}, b.engine_id(c), order(make_request_id(7)));
  b.run_for(5 * kSecond);
  ASSERT_NE(c.first_request("POST"), nullptr);
  TimeUs last_asked = 0;
  for (const auto& s : a.received_requests)
    if (s.request.method != "DELETE") last_asked = s.received_at;
  // The node may have held the last call for 250 ms, and counts from the end of that.
  EXPECT_GE(c.first_request("POST")->received_at, last_asked + 2250 * kMs);
  b.engine_client().cancel({7, 1});
  b.run_for(kSecond);
}

// Rule 3: a send that has waited for a connection isn't made after the news of the drain.
TEST(Platform, NothingStartsOnANodeThatIsLeaving) {
  PlatformFixture b;
  ScriptedEngine& a = b.add_engine();
  ScriptedEngine& c = b.add_engine();
  b.publish_endpoints();
  a.execution_time_us = c.execution_time_us = 10 * kSecond;
  a.script = slow_delete;
  b.engine_client().start({7, 0}, b.engine_id(a), order(make_request_id(7)));
  b.run_for(100 * kMs);
  b.engine_client().cancel({7, 0});
  b.engine_client().start({7, 1}, b.engine_id(c), order(make_request_id(7)));
  b.publish_endpoints({{c.address(), EndpointState::kDraining}});
  b.run_for(2 * kSecond);
  EXPECT_EQ(c.request_count("POST"), 0u);
}

// A node with as many connections as it bears refuses more: what it runs goes on.
TEST(Platform, ARefusedConnectionEndsNothingThatRuns) {
  PlatformFixture b;
  ScriptedEngine& a = b.add_engine();
  ScriptedEngine& c = b.add_engine();
  a.execution_time_us = c.execution_time_us = 10 * kSecond;
  a.script = slow_delete;
  b.publish_endpoints();
  b.engine_client().start({7, 0}, b.engine_id(a), order(make_request_id(7)));
  b.run_for(100 * kMs);
  ASSERT_EQ(a.request_count("POST"), 1u);
  b.streams().unlisten(a.address());
  b.engine_client().cancel({7, 0});  // its DELETE needs a connection of its own, which is refused
  b.engine_client().start({7, 1}, b.engine_id(c), order(make_request_id(7)));
  b.run_for(2 * kSecond);
  ASSERT_NE(a.first_request("DELETE"), nullptr);
  ASSERT_NE(c.first_request("POST"), nullptr);
  EXPECT_GE(c.first_request("POST")->received_at, a.first_request("DELETE")->received_at + 100 * kMs);
  b.engine_client().cancel({7, 1});
  b.run_for(kSecond);
}

// The node hasn't read the start yet: that it knows of no such query proves nothing.
TEST(Platform, AnUnknownQueryWhoseStartIsUnansweredIsNotGivenUp) {
  PlatformFixture b;
  ScriptedEngine& a = b.add_engine();
  ScriptedEngine& c = b.add_engine();
  c.execution_time_us = 10 * kSecond;
  a.script = [&](const ScriptedEngine::ReceivedRequest& s) -> std::optional<ScriptedResponse> {
    if (s.request.method == "POST")
      return ScriptedResponse{http::write_response(202, {}, "", true), 300 * kMs};
    return ScriptedResponse{http::write_response(
        s.received_at < a.received_requests[0].received_at + 300 * kMs ? 500 : 204, {}, "", true)};
  };
  b.publish_endpoints();
  b.engine_client().start({7, 0}, b.engine_id(a), order(make_request_id(7)));
  while (a.request_count("POST") == 0) b.run_for(kMs);
  b.engine_client().cancel({7, 0});
  b.engine_client().start({7, 1}, b.engine_id(c), order(make_request_id(7)));
  b.run_for(3 * kSecond);
  ASSERT_NE(c.first_request("POST"), nullptr);
  EXPECT_GE(c.first_request("POST")->received_at, a.first_request("POST")->received_at + 300 * kMs);
  b.engine_client().cancel({7, 1});
  b.run_for(kSecond);
}

// The same client's id again, as after a connection that broke: nodes know both attempts by it.
TEST(Platform, AnIdThatComesAgainWaitsForItsFormerAttempt) {
  PlatformFixture b;
  ScriptedEngine& a = b.add_engine();
  ScriptedEngine& c = b.add_engine();
  a.execution_time_us = c.execution_time_us = 10 * kSecond;
  a.script = slow_delete;
  b.publish_endpoints();
  b.engine_client().start({7, 0}, b.engine_id(a), order(make_request_id(7)));
  b.run_for(100 * kMs);
  b.engine_client().cancel({7, 0});
  b.engine_client().start({8, 0}, b.engine_id(c), order(make_request_id(7)));
  b.run_for(kSecond);
  ASSERT_NE(a.first_request("DELETE"), nullptr);
  ASSERT_NE(c.first_request("POST"), nullptr);
  EXPECT_GE(c.first_request("POST")->received_at, a.first_request("DELETE")->received_at + 100 * kMs);
  b.engine_client().cancel({8, 0});
  b.run_for(kSecond);
}

// What was decided is asked for again where its first byte leaves.
TEST(Platform, AStartThatMayNoLongerLeaveIsNotSent) {
  PlatformFixture b;
  ScriptedEngine& node = b.add_engine();
  b.publish_endpoints();
  dispatch::AttemptSpec held = order(make_request_id(7)), free = order(make_request_id(8));
  held.still_valid = [] { return false; };
  free.still_valid = [] { return true; };
  b.engine_client().start({7, 0}, b.engine_id(node), held);
  b.engine_client().start({8, 0}, b.engine_id(node), free);
  b.run_for(kSecond);
  EXPECT_EQ(node.request_count("POST"), 1u);
  EXPECT_EQ(b.engine_client().active_attempts(), 0u);
}

// Nodes let go of a query that nobody asks for within 2 s.
TEST(Platform, ManyQueriesAreAllAskedForOverFewConnections) {
  PlatformFixture b(20, 4);
  ScriptedEngine& node = b.add_engine();
  node.execution_time_us = 60 * kSecond;
  b.publish_endpoints();
  constexpr int kQueries = 24;
  for (int i = 1; i <= kQueries; ++i)
    b.engine_client().start({static_cast<RequestId>(i), 0}, b.engine_id(node), order(make_request_id(i)));
  b.run_for(12 * kSecond);
  EXPECT_LE(node.connection_count(), 4);
  std::map<std::string, TimeUs> asked;
  TimeUs longest = 0;
  for (const auto& s : node.received_requests) {
    const std::string id = s.request.method == "POST" ? std::string(http::find(s.request.fields, "x-ticket"))
                                                      : s.request.target.substr(6, 16);
    TimeUs& last = asked[id];
    if (last > 0) longest = std::max(longest, s.received_at - last);
    last = s.received_at;
  }
  EXPECT_EQ(asked.size(), static_cast<size_t>(kQueries));
  EXPECT_LT(longest, 1900 * kMs);
  for (int i = 1; i <= kQueries; ++i) b.engine_client().cancel({static_cast<RequestId>(i), 0});
  b.run_for(kSecond);
  EXPECT_EQ(node.request_count("DELETE"), static_cast<size_t>(kQueries));
}

TEST(Platform, AClientThatLeavesTakesItsQueryAlong) {
  PlatformFixture b;
  ScriptedEngine& node = b.add_engine();
  node.execution_time_us = 3 * kSecond;
  b.publish_endpoints();
  b.send(PlatformFixture::make_query(make_request_id(1), "SELECT 1", "report", "9000"), 700 * kMs);
  b.run_for(2 * kSecond);
  EXPECT_EQ(node.request_count("DELETE"), 1u);
  EXPECT_EQ(b.dispatcher().tracked_requests(), 0u);
  EXPECT_EQ(b.http_server().connection_count(), 0u);
}

}  // namespace
}  // namespace sablelink::test
