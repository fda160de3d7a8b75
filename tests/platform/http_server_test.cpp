// Clients of the platform on a virtual clock: malformed requests, limits, slow clients, shutdown.
#include <gtest/gtest.h>

#include "tests/platform/platform_harness.h"

namespace sablelink::test {
namespace {

using ClientResponse = PlatformFixture::ClientResponse;

// ---- Clients that send what they should not --------------------------------------------------------------

TEST(Platform, WhatIsNoCallIsTurnedAwayAndReachesNoNode) {
  const std::string id = make_request_id(5);
  const auto post = [&](const std::string& fields, const std::string& body = "SELECT 1") {
    return "POST /v1/lookup HTTP/1.1\r\nHost: h\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  const std::string good_id = "X-Request-Id: " + id + "\r\n", good_time = "X-Timeout-Ms: 1500\r\n";
  const std::vector<std::pair<std::string, int>> cases = {
      {post(good_time), 400},
      {post("X-Request-Id: 9B1F03AA5C7E2D41\r\n" + good_time), 400},
      {post("X-Request-Id: 9b1f03aa5c7e2d4\r\n" + good_time), 400},
      {post("X-Request-Id: 9b1f03aa5c7e2d4/../../x\r\n" + good_time), 400},
      {post(good_id + good_id + good_time), 400},
      {post(good_id), 400},
      {post(good_id + "X-Timeout-Ms: -1\r\n"), 400},
      {post(good_id + "X-Timeout-Ms: 0\r\n"), 400},
      {post(good_id + "X-Timeout-Ms: soon\r\n"), 400},
      {post(good_id + "X-Timeout-Ms: 1e3\r\n"), 400},
      {post(good_id + "X-Timeout-Ms: 99999999999999999999\r\n"), 400},
      {post(good_id + "X-Timeout-Ms: 86400000\r\n"), 400},
      {post(good_id + good_time + good_time), 400},
      {post(good_id + good_time + "X-Retry: 7\r\n"), 400},
      {post(good_id + good_time + "X-Cost-Ms: nan\r\n"), 400},
      {post(good_id + good_time + "X-Est-Mb: -40\r\n"), 400},
      {post(good_id + good_time, ""), 400},
      {post(good_id + good_time, std::string("SELECT \0 1", 10)), 400},
      {post(good_id + good_time, "SELECT '\xc3\x28'"), 400},
      {post(good_id + good_time, std::string(70'000, 'x')), 413},
      {"POST /v1/nothing HTTP/1.1\r\n" + good_id + good_time + "Content-Length: 1\r\n\r\nx", 404},
      {"POST /v1/lookup/more HTTP/1.1\r\n" + good_id + good_time + "Content-Length: 1\r\n\r\nx", 404},
      {"PUT /v1/lookup HTTP/1.1\r\n" + good_id + good_time + "Content-Length: 1\r\n\r\nx", 405},
      {"GET /v1/lookup HTTP/1.1\r\n\r\n", 405},
      {"DELETE /v2/q/" + id + " HTTP/1.1\r\n\r\n", 404},
      {post(good_id + good_time + "Transfer-Encoding: chunked\r\n", "0\r\n\r\n" + post(good_id + good_time)),
       400},
      {"\x16\x03\x01\x05 hello\r\n\r\n", 400},
  };
  for (const auto& [bytes, status] : cases) {
    PlatformFixture b;
    ScriptedEngine& node = b.add_engine();
    b.publish_endpoints();
    const auto answer = b.send(bytes);
    b.run_for(3 * kSecond);
    EXPECT_EQ(answer->status, status) << bytes.substr(0, 160);
    EXPECT_EQ(node.received_requests.size(), 0u) << bytes.substr(0, 160);
    EXPECT_EQ(b.dispatcher().counters().accepted, 0u);
  }
}

TEST(Platform, HalfACallAndSilenceAreClosedWithinThreeSeconds) {
  const std::string whole = PlatformFixture::make_query(make_request_id(1));
  for (const std::string& half : {std::string(), whole.substr(0, 30), whole.substr(0, whole.size() - 3)}) {
    PlatformFixture b;
    b.add_engine();
    b.publish_endpoints();
    const auto answer = b.send(half);
    b.run_for(5 * kSecond);
    EXPECT_EQ(answer->status, 408) << half.size();
    EXPECT_LT(answer->elapsed_us, 3 * kSecond);
    EXPECT_EQ(b.http_server().connection_count(), 0u);
  }
}

TEST(Platform, TheIdOfAnOpenRequestIsTakenOnce) {
  PlatformFixture b;
  ScriptedEngine& node = b.add_engine();
  node.execution_time_us = 500'000;
  b.publish_endpoints();
  const auto first = b.send(PlatformFixture::make_query(make_request_id(1)));
  b.run_for(50 * kMs);
  const auto second = b.send(PlatformFixture::make_query(make_request_id(1), "DELETE FROM sales_17.orders"));
  b.run_for(2 * kSecond);
  EXPECT_EQ(first->status, 200);
  EXPECT_EQ(second->status, 409);
  EXPECT_EQ(node.request_count("POST"), 1u);
  // Once it is over, the id is free.
  const auto third = b.send(PlatformFixture::make_query(make_request_id(1)));
  b.run_for(2 * kSecond);
  EXPECT_EQ(third->status, 200);
}

// Hundreds that connect and say nothing don't keep a usual client out.
TEST(Platform, SilentConnectionsMakeRoom) {
  PlatformFixture b(10);
  b.add_engine();
  b.publish_endpoints();
  std::vector<std::shared_ptr<ClientResponse>> silent;
  for (int i = 0; i < 200; ++i) {
    silent.push_back(b.send(""));
    b.run_for(2 * kMs);
  }
  EXPECT_LE(b.http_server().connection_count(), 10u);
  const auto usual = b.send(PlatformFixture::make_query(make_request_id(1)));
  b.run_for(kSecond);
  EXPECT_EQ(usual->status, 200);
  b.run_for(5 * kSecond);
  for (const auto& s : silent) EXPECT_GE(s->status, 0);
}

// A crowd of idle clients costs a question to the system for each that comes, not for each that is there.
TEST(Platform, MakingRoomAsksAboutFewConnections) {
  struct QuietStream : rpc::ByteStream {
    explicit QuietStream(int* asked_by) : asked(asked_by) {}
    rpc::Awaitable<std::optional<std::string>> read(size_t) override {
      co_await closed.wait();
      co_return std::nullopt;
    }
    rpc::Awaitable<size_t> write(std::string_view bytes) override { co_return bytes.size(); }
    bool readable() const override { return ++*asked < 0; }
    bool peer_closed() const override { return false; }
    void shutdown_write() override {}
    void close() override { closed.set(); }
    void reset() override { closed.set(); }
    AsyncEvent closed;
    int* const asked;
  };
  int asked = 0;
  PlatformFixture b(100);
  constexpr int kComing = 300;
  std::vector<std::shared_ptr<QuietStream>> streams;
  for (int i = 0; i < kComing; ++i) {
    streams.push_back(std::make_shared<QuietStream>(&asked));
    boost::asio::co_spawn(b.world().executor(), b.http_server().serve(streams.back()), boost::asio::detached);
    b.run_for(kMs);
  }
  EXPECT_GE(b.http_server().counters().evicted_connections, 200u);
  EXPECT_LE(asked, kComing);
  for (const auto& stream : streams) stream->close();
  b.run_for(kMs);
  EXPECT_EQ(b.http_server().connection_count(), 0u);
}

// A connection at work is never given up for one that comes new.
TEST(Platform, OpenRequestsKeepTheirConnections) {
  PlatformFixture b(4);
  ScriptedEngine& node = b.add_engine();
  node.execution_time_us = 800'000;
  b.publish_endpoints();
  std::vector<std::shared_ptr<ClientResponse>> open;
  for (int i = 1; i <= 4; ++i) open.push_back(b.send(PlatformFixture::make_query(make_request_id(i))));
  b.run_for(100 * kMs);
  const auto further = b.send(PlatformFixture::make_query(make_request_id(9)));
  b.run_for(2 * kSecond);
  for (const auto& answer : open) EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(further->status, 0);
}

// Where all are at work, one that comes further is told so, and reaches no node.
TEST(Platform, WhereAllConnectionsAreAtWorkOneIsToldSo) {
  PlatformFixture b(10);
  ScriptedEngine& node = b.add_engine();
  node.execution_time_us = 800'000;
  b.publish_endpoints();
  std::vector<std::shared_ptr<ClientResponse>> open;
  for (int i = 1; i <= 9; ++i) open.push_back(b.send(PlatformFixture::make_query(make_request_id(i))));
  b.run_for(100 * kMs);
  const auto further = b.send(PlatformFixture::make_query(make_request_id(10)));
  b.run_for(2 * kSecond);
  for (const auto& answer : open) EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(further->status, 503);
  EXPECT_EQ(further->body, R"({"failure":"Full"})");
  EXPECT_EQ(b.http_server().counters().rejected_at_capacity, 1u);
}

// What comes behind an open call has its time from when it came, not from when its turn comes.
TEST(Platform, AClientsTimeRunsWhileItsCallWaitsBehindAnother) {
  PlatformFixture b;
  ScriptedEngine& node = b.add_engine();
  node.execution_time_us = 1'500'000;
  b.publish_endpoints();
  const auto second =
      b.send(PlatformFixture::make_query(make_request_id(1), "SELECT 1", "report", "9000") +
                 PlatformFixture::make_query(make_request_id(2), "SELECT 2", "lookup", "1000"),
             10 * kSecond, 2);
  b.run_for(4 * kSecond);
  EXPECT_EQ(second->status, 503);
  for (const auto& seen : node.received_requests)
    EXPECT_NE(http::find(seen.request.fields, "x-ticket"), make_request_id(2));
  EXPECT_EQ(b.dispatcher().counters().rejected, 1u);
}

// Many calls at once are read as answers make room, and none is lost.
TEST(Platform, ManyCallsAtOnceOnOneConnectionAreAllAnswered) {
  PlatformFixture b;
  ScriptedEngine& node = b.add_engine();
  node.execution_time_us = 1'000;
  b.publish_endpoints();
  std::string all;
  constexpr int kCalls = 60;
  for (int i = 1; i <= kCalls; ++i)
    all += PlatformFixture::make_query(make_request_id(i), "SELECT '" + std::string(600, 'x') + "'", "report",
                                       "9000");
  ASSERT_GT(all.size(), 32u << 10);
  const auto last = b.send(all, 10 * kSecond, kCalls);
  b.run_for(5 * kSecond);
  EXPECT_EQ(last->status, 200);
  EXPECT_EQ(b.dispatcher().counters().served, static_cast<uint64_t>(kCalls));
}

// Closed while at rest, a connection takes nothing more; what has come before that is answered.
TEST(Platform, WhatComesAfterTheCloseOfARestingConnectionIsNotTaken) {
  PlatformFixture b;
  ScriptedEngine& node = b.add_engine();
  node.execution_time_us = 100'000;
  b.publish_endpoints();
  const auto open = b.send(PlatformFixture::make_query(make_request_id(1)));
  b.run_for(50 * kMs);
  b.http_server().start_draining();
  b.http_server().close_idle_connections();
  b.run_for(kSecond);
  EXPECT_EQ(open->status, 200);
  EXPECT_TRUE(b.http_server().is_idle());
}

TEST(Platform, HealthSaysWhenItLeaves) {
  PlatformFixture b;
  const std::string health = http::write_request("GET", "/healthz", "h", {});
  const auto before = b.send(health);
  b.run_for(100 * kMs);
  EXPECT_EQ(before->status, 200);
  b.http_server().start_draining();
  const auto after = b.send(health);
  b.run_for(100 * kMs);
  EXPECT_EQ(after->status, 503);
  EXPECT_EQ(http::find(after->fields, "connection"), "close");
}

TEST(Platform, ARefusalTellsWhenToComeBack) {
  PlatformFixture b;  // no node is known: nothing can be served
  b.add_engine();
  b.publish_endpoints();
  b.streams().unlisten("10.0.0.1:10080");
  const auto answer = b.send(PlatformFixture::make_query(make_request_id(1)));
  b.run_for(4 * kSecond);
  EXPECT_EQ(answer->status, 503);
  EXPECT_EQ(answer->body, R"({"failure":"Full"})");
}

}  // namespace
}  // namespace sablelink::test
