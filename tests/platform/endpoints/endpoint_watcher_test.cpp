// Endpoint lists from the platform's change log, in pieces, through disconnects and silence.
#include "platform/endpoints/endpoint_watcher.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "platform/config.h"
#include "rpc/asio_loop.h"
#include "rpc/tcp_transport.h"
#include "tests/platform/platform_config.h"
#include "tests/platform/platform_harness.h"

namespace sablelink::test {
namespace {

using platform::ChangeLogReader;
using platform::WatchEvent;

TEST(PlatformChangeLog, EventsCountOnceAndInOrderFromAnyPieces) {
  const std::string text = R"({"seq":4,"fleet":{"whole":false,"hosts":[{"host":"s-1","health":"gone"}]}})"
                           "\n4\n"
                           R"({"seq":4,"fleet":{"whole":false,"hosts":[{"host":"s-9","health":"gone"}]}})"
                           "\n"
                           R"({"seq":5,"invalidate":{}})"
                           "\n5\n";
  for (size_t step = 1; step < 90; step += 11) {
    ChangeLogReader sequence(3, {});
    std::vector<uint64_t> applied;
    bool good = true;
    for (size_t at = 0; at < text.size(); at += step)
      good = good && sequence.feed(std::string_view(text).substr(at, step),
                                   [&](const WatchEvent& e) { applied.push_back(e.sequence_number); });
    EXPECT_TRUE(good);
    EXPECT_EQ(applied, (std::vector<uint64_t>{4, 5}));
    EXPECT_EQ(sequence.last(), 5u);
  }
  // A gap, a number that is ahead, what can't be read, a line that never ends: ask again.
  for (const std::string wrong : {"{\"seq\":9}\n", "7\n", "{\"seq\":4\n", "x\n", "{\"seq\":\"4\"}\n"}) {
    ChangeLogReader sequence(3, {});
    EXPECT_FALSE(sequence.feed(wrong, [](const WatchEvent&) { FAIL(); })) << wrong;
    EXPECT_EQ(sequence.last(), 3u);
  }
  ChangeLogReader sequence(3, {});
  bool good = true;
  size_t fed = 0;
  for (; good && fed < 100; ++fed) good = sequence.feed(std::string(1 << 20, 'x'), [](const WatchEvent&) {});
  EXPECT_LT(fed, 20u);
}

// Bytes that never become a line are no sign of life. What the old address tells counts until the new one
// stands.
TEST(PlatformChangeLog, ATrickleIsSilenceAndTheOldOneCountsUntilTheNewStands) {
  sim::Account account;
  sim::World world(7, account);
  sim::Streams streams(world, {});
  const auto server = sim::Actor::make(world, "log"), gateway = sim::Actor::make(world, "gateway");
  SimulatedDialer net(world, streams, gateway);
  int asked = 0;
  bool trickles = true, drained = false;
  const std::string event = R"({"seq":4,"fleet":{"whole":false,"hosts":[{"host":"s-1","health":"gone"}]}})"
                            "\n";
  streams.listen("10.2.0.1:8500", server, [&](std::shared_ptr<rpc::ByteStream> s) -> rpc::Awaitable<void> {
    ++asked;
    for (int i = 0; i < 60 && trickles; ++i) {
      const std::string sign = " ";
      const bool sent = co_await rpc::write_all(*s, sign);
      if (!sent) co_return;
      co_await pause(*server, 500 * kMs);
    }
    for (int i = 0; i < 20; ++i) {
      const std::string line = drained ? event : "3\n";
      const bool sent = co_await rpc::write_all(*s, line);
      if (!sent) co_return;
      co_await pause(*server, 500 * kMs);
    }
  });
  NullLog log;
  std::vector<config::EngineConfig> nodes;
  platform::PlatformConfig config = platform::parse_config(kConfig);
  auto changes = std::make_unique<platform::EndpointWatcher>(
      net, *gateway, log, [&](const std::vector<config::EngineConfig>& told) { nodes = told; });
  changes->start(config);
  world.settle();
  world.run_until(world.now() + 5 * kSecond);
  EXPECT_GE(asked, 2);
  trickles = false;
  world.run_until(world.now() + 2500 * kMs);
  EXPECT_EQ(nodes.size(), 2u);
  config.watch_address = "10.2.0.2:8500";  // nobody is there yet
  changes->switch_address(config);
  drained = true;
  world.run_until(world.now() + 2 * kSecond);
  EXPECT_EQ(nodes.size(), 1u);
  streams.unlisten("10.2.0.1:8500");
  changes.reset();
  while (world.step()) continue;
}

// The log breaks off within an event, tells events twice, stops and moves: the list is whole all the same.
TEST(PlatformChangeLog, IsFollowedThroughBreaksSilenceAndAMove) {
  sim::Account account;
  sim::World world(7, account);
  sim::Streams streams(world, {});
  const auto server = sim::Actor::make(world, "log"), gateway = sim::Actor::make(world, "gateway");
  SimulatedDialer net(world, streams, gateway);
  std::vector<std::string> events;
  const auto say = [&](int seq) {
    events.push_back(R"({"seq":)" + std::to_string(seq) + R"(,"fleet":{"whole":false,"hosts":[{"host":"n)" +
                     std::to_string(seq) + R"(","dial":"1.2.3.4:5","health":"ready"}]}})" + "\n");
  };
  enum class Mood { kCutsOff, kTwice, kSilent, kFair } mood = Mood::kCutsOff;
  int asked = 0, asked_new = 0;
  const auto serve = [&](std::shared_ptr<rpc::ByteStream> s) -> rpc::Awaitable<void> {
    ++asked;
    const std::optional<std::string> ask = co_await s->read(100);
    if (!ask || !ask->starts_with("since ")) co_return;
    const size_t since = std::stoul(ask->substr(6));
    std::string text;
    for (size_t i = since - 3; i < events.size(); ++i) {
      text += events[i];
      if (mood == Mood::kTwice) text += events[i];
    }
    if (mood == Mood::kCutsOff) text.resize(text.size() - std::min<size_t>(text.size(), 10));
    if (mood != Mood::kSilent) co_await rpc::write_all(*s, text);
    if (mood == Mood::kCutsOff) co_return;
    for (int beats = 0; mood != Mood::kSilent && beats < 30; ++beats) {
      co_await rpc::write_all(*s, std::to_string(3 + events.size()) + "\n");
      co_await pause(*server, kSecond);
    }
    co_await pause(*server, 60 * kSecond);
  };
  streams.listen("10.2.0.1:8500", server, serve);
  streams.listen("10.2.0.2:8500", server, [&](auto s) -> rpc::Awaitable<void> {
    ++asked_new;
    co_await serve(std::move(s));
  });
  NullLog log;
  std::vector<config::EngineConfig> nodes;
  platform::PlatformConfig config = platform::parse_config(kConfig);
  auto follow = std::make_unique<platform::EndpointWatcher>(
      net, *gateway, log, [&](const std::vector<config::EngineConfig>& told) { nodes = told; });
  auto& changes = *follow;
  changes.start(config);
  EXPECT_EQ(nodes.size(), 2u);
  say(4);
  world.settle();
  world.run_until(world.now() + kSecond);
  EXPECT_EQ(nodes.size(), 2u);  // only ever part of the event
  EXPECT_GE(asked, 2);
  mood = Mood::kTwice;
  world.run_until(world.now() + kSecond);
  EXPECT_EQ(nodes.size(), 3u);
  // A heartbeat tells of an event that never came.
  say(5);
  world.run_until(world.now() + 3 * kSecond);
  EXPECT_EQ(nodes.size(), 4u);
  // Silence on a connection that stands.
  mood = Mood::kSilent;
  world.run_until(world.now() + 3 * kSecond);
  say(6);
  const int before = asked;
  mood = Mood::kFair;
  world.run_until(world.now() + 3 * kSecond);
  EXPECT_GT(asked, before);
  EXPECT_EQ(nodes.size(), 5u);
  say(7);
  config.watch_address = "10.2.0.2:8500";
  changes.switch_address(config);
  world.run_until(world.now() + kSecond);
  EXPECT_GE(asked_new, 1);
  EXPECT_EQ(nodes.size(), 6u);
  streams.unlisten("10.2.0.1:8500");
  streams.unlisten("10.2.0.2:8500");
  follow.reset();
  while (world.step()) continue;  // whoever still waits hears of its end
}

}  // namespace
}  // namespace sablelink::test
