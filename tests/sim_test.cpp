// The simulation itself: worlds repeat to the byte, are clean, and deliberate defects are found in them.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>

#include "config/section.h"
#include "sim/network.h"
#include "sim/run.h"

namespace sablelink::sim {
namespace {

using End = audit::ClientRecord::End;

TEST(Simulation, OneSeedIsOneRun) {
  const Scenario s = make_scenario(5);
  RunOptions keep;
  keep.keep_account = true;
  const RunResult a = run(s, keep);
  const RunResult b = run(s, keep);
  const RunResult unkept = run(s);
  EXPECT_FALSE(a.account.empty());
  EXPECT_EQ(a.account, b.account);
  EXPECT_EQ(a.digest, unkept.digest);
  EXPECT_NE(a.digest, run(make_scenario(6)).digest);
}

TEST(Simulation, AWorldHasTheSizeThatIsPromised) {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    const Scenario s = make_scenario(seed);
    EXPECT_GE(s.gateways, 3);
    EXPECT_GE(s.nodes, 8);
    EXPECT_GE(s.requests.size(), 300u);
    EXPECT_GE(s.troubles.size(), 3u);
  }
}

TEST(Simulation, AScenarioWrittenOutRunsTheSame) {
  const Scenario s = make_scenario(11);
  const Scenario again = parse_scenario(to_toml(s), "again.toml");
  EXPECT_EQ(run(s).digest, run(again).digest);
}

// Each request and trouble draws from streams of its own.
TEST(Simulation, LeavingATroubleOutShiftsNothingBeforeIt) {
  Scenario s = make_scenario(12);
  std::sort(s.troubles.begin(), s.troubles.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  s.troubles.erase(std::remove_if(s.troubles.begin(), s.troubles.end(),
                                  [](const TroubleEvent& t) { return t.kind == Trouble::kHotCaller; }),
                   s.troubles.end());
  ASSERT_GE(s.troubles.size(), 2u);
  Scenario fewer = s;
  const TimeUs at = s.troubles.back().at + 1'000'000;
  fewer.troubles.pop_back();
  RunOptions keep;
  keep.keep_account = true;
  const std::string a = run(s, keep).account;
  const std::string b = run(fewer, keep).account;
  // Both accounts are the same up to the trouble that one of them doesn't have.
  const auto [x, y] = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  ASSERT_NE(x, a.end());
  const size_t line = a.rfind('\n', static_cast<size_t>(x - a.begin())) + 1;
  EXPECT_GE(std::stod(a.substr(line, 14)) * 1e6 + 1, static_cast<double>(at));
}

TEST(Simulation, BadScenariosAreToldWhere) {
  for (const auto& [text, place] :
       std::vector<std::pair<std::string, std::string>>{{"[world]\nseeds = 1\n", "seeds"},
                                                        {"[[trouble]]\nkind = \"flood\"\n", "flood"},
                                                        {"[[request]]\nclass = \"nobody\"\n", "nobody"},
                                                        {"[world]\nlength = \"1s\"\n", "length"},
                                                        {"[[trouble]]\nkind = 3\n", "kind"}}) {
    try {
      parse_scenario(text, "s.toml");
      ADD_FAILURE() << text;
    } catch (const config::ConfigError& e) {
      EXPECT_NE(std::string(e.what()).find(place), std::string::npos) << e.what();
      EXPECT_NE(std::string(e.what()).find("s.toml"), std::string::npos) << e.what();
    }
  }
}

class CleanWorlds : public testing::TestWithParam<int> {};

TEST_P(CleanWorlds, KeepEveryRule) {
  for (int i = 0; i < 25; ++i) {
    const Scenario s = make_scenario(static_cast<uint64_t>(GetParam()) * 25 + static_cast<uint64_t>(i) + 1);
    const RunResult r = run(s);
    for (const audit::Finding& f : r.findings)
      ADD_FAILURE() << s.name << ", rule " << f.rule << ": " << f.what;
    EXPECT_EQ(r.ends[End::kNoAnswer], 0u);
    EXPECT_GT(r.ends[End::kServed], 0u);
  }
}
INSTANTIATE_TEST_SUITE_P(Seeds, CleanWorlds, testing::Range(0, 8));

struct Planted {
  Defect defect;
  int rule;    // that it breaks
  int within;  // seeds
};

class PlantedDefects : public testing::TestWithParam<Planted> {};

TEST_P(PlantedDefects, AreFound) {
  RunOptions options;
  options.defect = GetParam().defect;
  options.stop_at_finding = true;
  bool found = false;
  for (uint64_t seed = 1; seed <= static_cast<uint64_t>(GetParam().within) && !found; ++seed) {
    const RunResult r = run(make_scenario(seed), options);
    found = std::any_of(r.findings.begin(), r.findings.end(),
                        [](const audit::Finding& f) { return f.rule == GetParam().rule; });
  }
  EXPECT_TRUE(found);
}
INSTANTIATE_TEST_SUITE_P(
    All, PlantedDefects,
    testing::Values(Planted{Defect::kDoubledSend, 2, 5}, Planted{Defect::kDropForgotten, 2, 5},
                    Planted{Defect::kAnswerTwice, 1, 5}, Planted{Defect::kAnswerNever, 1, 5},
                    Planted{Defect::kAnswerLate, 1, 5}, Planted{Defect::kClientLeftUnheard, 1, 20},
                    Planted{Defect::kDrainIgnored, 3, 20}, Planted{Defect::kUnsafeRepeated, 2, 10},
                    Planted{Defect::kKeyedAnywhere, 2, 20}, Planted{Defect::kOrderIgnored, 5, 10},
                    Planted{Defect::kGapIgnored, 5, 20}, Planted{Defect::kPlacementIgnored, 6, 5},
                    Planted{Defect::kBudgetIgnored, 7, 20}, Planted{Defect::kLostTimer, 1, 20},
                    Planted{Defect::kColdIgnored, 4, 80}, Planted{Defect::kBatchLost, 1, 5},
                    Planted{Defect::kBatchDoubled, 1, 5}, Planted{Defect::kBatchesMixed, 1, 5},
                    Planted{Defect::kSchemaOfAnother, 1, 5}, Planted{Defect::kUnreadKept, 0, 10},
                    Planted{Defect::kPlanUnbounded, 0, 5}, Planted{Defect::kPlanStays, 3, 40}),
    [](const auto& planted) { return std::string(defect_name(planted.param.defect)); });

TEST(Simulation, AFailingWorldIsCutDown) {
  RunOptions options;
  options.defect = Defect::kPlacementIgnored;
  const Scenario s = make_scenario(1);
  const Scenario small = shrink(s, options, 6, 60);
  EXPECT_LT(small.requests.size(), s.requests.size() / 4);
  const RunResult r = run(parse_scenario(to_toml(small), "small.toml"), options);
  EXPECT_TRUE(std::any_of(r.findings.begin(), r.findings.end(), [](const auto& f) { return f.rule == 6; }));
}

// A client's patience is for all its calls together; DoGet once had all of it again after GetFlightInfo, and
// an answer came after its client's time. The gateway stands still while the ticket is asked for.
TEST(Simulation, AClientsPatienceCoversTicketAndAnswer) {
  const Scenario s = parse_scenario(R"(
[world]
gateways = 1
nodes = 2
zones = 1
[[request]]
at = "1s"
patience = "1s"
work = "600ms"
threads = 1
[[trouble]]
kind = "gateway_stall"
at = "1s"
for = "700ms"
)",
                                    "patience.toml");
  const RunResult r = run(s);
  for (const audit::Finding& f : r.findings) ADD_FAILURE() << "rule " << f.rule << ": " << f.what;
  EXPECT_EQ(r.ends[End::kServed], 0u);
}

// ---- Named hard cases: each must really come about, which its account tells, and keep every rule

struct HardCase {
  const char* name;
  const char* text;
  std::vector<const char*> happens;  // what the account must tell, in this order
};

class HardCases : public testing::TestWithParam<HardCase> {};

TEST_P(HardCases, KeepEveryRule) {
  RunOptions keep;
  keep.keep_account = true;
  const RunResult r = run(parse_scenario(GetParam().text, GetParam().name), keep);
  for (const audit::Finding& f : r.findings) ADD_FAILURE() << "rule " << f.rule << ": " << f.what;
  size_t at = 0;
  for (const char* line : GetParam().happens) {
    at = r.account.find(line, at);
    ASSERT_NE(at, std::string::npos) << "it never came to: " << line;
  }
  EXPECT_EQ(r.ends[End::kNoAnswer], 0u);
}

constexpr const char* kColdInShift = R"(
[world]
seed = 3
requests = 1500
cores = 1
[[trouble]]
kind = "drain"
target = 0
at = "2s"
for = "500ms"
[[trouble]]
kind = "drain"
target = 1
at = "2600ms"
for = "500ms"
)";
constexpr const char* kDrainInRetry = R"(
[world]
seed = 4
nodes = 2
zones = 1
gateways = 1
requests = 60
[[request]]
at = "2s"
class = "lookup"
work = "200ms"
mishap = "error"
tries = 1
[[trouble]]
kind = "drain"
target = 0
at = "2150ms"
for = "600ms"
[[trouble]]
kind = "drain"
target = 1
at = "4s"
for = "600ms"
)";
constexpr const char* kLostThenElsewhere = R"(
[world]
seed = 5
zones = 1
requests = 0
[[request]]
at = "1s"
class = "lookup"
work = "30ms"
leaves_after = "20ms"
tries = 3
mishap = "lost"
[[request]]
at = "1s"
class = "booking"
work = "30ms"
tries = 3
mishap = "lost"
)";
constexpr const char* kUnsafeDies = R"(
[world]
seed = 6
nodes = 1
zones = 1
gateways = 1
[[request]]
number = 1
at = "1s"
class = "ordered"
key = "k"
work = "300ms"
patience = "4s"
[[request]]
number = 2
at = "1050ms"
class = "ordered"
key = "k"
work = "10ms"
patience = "4s"
[[trouble]]
kind = "node_crash"
at = "1200ms"
for = "400ms"
)";
constexpr const char* kAllDown = R"(
[world]
seed = 7
requests = 300
[[trouble]]
kind = "all_down"
at = "3s"
for = "800ms"
)";
constexpr const char* kRestartInColdWindow = R"(
[world]
seed = 8
requests = 300
[[trouble]]
kind = "all_down"
at = "3s"
for = "500ms"
[[trouble]]
kind = "gateway_crash"
target = 0
at = "3600ms"
for = "200ms"
)";
constexpr const char* kTwiceInList = R"(
[world]
seed = 9
requests = 300
[[trouble]]
kind = "list_doubles"
target = 0
at = "2s"
for = "3s"
[[trouble]]
kind = "drain"
target = 1
at = "3s"
for = "500ms"
)";
constexpr const char* kMemoryGone = R"(
[world]
seed = 10
nodes = 1
zones = 1
gateways = 1
[[request]]
number = 1
at = "1s"
class = "report"
work = "400ms"
memory = 4000
[[request]]
number = 2
at = "1100ms"
class = "report"
work = "50ms"
memory = 1000
[[trouble]]
kind = "memory_short"
value = 0.1
at = "1050ms"
for = "2s"
)";
constexpr const char* kStartsStale = R"(
[world]
seed = 11
requests = 300
[[trouble]]
kind = "stale_start"
at = "2s"
for = "1500ms"
value = 800
[[trouble]]
kind = "drain"
target = 1
at = "2500ms"
for = "300ms"
)";

INSTANTIATE_TEST_SUITE_P(
    Named, HardCases,
    testing::Values(
        HardCase{"AColdNodeInATrafficShift",
                 kColdInShift,
                 {"told that n0 drains", "n0 dies", "n0 starts", "told that n0 is ready", "to n0", "n0 has"}},
        HardCase{"ADrainDuringARetry", kDrainInRetry, {"trouble drain 0", "told that n0 drains", "n1 has"}},
        HardCase{"ALostAnswerThenARepeatElsewhere",
                 kLostThenElsewhere,
                 {"q1000000-0 asks g0", "q1000000-0 ends: CANCELLED", "q1000000-1 asks g1",
                  "q1000000-1 ends: OK"}},
        HardCase{
            "AnUnsafeNodeDiesItsLineWaits",
            kUnsafeDies,
            {"n0 has", "q2-0 asks", "n0 dies", "n0 ends", "q1-0 ends: UNKNOWN", "q2-0 ends: UNAVAILABLE"}},
        HardCase{"AllDownAndBackCold", kAllDown, {"n7 dies", "n0 starts", "to n0"}},
        HardCase{"AGatewayRestartsInAColdWindow",
                 kRestartInColdWindow,
                 {"n0 starts", "g0 dies", "g0 starts", "g0 takes"}},
        HardCase{"MemoryIsGoneAndQueriesLineUp", kMemoryGone, {"n0 has", "q1-0 ends: OK", "q2-0 ends: OK"}},
        HardCase{"AGatewayStartsFromAStaleList",
                 kStartsStale,
                 {"g0 dies", "n1 dies", "n1 starts", "g0 starts", "g0 is told that n1 is ready"}},
        HardCase{"AListNamesANodeTwice", kTwiceInList, {"trouble list_doubles", "g0 sends"}}),
    [](const auto& named) { return std::string(named.param.name); });

// A process that dies has its kernel tell; a machine that loses its power tells nobody, and a client's time
// alone ends what is out there.
TEST(Simulation, ASilentNodeIsHeardOfByTimersAlone) {
  const auto ends_at = [](const char* kind) {
    const std::string text = std::string("[world]\nnodes = 1\nzones = 1\ngateways = 1\n") +
                             "[[request]]\nnumber = 1\nat = \"1s\"\nclass = \"booking\"\n" +
                             "work = \"600ms\"\npatience = \"2s\"\n" + "[[trouble]]\nkind = \"" + kind +
                             "\"\nat = \"1200ms\"\nfor = \"4s\"\n";
    RunOptions keep;
    keep.keep_account = true;
    const RunResult r = run(parse_scenario(text, kind), keep);
    for (const audit::Finding& f : r.findings) ADD_FAILURE() << "rule " << f.rule << ": " << f.what;
    const size_t end = r.account.find("q1-0 ends");
    EXPECT_NE(end, std::string::npos);
    return std::stod(r.account.substr(r.account.rfind('\n', end) + 1, 14)) -
           1;  // the world's clock begins at 1 s
  };
  EXPECT_LT(ends_at("node_crash"), 1.3);
  EXPECT_GT(ends_at("node_silence"), 2.5);
}

// What waits for a process that stands still may be out of date when it goes on.
TEST(Simulation, AConnectionThatBreaksBeforeItsWordIsHeardNeverStands) {
  Account account;
  World world(1, account);
  Network network(world, {});
  const auto client = Actor::make(world, "client");
  const auto server = Actor::make(world, "server");
  network.listen("s", server, [](std::shared_ptr<rpc::ServerCall>) -> rpc::Awaitable<void> { co_return; });
  const auto channels = network.channels(client);
  const auto channel = channels->open("s");
  std::optional<bool> stands;
  const auto dial = [&]() -> rpc::Awaitable<void> { stands = co_await channel->connect(1'000'000); };
  boost::asio::co_spawn(world.executor(), dial(), boost::asio::detached);
  world.settle();
  client->stall(10'000);
  world.after(5'000, [&] { network.reset("", "s"); });
  world.run_until(world.now() + 2'000'000);
  EXPECT_EQ(stands, false);
}

// The end of a client's patience, or its leaving, at any moment of a request's life, and at every moment
// around the answer's.
TEST(Simulation, TimesThatMeetTheAnswersKeepEveryRule) {
  for (const bool leaves : {false, true}) {
    uint64_t served = 0;
    uint64_t other = 0;
    for (TimeUs moment = 50; moment < 76'000; moment += moment < 3'000 ? 30 : moment < 70'000 ? 700 : 25) {
      Scenario s;
      s.gateways = 1;
      s.nodes = s.zones = 1;
      RequestEvent r;
      r.number = 1;
      r.at = 100'000;
      r.cls = "booking";
      r.work_us = 70'000;
      r.patience_us = leaves ? 3'000'000 : moment;
      r.leaves_after_us = leaves ? moment : 0;
      s.requests.push_back(r);
      const RunResult out = run(s);
      for (const audit::Finding& f : out.findings)
        ADD_FAILURE() << moment << " us, rule " << f.rule << ": " << f.what;
      served += out.ends[End::kServed];
      other += out.ends[End::kLeft] + out.ends[End::kRefused] + out.ends[End::kFailed] +
               out.ends[End::kUnreachable];
    }
    if (leaves) {
      EXPECT_GT(served, 0u);
    }
    EXPECT_GT(other, 0u);
  }
}

}  // namespace
}  // namespace sablelink::sim
