// Connections to the platform's engines: lost responses, refused dials, few connections for many attempts.
#include "platform/engine_client/connection_pool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "rpc/asio_loop.h"
#include "rpc/tcp_transport.h"
#include "tests/platform/engine_client/engine_client_harness.h"
#include "tests/platform/engine_client/tcp_engine_client.h"
#include "tests/platform/platform_harness.h"

namespace sablelink::test {
namespace {

using ClientResponse = PlatformFixture::ClientResponse;

TEST(ConnectionPool, CallWithoutResponseIsRepeatedWellBeforeTheRequestTimesOut) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.result_pages = {"a\t1\tx\n", "b\t2\ty\n"};
  int fetches = 0;
  engine.script = [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
    if (!received.request.target.ends_with("/1") || ++fetches > 1) return std::nullopt;
    return ScriptedResponse{"", 0, false, true};
  };
  fixture.publish_endpoints();
  const auto response = fixture.send(PlatformFixture::make_query(make_request_id(1)));
  fixture.run_for(400 * kMs);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(fetches, 2);
}

// After a stall of the process, its event loop finds readable sockets and expired timers at the same time.
TEST(ConnectionPool, AfterStallResponsesAreReadBeforeCallsTimeOut) {
  const auto wall = [] { return std::chrono::system_clock::now(); };
  const auto steady = [] { return std::chrono::steady_clock::now(); };
  rpc::AsioLoop engine_loop(wall, steady);
  TcpEngineClient gateway;
  auto engine_network = std::make_unique<rpc::TcpTransport>(engine_loop);
  std::atomic<int> calls{0};
  const std::string address =
      "127.0.0.1:" +
      std::to_string(engine_network->listen("127.0.0.1:0", [&](auto stream) -> rpc::Awaitable<void> {
        for (;;) {
          const std::optional<std::string> bytes = co_await stream->read(4096);
          if (!bytes || bytes->empty()) co_return;
          ++calls;
          co_await sleep_for(engine_loop, 100 * kMs);
          const std::string response =
              http::serialize_response(200, {{"Page-Count", "1"}}, "a\tb\tc\n", true);
          co_await rpc::write_all(*stream, response);
        }
      }));
  gateway.publish_addresses({address});
  platform::EngineClient& client = gateway.client();
  client.start({7, 0}, gateway.registry().endpoints()[0].engine, make_spec(make_request_id(7)));
  std::thread engine_thread([&] { engine_loop.run(); });
  // Stalls the client from the sending of the call until well after the call's timeout.
  bool has_stalled = false;
  std::function<void()> check = [&] {
    if (!has_stalled && client.counters().calls_sent > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(600));
      has_stalled = true;
    }
    if (has_stalled && client.active_attempts() == 0) return gateway.loop().stop();
    gateway.loop().call_after(kMs, [&] { check(); });
  };
  gateway.loop().call_after(0, [&] { check(); });
  gateway.loop().run();
  EXPECT_EQ(client.counters().calls_timed_out, 0u);
  EXPECT_EQ(calls, 1);
  engine_loop.stop();
  engine_thread.join();
  engine_network.reset();
  engine_loop.poll();
}

// A duplicate of a response must not be mistaken for the response to the next call.
TEST(ConnectionPool, BytesAfterResponseCloseTheConnection) {
  for (const bool is_delayed : {false, true}) {
    PlatformFixture fixture(20, 1);
    ScriptedEngine& engine = fixture.add_engine();
    engine.script = [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
      if (received.request.method != "POST" || received.connection_number > 1) return std::nullopt;
      engine.execute(received);
      const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
      const std::string duplicate = engine.page_response(0);
      return ScriptedResponse{interim + duplicate + (is_delayed ? "" : duplicate), 0, false, false,
                              is_delayed ? duplicate : ""};
    };
    fixture.publish_endpoints();
    std::vector<std::shared_ptr<ClientResponse>> responses;
    for (int i = 1; i <= 2; ++i)
      responses.push_back(fixture.send(PlatformFixture::make_query(make_request_id(i))));
    fixture.run_for(kSecond);
    engine.script = nullptr;
    for (const auto& response : responses) EXPECT_EQ(response->status, 200);
    EXPECT_EQ(engine.request_count("POST"), 2u);
    EXPECT_EQ(engine.received_requests.back().connection_number, 2);
  }
}

// Returns the response with another number in Content-Length.
std::string with_content_length(const std::string& response, size_t length) {
  static constexpr std::string_view kName = "Content-Length: ";
  const size_t from = response.find(kName) + kName.size();
  const size_t end = response.find("\r\n", from);
  return response.substr(0, from) + std::to_string(length) + response.substr(end);
}

// Guards against a part of a result that is served as the whole: a Content-Length that is too short and ends
// at the end of a row, in a page of any number, with the rest in the same piece as the rows or in a later
// one.
TEST(ConnectionPool, ResultWithTooShortContentLengthIsRequestedAgain) {
  const std::string first_row = "a\t1\tx\n";
  for (const std::string target : {"/v2/q", "/0", "/1"}) {
    for (const size_t length : {size_t{0}, first_row.size()}) {
      for (uint64_t seed = 1; seed <= 20; ++seed) {
        PlatformFixture fixture(20, 40, seed);
        ScriptedEngine& engine = fixture.add_engine();
        engine.execution_time_us = target == "/0" ? 300 * kMs : 10 * kMs;
        engine.result_pages = {first_row + "b\t2\ty\n", first_row + "c\t3\tz\n"};
        bool was_shortened = false;
        engine.script =
            [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
          if (was_shortened || !received.request.target.ends_with(target)) return std::nullopt;
          was_shortened = true;
          if (received.request.method == "POST") engine.execute(received);
          const std::string whole = engine.page_response(target == "/1" ? 1 : 0);
          return ScriptedResponse{with_content_length(whole, length)};
        };
        fixture.publish_endpoints();
        const auto response = fixture.send(PlatformFixture::make_query(make_request_id(1)));
        fixture.run_for(kSecond);
        EXPECT_TRUE(was_shortened) << target;
        EXPECT_EQ(response->status, 200);
        EXPECT_EQ(response->body, R"({"rows":[["a","1","x"],["b","2","y"],["a","1","x"],["c","3","z"]]})")
            << target << " length " << length << " seed " << seed;
        EXPECT_EQ(engine.request_count("POST"), 1u);
      }
    }
  }
}

// Returns the response without Content-Length and with `content`, which then ends with the connection.
std::string without_length(const std::string& response, const std::string& content) {
  const size_t from = response.find("Content-Length: ");
  const size_t end = response.find("\r\n", from) + 2;
  return response.substr(0, from) + response.substr(end, response.find("\r\n\r\n") + 4 - end) + content;
}

// Guards against a part of a result that is served as the whole: a page of any number without a length that
// is cut off at the end of a row.
TEST(ConnectionPool, ResultWithoutLengthThatIsCutOffIsRequestedAgain) {
  const std::string first_row = "a\t1\tx\n";
  for (const std::string target : {"/v2/q", "/0", "/1"}) {
    PlatformFixture fixture;
    ScriptedEngine& engine = fixture.add_engine();
    engine.execution_time_us = target == "/0" ? 300 * kMs : 10 * kMs;
    engine.result_pages = {first_row + "b\t2\ty\n", first_row + "c\t3\tz\n"};
    bool was_cut_off = false;
    engine.script = [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
      if (was_cut_off || !received.request.target.ends_with(target)) return std::nullopt;
      was_cut_off = true;
      if (received.request.method == "POST") engine.execute(received);
      ScriptedResponse response{without_length(engine.page_response(target == "/1" ? 1 : 0), first_row)};
      response.ends_stream = true;
      return response;
    };
    fixture.publish_endpoints();
    const auto response = fixture.send(PlatformFixture::make_query(make_request_id(1)));
    fixture.run_for(kSecond);
    EXPECT_TRUE(was_cut_off) << target;
    EXPECT_EQ(response->status, 200) << target;
    EXPECT_EQ(response->body, R"({"rows":[["a","1","x"],["b","2","y"],["a","1","x"],["c","3","z"]]})")
        << target;
    EXPECT_EQ(engine.request_count("POST"), 1u) << target;
  }
}

// A page without a length is used once a second response to the call for it is the same.
TEST(ConnectionPool, ResultOfAnEngineThatNeverSendsLengthsIsServed) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.result_pages = {"a\t1\tx\n", "b\t2\ty\n"};
  engine.script = [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
    if (received.request.method == "POST") engine.execute(received);
    const size_t page = received.request.target.ends_with("/1") ? 1 : 0;
    ScriptedResponse response{without_length(engine.page_response(page), engine.result_pages[page])};
    response.ends_stream = true;
    return response;
  };
  fixture.publish_endpoints();
  const auto response = fixture.send(PlatformFixture::make_query(make_request_id(1)));
  fixture.run_for(kSecond);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(response->body, R"({"rows":[["a","1","x"],["b","2","y"]]})");
  EXPECT_EQ(engine.request_count("POST"), 1u);
  EXPECT_EQ(engine.received_requests.size(), 4u);
  EXPECT_EQ(fixture.engine_client().counters().results_without_length, 4u);
}

// Guards against a next attempt that waits until its request's end: a late result without a length is not
// used, but it proves that the start was read.
TEST(ConnectionPool, LateResultWithoutLengthProvesThatItsStartWasRead) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.result_pages = {"a\t1\tx\nb\t2\ty\n"};
  engine.script = [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
    if (received.request.method != "POST") return std::nullopt;
    engine.execute(received);
    ScriptedResponse response{without_length(engine.page_response(0), "a\t1\tx\n"), 600 * kMs};
    response.ends_stream = true;
    return response;
  };
  fixture.publish_endpoints();
  fixture.engine_client().start({7, 0}, fixture.engine_id(engine), make_spec(make_request_id(7)));
  fixture.run_for(kSecond);
  EXPECT_EQ(fixture.engine_client().counters().starts_overdue, 1u);
  EXPECT_EQ(fixture.engine_client().active_attempts(), 0u);
  EXPECT_EQ(engine.request_count("POST"), 1u);
}

// Guards against results that are lost because the engine closes the connection right after its response.
TEST(ConnectionPool, ResultIsAcceptedIfTheEngineClosesTheConnectionAfterIt) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.script = [&](const ScriptedEngine::ReceivedRequest& received) -> std::optional<ScriptedResponse> {
    if (received.request.method != "POST") return std::nullopt;
    return ScriptedResponse{engine.page_response(0), 0, true};
  };
  fixture.publish_endpoints();
  const auto response = fixture.send(PlatformFixture::make_query(make_request_id(1)));
  fixture.run_for(kSecond);
  EXPECT_EQ(response->status, 200);
  EXPECT_EQ(engine.received_requests.size(), 1u);
}

// Guards against the crash of an engine that goes unnoticed because it had sent a result just before: the
// attempts that ran there are given up as soon as a new connection is refused.
TEST(ConnectionPool, ResetRightAfterAResultIsNoticed) {
  for (TimeUs reset_delay = 0; reset_delay <= 3 * kMs; reset_delay += kMs / 4) {
    PlatformFixture fixture;
    ScriptedEngine& engine = fixture.add_engine();
    engine.execution_time_us = 10 * kSecond;
    engine.script = [&](const ScriptedEngine::ReceivedRequest&) -> std::optional<ScriptedResponse> {
      if (engine.request_count("POST") != 2) return std::nullopt;
      return ScriptedResponse{engine.page_response(0)};
    };
    fixture.publish_endpoints();
    fixture.engine_client().start({7, 0}, fixture.engine_id(engine), make_spec(make_request_id(7)));
    fixture.run_for(100 * kMs);
    fixture.engine_client().start({8, 0}, fixture.engine_id(engine), make_spec(make_request_id(8)));
    while (engine.request_count("POST") < 2) fixture.run_for(kMs / 10);
    fixture.run_for(reset_delay);
    fixture.streams().unlisten(engine.address());
    fixture.streams().reset(engine.address());
    fixture.run_for(300 * kMs);
    EXPECT_EQ(fixture.engine_client().active_attempts(), 0u) << reset_delay << " us after the start was read";
    fixture.run_for(5 * kSecond);
  }
}

TEST(ConnectionPool, AttemptIsRetriedOnAnotherEngineAfterRefusedConnection) {
  PlatformFixture fixture;
  ScriptedEngine& refusing_engine = fixture.add_engine();
  ScriptedEngine& accepting_engine = fixture.add_engine();
  fixture.publish_endpoints();
  fixture.streams().unlisten(refusing_engine.address());
  std::vector<std::shared_ptr<ClientResponse>> responses;
  for (int i = 1; i <= 6; ++i)
    responses.push_back(fixture.send(PlatformFixture::make_query(make_request_id(i))));
  fixture.run_for(2 * kSecond);
  for (const auto& response : responses) EXPECT_EQ(response->status, 200);
  EXPECT_EQ(accepting_engine.request_count("POST"), 6u);
}

// An engine at its connection limit refuses new connections while its attempts continue.
TEST(ConnectionPool, RefusedConnectionDoesNotEndRunningAttempts) {
  PlatformFixture fixture;
  ScriptedEngine& first_engine = fixture.add_engine();
  ScriptedEngine& second_engine = fixture.add_engine();
  first_engine.execution_time_us = 10 * kSecond;
  second_engine.execution_time_us = 10 * kSecond;
  first_engine.script = confirm_cancellation_late;
  fixture.publish_endpoints();
  fixture.engine_client().start({7, 0}, fixture.engine_id(first_engine), make_spec(make_request_id(7)));
  fixture.run_for(100 * kMs);
  ASSERT_EQ(first_engine.request_count("POST"), 1u);
  fixture.streams().unlisten(first_engine.address());
  fixture.engine_client().cancel({7, 0});  // its DELETE needs another connection, which is refused
  fixture.engine_client().start({7, 1}, fixture.engine_id(second_engine), make_spec(make_request_id(7)));
  fixture.run_for(2 * kSecond);
  ASSERT_NE(first_engine.first_request("DELETE"), nullptr);
  ASSERT_NE(second_engine.first_request("POST"), nullptr);
  EXPECT_GE(second_engine.first_request("POST")->received_at,
            first_engine.first_request("DELETE")->received_at + 100 * kMs);
  fixture.engine_client().cancel({7, 1});
  fixture.run_for(kSecond);
}

// Guards against two attempts of one request at once at an engine at its connection limit: that the only
// connection was reset and a new one is refused proves no attempt's end. The next attempt starts once the
// engine accepts a connection again and confirms the cancellation, or has abandoned the attempt.
TEST(ConnectionPool, RefusedConnectionAfterResetDoesNotEndRunningAttempts) {
  for (const bool accepts_again : {true, false}) {
    PlatformFixture fixture;
    ScriptedEngine& first_engine = fixture.add_engine();
    ScriptedEngine& second_engine = fixture.add_engine();
    first_engine.execution_time_us = 10 * kSecond;
    second_engine.execution_time_us = 10 * kSecond;
    fixture.publish_endpoints();
    fixture.engine_client().start({7, 0}, fixture.engine_id(first_engine), make_spec(make_request_id(7)));
    fixture.run_for(100 * kMs);
    ASSERT_EQ(first_engine.received_requests.size(), 1u);
    fixture.streams().unlisten(first_engine.address());
    fixture.streams().reset(first_engine.address());
    const TimeUs reset_at = fixture.world().now();
    fixture.run_for(300 * kMs);
    ASSERT_GT(fixture.engine_client().counters().dials_refused, 0u);
    ASSERT_EQ(fixture.engine_client().active_attempts(), 0u);
    fixture.engine_client().start({7, 1}, fixture.engine_id(second_engine), make_spec(make_request_id(7)));
    fixture.run_for(kSecond);
    EXPECT_EQ(second_engine.request_count("POST"), 0u);
    if (accepts_again) first_engine.listen(fixture.streams());
    fixture.run_for(kSecond);
    EXPECT_EQ(first_engine.request_count("DELETE"), accepts_again ? 1u : 0u);
    EXPECT_EQ(second_engine.request_count("POST"), accepts_again ? 1u : 0u);
    fixture.run_for(kSecond);
    ASSERT_EQ(second_engine.request_count("POST"), 1u);
    const TimeUs earliest_start = accepts_again ? reset_at : reset_at + 2250 * kMs;
    EXPECT_GE(second_engine.first_request("POST")->received_at, earliest_start);
    fixture.engine_client().cancel({7, 1});
    fixture.run_for(kSecond);
  }
}

// Guards against cancellations that never arrive because an engine was removed in a large batch: the address
// of an engine is kept for as long as one of its attempts may still be cancelled.
TEST(ConnectionPool, CancellationReachesAnEngineRemovedTogetherWithManyOthers) {
  PlatformFixture fixture;
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 10 * kSecond;
  std::vector<std::string> addresses = {engine.address()};
  constexpr size_t kOthers = 2 * membership::EndpointRegistry::kMaxRemovedEngines;
  for (size_t i = 0; i < kOthers; ++i) addresses.push_back("10.1.0." + std::to_string(i) + ":10080");
  fixture.publish_addresses(addresses);
  fixture.engine_client().start({7, 0}, fixture.engine_id(engine), make_spec(make_request_id(7)));
  fixture.run_for(100 * kMs);
  ASSERT_EQ(engine.request_count("POST"), 1u);
  fixture.streams().unlisten(engine.address());
  fixture.streams().reset(engine.address());
  fixture.publish_addresses({});
  fixture.run_for(kSecond);
  ASSERT_EQ(engine.request_count("DELETE"), 0u);
  engine.listen(fixture.streams());
  fixture.run_for(kSecond);
  EXPECT_EQ(engine.request_count("DELETE"), 1u);
}

// Guards against a gateway that dials in a busy loop, without serving anything else, after many engines were
// lost at once under running attempts.
TEST(ConnectionPool, LossOfManyEnginesAtOnceDoesNotBlockTheEventLoop) {
  TcpEngineClient gateway;
  std::vector<std::shared_ptr<rpc::ByteStream>> connections;
  std::vector<std::string> addresses;
  addresses.push_back("127.0.0.1:" +
                      std::to_string(gateway.network().listen(
                          "127.0.0.1:0", [&](std::shared_ptr<rpc::ByteStream> s) -> rpc::Awaitable<void> {
                            connections.push_back(s);
                            co_return;
                          })));
  constexpr size_t kOthers = 2 * membership::EndpointRegistry::kMaxRemovedEngines;
  for (size_t i = 0; i < kOthers; ++i) addresses.push_back("127.0.0.1:" + std::to_string(1 + i));
  gateway.publish_addresses(addresses);
  gateway.client().start({7, 0}, gateway.registry().endpoints()[0].engine, make_spec(make_request_id(7)));
  gateway.run_for(100 * kMs);
  ASSERT_EQ(gateway.client().counters().calls_sent, 1u);
  gateway.network().stop_listening();
  for (const auto& connection : connections) connection->reset();
  gateway.run_for(100 * kMs);
  gateway.publish_addresses({});
  gateway.run_for(2 * kSecond);
  EXPECT_LT(gateway.dials(), LimitedDialer::kMaxDials);
}

// Engines abandon an attempt that receives no call for 2 s.
TEST(ConnectionPool, ManyAttemptsArePolledOverFewConnections) {
  PlatformFixture fixture(20, 4);
  ScriptedEngine& engine = fixture.add_engine();
  engine.execution_time_us = 60 * kSecond;
  fixture.publish_endpoints();
  constexpr int kAttempts = 24;
  for (int i = 1; i <= kAttempts; ++i)
    fixture.engine_client().start({static_cast<RequestId>(i), 0}, fixture.engine_id(engine),
                                  make_spec(make_request_id(i)));
  fixture.run_for(12 * kSecond);
  EXPECT_LE(engine.connection_count(), 4);
  std::map<std::string, TimeUs> last_call_at;
  TimeUs longest_gap = 0;
  for (const auto& received : engine.received_requests) {
    const std::string tag = received.request.method == "POST"
                                ? std::string(http::field_value(received.request.fields, "x-ticket"))
                                : received.request.target.substr(6, 16);
    TimeUs& last_at = last_call_at[tag];
    if (last_at > 0) longest_gap = std::max(longest_gap, received.received_at - last_at);
    last_at = received.received_at;
  }
  EXPECT_EQ(last_call_at.size(), static_cast<size_t>(kAttempts));
  EXPECT_LT(longest_gap, 1900 * kMs);
  for (int i = 1; i <= kAttempts; ++i) fixture.engine_client().cancel({static_cast<RequestId>(i), 0});
  fixture.run_for(kSecond);
  EXPECT_EQ(engine.request_count("DELETE"), static_cast<size_t>(kAttempts));
}

}  // namespace
}  // namespace sablelink::test
