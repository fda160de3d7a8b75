// HTTP server with a virtual clock: invalid requests, limits, slow clients, shutdown.
#include <gtest/gtest.h>

#include "tests/platform/platform_harness.h"

namespace sablelink::test {
namespace {

using ClientResponse = PlatformFixture::ClientResponse;

TEST(HttpServer, InvalidRequestIsRejectedAndReachesNoEngine) {
  const std::string id = make_request_id(5);
  const auto post = [&](const std::string& fields, const std::string& body = "SELECT 1") {
    return "POST /v1/lookup HTTP/1.1\r\nHost: h\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  const std::string good_id = "X-Request-Id: " + id + "\r\n";
  const std::string good_timeout = "X-Timeout-Ms: 1500\r\n";
  const std::vector<std::pair<std::string, int>> cases = {
      {post(good_timeout), 400},
      {post("X-Request-Id: 9B1F03AA5C7E2D41\r\n" + good_timeout), 400},
      {post("X-Request-Id: 9b1f03aa5c7e2d4\r\n" + good_timeout), 400},
      {post("X-Request-Id: 9b1f03aa5c7e2d4/../../x\r\n" + good_timeout), 400},
      {post(good_id + good_id + good_timeout), 400},
      {post(good_id), 400},
      {post(good_id + "X-Timeout-Ms: -1\r\n"), 400},
      {post(good_id + "X-Timeout-Ms: 0\r\n"), 400},
      {post(good_id + "X-Timeout-Ms: soon\r\n"), 400},
      {post(good_id + "X-Timeout-Ms: 1e3\r\n"), 400},
      {post(good_id + "X-Timeout-Ms: 99999999999999999999\r\n"), 400},
      {post(good_id + "X-Timeout-Ms: 86400000\r\n"), 400},
      {post(good_id + good_timeout + good_timeout), 400},
      {post(good_id + good_timeout + "X-Retry: 7\r\n"), 400},
      {post(good_id + good_timeout + "X-Cost-Ms: nan\r\n"), 400},
      {post(good_id + good_timeout + "X-Est-Mb: -40\r\n"), 400},
      {post(good_id + good_timeout, ""), 400},
      {post(good_id + good_timeout, std::string("SELECT \0 1", 10)), 400},
      {post(good_id + good_timeout, "SELECT '\xc3\x28'"), 400},
      {post(good_id + good_timeout, std::string(70'000, 'x')), 413},
      {"POST /v1/nothing HTTP/1.1\r\n" + good_id + good_timeout + "Content-Length: 1\r\n\r\nx", 404},
      {"POST /v1/lookup/more HTTP/1.1\r\n" + good_id + good_timeout + "Content-Length: 1\r\n\r\nx", 404},
      {"PUT /v1/lookup HTTP/1.1\r\n" + good_id + good_timeout + "Content-Length: 1\r\n\r\nx", 405},
      {"GET /v1/lookup HTTP/1.1\r\n\r\n", 405},
      {"DELETE /v2/q/" + id + " HTTP/1.1\r\n\r\n", 404},
      {post(good_id + good_timeout + "Transfer-Encoding: chunked\r\n",
            "0\r\n\r\n" + post(good_id + good_timeout)),
       400},
      {"\x16\x03\x01\x05 hello\r\n\r\n", 400},
  };
  for (const auto& [bytes, status] : cases) {
    PlatformFixture fixture;
    ScriptedEngine& engine = fixture.add_engine();
    fixture.publish_endpoints();
    const auto response = fixture.send(bytes);
    fixture.run_for(3 * kSecond);
    EXPECT_EQ(response->status, status) << bytes.substr(0, 160);
    EXPECT_EQ(engine.received_requests.size(), 0u) << bytes.substr(0, 160);
    EXPECT_EQ(fixture.dispatcher().counters().accepted, 0u);
  }
}

TEST(HttpServer, IncompleteRequestTimesOutWithinThreeSeconds) {
  const std::string complete = PlatformFixture::make_query(make_request_id(1));
  for (const std::string& part :
       {std::string(), complete.substr(0, 30), complete.substr(0, complete.size() - 3)}) {
    PlatformFixture fixture;
    fixture.add_engine();
    fixture.publish_endpoints();
    const auto response = fixture.send(part);
    fixture.run_for(5 * kSecond);
    EXPECT_EQ(response->status, 408) << part.size();
    EXPECT_LT(response->elapsed_us, 3 * kSecond);
    EXPECT_EQ(fixture.http_server().connection_count(), 0u);
  }
}

TEST(HttpServer, SecondRequestWithAnOpenIdIsRejected) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 500'000;
  fixture.publish_endpoints();
  const auto first = fixture.send(PlatformFixture::make_query(make_request_id(1)));
  fixture.run_for(50 * kMs);
  const auto second =
      fixture.send(PlatformFixture::make_query(make_request_id(1), "DELETE FROM sales_17.orders"));
  fixture.run_for(2 * kSecond);
  EXPECT_EQ(first->status, 200);
  EXPECT_EQ(second->status, 409);
  EXPECT_EQ(engine.request_count("POST"), 1u);
  // After the response to its request, the id can be used again.
  const auto third = fixture.send(PlatformFixture::make_query(make_request_id(1)));
  fixture.run_for(2 * kSecond);
  EXPECT_EQ(third->status, 200);
}

// Hundreds of clients that connect and send nothing do not prevent the admission of others.
TEST(HttpServer, ConnectionsWithoutARequestAreEvictedForNewOnes) {
  PlatformFixture fixture(10);
  fixture.add_engine();
  fixture.publish_endpoints();
  std::vector<std::shared_ptr<ClientResponse>> idle_clients;
  for (int i = 0; i < 200; ++i) {
    idle_clients.push_back(fixture.send(""));
    fixture.run_for(2 * kMs);
  }
  EXPECT_LE(fixture.http_server().connection_count(), 10u);
  const auto response = fixture.send(PlatformFixture::make_query(make_request_id(1)));
  fixture.run_for(kSecond);
  EXPECT_EQ(response->status, 200);
  fixture.run_for(5 * kSecond);
  for (const auto& closed : idle_clients) EXPECT_GE(closed->status, 0);
}

// Each check is a system call. A new connection causes at most one, regardless of the number of idle ones.
TEST(HttpServer, EvictionChecksFewConnectionsForUnreadBytes) {
  struct IdleStream : rpc::ByteStream {
    explicit IdleStream(int* check_count) : readable_checks(check_count) {}
    rpc::Awaitable<std::optional<std::string>> read(size_t) override {
      co_await closed.wait();
      co_return std::nullopt;
    }
    rpc::Awaitable<size_t> write(std::string_view bytes) override { co_return bytes.size(); }
    bool readable() const override { return ++*readable_checks < 0; }
    bool peer_closed() const override { return false; }
    void shutdown_write() override {}
    void close() override { closed.set(); }
    void reset() override { closed.set(); }
    AsyncEvent closed;
    int* const readable_checks;
  };
  int readable_checks = 0;
  PlatformFixture fixture(100);
  constexpr int kConnections = 300;
  std::vector<std::shared_ptr<IdleStream>> streams;
  for (int i = 0; i < kConnections; ++i) {
    streams.push_back(std::make_shared<IdleStream>(&readable_checks));
    boost::asio::co_spawn(fixture.world().executor(), fixture.http_server().serve(streams.back()),
                          boost::asio::detached);
    fixture.run_for(kMs);
  }
  EXPECT_GE(fixture.http_server().counters().evicted_connections, 200u);
  EXPECT_LE(readable_checks, kConnections);
  for (const auto& stream : streams) stream->close();
  fixture.run_for(kMs);
  EXPECT_EQ(fixture.http_server().connection_count(), 0u);
}

TEST(HttpServer, ConnectionWithAnOpenRequestIsNotEvicted) {
  PlatformFixture fixture(4);
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 800'000;
  fixture.publish_endpoints();
  std::vector<std::shared_ptr<ClientResponse>> open;
  for (int i = 1; i <= 4; ++i) open.push_back(fixture.send(PlatformFixture::make_query(make_request_id(i))));
  fixture.run_for(100 * kMs);
  const auto next = fixture.send(PlatformFixture::make_query(make_request_id(9)));
  fixture.run_for(2 * kSecond);
  for (const auto& response : open) EXPECT_EQ(response->status, 200);
  EXPECT_EQ(next->status, 0);
}

TEST(HttpServer, RequestIsRejectedIfAllConnectionsAreInUse) {
  PlatformFixture fixture(10);
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 800'000;
  fixture.publish_endpoints();
  std::vector<std::shared_ptr<ClientResponse>> open;
  for (int i = 1; i <= 9; ++i) open.push_back(fixture.send(PlatformFixture::make_query(make_request_id(i))));
  fixture.run_for(100 * kMs);
  const auto next = fixture.send(PlatformFixture::make_query(make_request_id(10)));
  fixture.run_for(2 * kSecond);
  for (const auto& response : open) EXPECT_EQ(response->status, 200);
  EXPECT_EQ(next->status, 503);
  EXPECT_EQ(next->body, R"({"failure":"Full"})");
  EXPECT_EQ(fixture.http_server().counters().rejected_at_capacity, 1u);
}

TEST(HttpServer, PipelinedRequestTimesOutFromItsArrival) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 1'500'000;
  fixture.publish_endpoints();
  const auto second =
      fixture.send(PlatformFixture::make_query(make_request_id(1), "SELECT 1", "report", "9000") +
                       PlatformFixture::make_query(make_request_id(2), "SELECT 2", "lookup", "1000"),
                   10 * kSecond, 2);
  fixture.run_for(4 * kSecond);
  EXPECT_EQ(second->status, 503);
  for (const auto& received : engine.received_requests)
    EXPECT_NE(http::field_value(received.request.fields, "x-ticket"), make_request_id(2));
  EXPECT_EQ(fixture.dispatcher().counters().rejected, 1u);
}

// The requests exceed the limit of buffered bytes, so reading pauses until responses have been sent.
TEST(HttpServer, ManyPipelinedRequestsAllReceiveResponses) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 1'000;
  fixture.publish_endpoints();
  std::string all;
  constexpr int kRequests = 60;
  for (int i = 1; i <= kRequests; ++i)
    all += PlatformFixture::make_query(make_request_id(i), "SELECT '" + std::string(600, 'x') + "'", "report",
                                       "9000");
  ASSERT_GT(all.size(), 32u << 10);
  const auto last = fixture.send(all, 10 * kSecond, kRequests);
  fixture.run_for(5 * kSecond);
  EXPECT_EQ(last->status, 200);
  EXPECT_EQ(fixture.dispatcher().counters().served, static_cast<uint64_t>(kRequests));
}

std::string statement_of_size(size_t bytes) {
  std::string statement = "SELECT 1 FROM sales_17.orders WHERE id IN (1";
  while (statement.size() < bytes) statement += ",1";
  return statement + ")";
}

// Guards against a gateway that exceeds its memory limit because many clients send large statements at once:
// further large ones are rejected, also those that wait behind another request, and small ones are served.
TEST(HttpServer, MemoryOfLargeRequestsIsLimitedWhileSmallOnesAreServed) {
  constexpr size_t kMemoryBytes = 256 << 10;
  constexpr int kLargeClients = 20;
  constexpr int kRequestsPerClient = 3;
  // What a connection holds beyond the limit, each with a small request and one read: a statement and the
  // next request behind it.
  constexpr size_t kMaxExcessPerConnection = 24 << 10;
  PlatformFixture fixture(60, 40, 7, kMemoryBytes);
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 500 * kMs;
  fixture.publish_endpoints();
  const std::string statement = statement_of_size(60'000);
  std::vector<std::shared_ptr<ClientResponse>> large_responses;
  std::vector<std::shared_ptr<ClientResponse>> small_responses;
  for (int client = 0; client < kLargeClients; ++client) {
    std::string requests;
    for (int i = 0; i < kRequestsPerClient; ++i)
      requests +=
          PlatformFixture::make_query(make_request_id(100 + client * kRequestsPerClient + i), statement);
    large_responses.push_back(fixture.send(requests));
  }
  fixture.run_for(100 * kMs);
  EXPECT_TRUE(fixture.memory().is_exhausted());
  for (int i = 0; i < 5; ++i)
    small_responses.push_back(fixture.send(PlatformFixture::make_query(make_request_id(i))));
  fixture.run_for(5 * kSecond);
  for (const auto& response : small_responses) EXPECT_EQ(response->status, 200);
  size_t served = 0;
  for (const auto& response : large_responses) {
    EXPECT_TRUE(response->status == 200 || response->status == 503) << response->status;
    served += response->status == 200;
  }
  EXPECT_GT(served, 0u);
  EXPECT_LT(served, large_responses.size());
  EXPECT_GT(fixture.http_server().counters().rejected_for_memory, 0u);
  // An accepted statement is held a second time while it is sent to an engine.
  EXPECT_LE(fixture.memory().peak_bytes(), 2 * kMemoryBytes + kLargeClients * kMaxExcessPerConnection);
  fixture.run_for(10 * kSecond);
  EXPECT_EQ(fixture.memory().used_bytes(), 0u);
}

// Guards against requests that get no final answer at a shutdown because they wait for memory.
TEST(HttpServer, RequestThatWaitsForMemoryIsRejectedAtShutdownOrAfterASecond) {
  for (const bool is_shutting_down : {true, false}) {
    PlatformFixture fixture(20, 40, 7, 128 << 10);
    ScriptedEngine& engine = fixture.add_engine();
    engine.execution_time_us = 2 * kSecond;
    fixture.publish_endpoints();
    const std::string statement = statement_of_size(60'000);
    std::vector<std::shared_ptr<ClientResponse>> responses;
    for (int i = 1; i <= 3; ++i)
      responses.push_back(
          fixture.send(PlatformFixture::make_query(make_request_id(i), statement, "report", "8000")));
    fixture.run_for(200 * kMs);
    ASSERT_TRUE(fixture.memory().is_exhausted());
    if (is_shutting_down) {
      fixture.http_server().start_draining();
      fixture.http_server().close_idle_connections();
    }
    fixture.run_for(5 * kSecond);
    size_t rejected = 0;
    for (const auto& response : responses) {
      if (response->status != 503) continue;
      ++rejected;
      EXPECT_LT(response->elapsed_us, is_shutting_down ? 300 * kMs : 1'200 * kMs);
      EXPECT_EQ(response->body, R"({"failure":"Full"})");
    }
    EXPECT_EQ(rejected, 1u);
    EXPECT_EQ(fixture.http_server().counters().rejected_for_memory, 1u);
  }
}

// Guards against memory that clients leave behind: the statement of a request whose client has gone is freed,
// although its engine does not answer the cancellation.
TEST(HttpServer, StatementOfDisconnectedClientIsFreedBeforeItsAttemptHasEnded) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 10 * kSecond;
  engine.script = [](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
    if (received.request.method != "DELETE") return std::nullopt;
    return ScriptedResponse{"", 0, false, true};
  };
  fixture.publish_endpoints();
  fixture.send(PlatformFixture::make_query(make_request_id(1), statement_of_size(60'000)), 200 * kMs);
  fixture.run_for(150 * kMs);
  EXPECT_GT(fixture.memory().used_bytes(platform::MemoryUse::kStatements), 0u);
  fixture.run_for(150 * kMs);
  EXPECT_EQ(engine.request_count("DELETE"), 1u);
  EXPECT_EQ(fixture.memory().used_bytes(), 0u);
}

TEST(HttpServer, OpenRequestReceivesItsResponseBeforeItsConnectionClosesForShutdown) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 100'000;
  fixture.publish_endpoints();
  const auto open = fixture.send(PlatformFixture::make_query(make_request_id(1)));
  fixture.run_for(50 * kMs);
  fixture.http_server().start_draining();
  fixture.http_server().close_idle_connections();
  fixture.run_for(kSecond);
  EXPECT_EQ(open->status, 200);
  EXPECT_TRUE(fixture.http_server().is_idle());
}

TEST(HttpServer, HealthCheckFailsWhileDraining) {
  PlatformFixture fixture;
  const std::string health = http::serialize_request("GET", "/healthz", "h", {});
  const auto before = fixture.send(health);
  fixture.run_for(100 * kMs);
  EXPECT_EQ(before->status, 200);
  fixture.http_server().start_draining();
  const auto after = fixture.send(health);
  fixture.run_for(100 * kMs);
  EXPECT_EQ(after->status, 503);
  EXPECT_EQ(http::field_value(after->fields, "connection"), "close");
}

TEST(HttpServer, RequestIsRejectedIfNoEngineIsReachable) {
  PlatformFixture fixture;
  fixture.add_engine();
  fixture.publish_endpoints();
  fixture.streams().unlisten("10.0.0.1:10080");
  const auto response = fixture.send(PlatformFixture::make_query(make_request_id(1)));
  fixture.run_for(4 * kSecond);
  EXPECT_EQ(response->status, 503);
  EXPECT_EQ(response->body, R"({"failure":"Full"})");
}

}  // namespace
}  // namespace sablelink::test
