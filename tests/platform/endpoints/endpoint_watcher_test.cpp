// Watch of the platform's change log: disconnects, missing heartbeats and a change of its address.
#include "platform/endpoints/endpoint_watcher.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/config.h"
#include "tests/platform/platform_config.h"
#include "tests/platform/platform_harness.h"

namespace sablelink::test {
namespace {

// Bytes that do not complete a line are no heartbeat. Events from the old address are applied
// until a connection to the new one is established.
TEST(EndpointWatcher, PartialLinesAreNoHeartbeatAndOldConnectionIsUsedUntilNewOneIsEstablished) {
  sim::EventLog event_log;
  sim::World world(7, event_log);
  sim::Streams streams(world, {});
  const auto server = sim::Actor::make(world, "log");
  const auto gateway = sim::Actor::make(world, "gateway");
  SimulatedDialer dialer(world, streams, gateway);
  int connections = 0;
  bool sends_partial_lines = true;
  bool sends_event = false;
  const std::string event = R"({"seq":4,"fleet":{"whole":false,"hosts":[{"host":"s-1","health":"gone"}]}})"
                            "\n";
  streams.listen("10.2.0.1:8500", server,
                 [&](std::shared_ptr<rpc::ByteStream> stream) -> rpc::Awaitable<void> {
                   ++connections;
                   for (int i = 0; i < 60 && sends_partial_lines; ++i) {
                     const std::string partial_line = " ";
                     const bool sent = co_await rpc::write_all(*stream, partial_line);
                     if (!sent) co_return;
                     co_await sleep_for(*server, 500 * kMs);
                   }
                   for (int i = 0; i < 20; ++i) {
                     const std::string line = sends_event ? event : "3\n";
                     const bool sent = co_await rpc::write_all(*stream, line);
                     if (!sent) co_return;
                     co_await sleep_for(*server, 500 * kMs);
                   }
                 });
  NullLog log;
  std::vector<config::EngineConfig> endpoints;
  platform::PlatformConfig config = platform::parse_config(kPlatformConfigJson);
  auto watcher = std::make_unique<platform::EndpointWatcher>(
      dialer, *gateway, log, [&](const std::vector<config::EngineConfig>& list) { endpoints = list; });
  watcher->start(config);
  world.settle();
  world.run_until(world.now() + 5 * kSecond);
  EXPECT_GE(connections, 2);
  sends_partial_lines = false;
  world.run_until(world.now() + 2500 * kMs);
  EXPECT_EQ(endpoints.size(), 2u);
  config.change_log_address = "10.2.0.2:8500";  // without a listener
  watcher->switch_address(config);
  sends_event = true;
  world.run_until(world.now() + 2 * kSecond);
  EXPECT_EQ(endpoints.size(), 1u);
  streams.unlisten("10.2.0.1:8500");
  watcher.reset();
  while (world.step()) continue;
}

// The change log disconnects within an event, repeats events, stops sending and moves to a new address.
TEST(EndpointWatcher, ListStaysCompleteAfterDisconnectsMissingHeartbeatsAndNewAddress) {
  sim::EventLog event_log;
  sim::World world(7, event_log);
  sim::Streams streams(world, {});
  const auto server = sim::Actor::make(world, "log");
  const auto gateway = sim::Actor::make(world, "gateway");
  SimulatedDialer dialer(world, streams, gateway);
  std::vector<std::string> events;
  const auto append_event = [&](int sequence_number) {
    events.push_back(R"({"seq":)" + std::to_string(sequence_number) +
                     R"(,"fleet":{"whole":false,"hosts":[{"host":"n)" + std::to_string(sequence_number) +
                     R"(","dial":"1.2.3.4:5","health":"ready"}]}})" + "\n");
  };
  enum class Behaviour { kTruncatedEvent, kRepeatedEvents, kSilent, kNormal };
  Behaviour behaviour = Behaviour::kTruncatedEvent;
  int connections = 0;
  int new_address_connections = 0;
  const auto serve = [&](std::shared_ptr<rpc::ByteStream> stream) -> rpc::Awaitable<void> {
    ++connections;
    const std::optional<std::string> request = co_await stream->read(100);
    if (!request || !request->starts_with("since ")) co_return;
    const size_t since = std::stoul(request->substr(6));
    std::string text;
    for (size_t i = since - 3; i < events.size(); ++i) {
      text += events[i];
      if (behaviour == Behaviour::kRepeatedEvents) text += events[i];
    }
    if (behaviour == Behaviour::kTruncatedEvent) text.resize(text.size() - std::min<size_t>(text.size(), 10));
    if (behaviour != Behaviour::kSilent) co_await rpc::write_all(*stream, text);
    if (behaviour == Behaviour::kTruncatedEvent) co_return;
    for (int heartbeats = 0; behaviour != Behaviour::kSilent && heartbeats < 30; ++heartbeats) {
      co_await rpc::write_all(*stream, std::to_string(3 + events.size()) + "\n");
      co_await sleep_for(*server, kSecond);
    }
    co_await sleep_for(*server, 60 * kSecond);
  };
  streams.listen("10.2.0.1:8500", server, serve);
  streams.listen("10.2.0.2:8500", server, [&](auto stream) -> rpc::Awaitable<void> {
    ++new_address_connections;
    co_await serve(std::move(stream));
  });
  NullLog log;
  std::vector<config::EngineConfig> endpoints;
  platform::PlatformConfig config = platform::parse_config(kPlatformConfigJson);
  auto watcher = std::make_unique<platform::EndpointWatcher>(
      dialer, *gateway, log, [&](const std::vector<config::EngineConfig>& list) { endpoints = list; });
  watcher->start(config);
  EXPECT_EQ(endpoints.size(), 2u);
  append_event(4);
  world.settle();
  world.run_until(world.now() + kSecond);
  EXPECT_EQ(endpoints.size(), 2u);  // no connection has delivered the complete event
  EXPECT_GE(connections, 2);
  behaviour = Behaviour::kRepeatedEvents;
  world.run_until(world.now() + kSecond);
  EXPECT_EQ(endpoints.size(), 3u);
  // A heartbeat has the number of an event that was not delivered.
  append_event(5);
  world.run_until(world.now() + 3 * kSecond);
  EXPECT_EQ(endpoints.size(), 4u);
  // An open connection without heartbeats.
  behaviour = Behaviour::kSilent;
  world.run_until(world.now() + 3 * kSecond);
  append_event(6);
  const int connections_before = connections;
  behaviour = Behaviour::kNormal;
  world.run_until(world.now() + 3 * kSecond);
  EXPECT_GT(connections, connections_before);
  EXPECT_EQ(endpoints.size(), 5u);
  append_event(7);
  config.change_log_address = "10.2.0.2:8500";
  watcher->switch_address(config);
  world.run_until(world.now() + kSecond);
  EXPECT_GE(new_address_connections, 1);
  EXPECT_EQ(endpoints.size(), 6u);
  streams.unlisten("10.2.0.1:8500");
  streams.unlisten("10.2.0.2:8500");
  watcher.reset();
  while (world.step()) continue;  // lets pending coroutines end
}

}  // namespace
}  // namespace sablelink::test
