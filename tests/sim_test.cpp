// Tests of the simulation: runs are reproducible and break no rule, and mutations of the gateway are
// detected.
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

TEST(Simulation, EqualSeedsGiveEqualRuns) {
  const Scenario s = make_scenario(5);
  RunOptions keep_log;
  keep_log.keep_event_log = true;
  const RunResult a = run(s, keep_log);
  const RunResult b = run(s, keep_log);
  const RunResult without_log = run(s);
  EXPECT_FALSE(a.event_log.empty());
  EXPECT_EQ(a.event_log, b.event_log);
  EXPECT_EQ(a.digest, without_log.digest);
  EXPECT_NE(a.digest, run(make_scenario(6)).digest);
}

TEST(Simulation, GeneratedScenariosHaveTheMinimumSize) {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    const Scenario s = make_scenario(seed);
    EXPECT_GE(s.gateways, 3);
    EXPECT_GE(s.nodes, 8);
    EXPECT_GE(s.requests.size(), 300u);
    EXPECT_GE(s.faults.size(), 3u);
  }
}

TEST(Simulation, ScenarioSurvivesTomlRoundTrip) {
  const Scenario s = make_scenario(11);
  const Scenario again = parse_scenario(to_toml(s), "again.toml");
  EXPECT_EQ(run(s).digest, run(again).digest);
}

// Each request and each fault has its own random streams.
TEST(Simulation, RemovingAFaultChangesNothingBeforeIt) {
  Scenario s = make_scenario(12);
  std::sort(s.faults.begin(), s.faults.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  s.faults.erase(std::remove_if(s.faults.begin(), s.faults.end(),
                                [](const FaultEvent& t) { return t.kind == FaultKind::kHotKey; }),
                 s.faults.end());
  ASSERT_GE(s.faults.size(), 2u);
  Scenario without_last = s;
  const TimeUs at = s.faults.back().at + 1'000'000;
  without_last.faults.pop_back();
  RunOptions keep_log;
  keep_log.keep_event_log = true;
  const std::string a = run(s, keep_log).event_log;
  const std::string b = run(without_last, keep_log).event_log;
  // Both event logs are equal up to the fault that was removed from one of them.
  const auto [x, y] = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  ASSERT_NE(x, a.end());
  const size_t line = a.rfind('\n', static_cast<size_t>(x - a.begin())) + 1;
  EXPECT_GE(std::stod(a.substr(line, 14)) * 1e6 + 1, static_cast<double>(at));
}

TEST(Simulation, ErrorsOfScenarioFilesNameTheirPlace) {
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

TEST_P(CleanWorlds, BreakNoRule) {
  for (int i = 0; i < 25; ++i) {
    const Scenario s = make_scenario(static_cast<uint64_t>(GetParam()) * 25 + static_cast<uint64_t>(i) + 1);
    const RunResult r = run(s);
    for (const audit::Finding& f : r.findings)
      ADD_FAILURE() << s.name << ", rule " << f.rule << ": " << f.what;
    EXPECT_EQ(r.ends[End::kNoResponse], 0u);
    EXPECT_GT(r.ends[End::kServed], 0u);
  }
}
INSTANTIATE_TEST_SUITE_P(Seeds, CleanWorlds, testing::Range(0, 8));

struct MutationCase {
  Mutation mutation;
  int rule;       // the rule that must be reported as broken
  int max_seeds;  // seeds 1 to max_seeds are tried until the rule is reported
};

class Mutations : public testing::TestWithParam<MutationCase> {};

TEST_P(Mutations, AreDetected) {
  RunOptions options;
  options.mutation = GetParam().mutation;
  options.stop_at_finding = true;
  bool found = false;
  for (uint64_t seed = 1; seed <= static_cast<uint64_t>(GetParam().max_seeds) && !found; ++seed) {
    const RunResult r = run(make_scenario(seed), options);
    found = std::any_of(r.findings.begin(), r.findings.end(),
                        [](const audit::Finding& f) { return f.rule == GetParam().rule; });
  }
  EXPECT_TRUE(found);
}
INSTANTIATE_TEST_SUITE_P(
    All, Mutations,
    testing::Values(
        MutationCase{Mutation::kDuplicateSend, 2, 5}, MutationCase{Mutation::kCancelNotSent, 2, 5},
        MutationCase{Mutation::kDuplicateResponse, 1, 5}, MutationCase{Mutation::kResponseNeverSent, 1, 5},
        MutationCase{Mutation::kTimeoutExtended, 1, 5}, MutationCase{Mutation::kClientCancelIgnored, 1, 20},
        MutationCase{Mutation::kDrainIgnored, 3, 20}, MutationCase{Mutation::kNonIdempotentRetried, 2, 10},
        MutationCase{Mutation::kKeyedRetriedAnywhere, 2, 20}, MutationCase{Mutation::kKeyOrderIgnored, 5, 10},
        MutationCase{Mutation::kOrderingGapIgnored, 5, 20}, MutationCase{Mutation::kPlacementIgnored, 6, 5},
        MutationCase{Mutation::kRetryBudgetIgnored, 7, 20}, MutationCase{Mutation::kTimerLost, 1, 20},
        MutationCase{Mutation::kSlowStartIgnored, 4, 80}, MutationCase{Mutation::kBatchLost, 1, 5},
        MutationCase{Mutation::kBatchDuplicated, 1, 5}, MutationCase{Mutation::kForeignBatch, 1, 5},
        MutationCase{Mutation::kForeignSchema, 1, 5}, MutationCase{Mutation::kUnreadBytesLeaked, 0, 10},
        MutationCase{Mutation::kPlanningUnlimited, 0, 5}, MutationCase{Mutation::kPlanningPinned, 3, 40}),
    [](const auto& mutation) { return std::string(mutation_name(mutation.param.mutation)); });

TEST(Simulation, ShrinkKeepsTheBrokenRule) {
  RunOptions options;
  options.mutation = Mutation::kPlacementIgnored;
  const Scenario s = make_scenario(1);
  const Scenario reduced = shrink(s, options, 6, 60);
  EXPECT_LT(reduced.requests.size(), s.requests.size() / 4);
  const RunResult r = run(parse_scenario(to_toml(reduced), "small.toml"), options);
  EXPECT_TRUE(std::any_of(r.findings.begin(), r.findings.end(), [](const auto& f) { return f.rule == 6; }));
}

// A client's timeout covers all its calls. If DoGet got the full timeout again after GetFlightInfo, a
// response could arrive after the client's deadline. The gateway stalls during GetFlightInfo.
TEST(Simulation, ClientTimeoutCoversTicketAndResponse) {
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

// ---- Scenarios of specific faults: the event log must show that they take place, and no rule may be broken

struct FaultCase {
  const char* name;
  const char* text;
  std::vector<const char*> expected_log;  // contained in the event log in this order
};

class SpecificFaults : public testing::TestWithParam<FaultCase> {};

TEST_P(SpecificFaults, BreakNoRule) {
  RunOptions keep_log;
  keep_log.keep_event_log = true;
  const RunResult r = run(parse_scenario(GetParam().text, GetParam().name), keep_log);
  for (const audit::Finding& f : r.findings) ADD_FAILURE() << "rule " << f.rule << ": " << f.what;
  size_t at = 0;
  for (const char* line : GetParam().expected_log) {
    at = r.event_log.find(line, at);
    ASSERT_NE(at, std::string::npos) << "missing in the event log: " << line;
  }
  EXPECT_EQ(r.ends[End::kNoResponse], 0u);
}

constexpr const char* kWarmingDuringLoadShift = R"(
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
constexpr const char* kDrainDuringRetry = R"(
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
constexpr const char* kLostThenRetried = R"(
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
constexpr const char* kCrashDuringOrdered = R"(
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
constexpr const char* kAllNodesRestart = R"(
[world]
seed = 7
requests = 300
[[trouble]]
kind = "all_down"
at = "3s"
for = "800ms"
)";
constexpr const char* kGatewayRestartDuringWarmUp = R"(
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
constexpr const char* kDuplicatesInNodeList = R"(
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
constexpr const char* kMemoryExhausted = R"(
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
constexpr const char* kStaleNodeList = R"(
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
    Named, SpecificFaults,
    testing::Values(
        FaultCase{"NodeWarmingUpDuringLoadShift",
                  kWarmingDuringLoadShift,
                  {"notified that n0 is draining", "n0 stops", "n0 starts", "notified that n0 is ready",
                   "to n0", "n0 receives"}},
        FaultCase{"DrainDuringRetry",
                  kDrainDuringRetry,
                  {"fault drain 0", "notified that n0 is draining", "n1 receives"}},
        FaultCase{"LostResponseThenRetryAtAnotherGateway",
                  kLostThenRetried,
                  {"q1000000-0 requests from g0", "q1000000-0 ends: CANCELLED", "q1000000-1 requests from g1",
                   "q1000000-1 ends: OK"}},
        FaultCase{"CrashDuringOrderedRequestDelaysItsKey",
                  kCrashDuringOrdered,
                  {"n0 receives", "q2-0 requests", "n0 stops", "n0 ends", "q1-0 ends: UNKNOWN",
                   "q2-0 ends: UNAVAILABLE"}},
        FaultCase{"AllNodesRestart", kAllNodesRestart, {"n7 stops", "n0 starts", "to n0"}},
        FaultCase{"GatewayRestartsWhileNodesWarmUp",
                  kGatewayRestartDuringWarmUp,
                  {"n0 starts", "g0 stops", "g0 starts", "g0 receives"}},
        FaultCase{
            "QueriesQueueForMemory", kMemoryExhausted, {"n0 receives", "q1-0 ends: OK", "q2-0 ends: OK"}},
        FaultCase{"GatewayStartsWithStaleNodeList",
                  kStaleNodeList,
                  {"g0 stops", "n1 stops", "n1 starts", "g0 starts", "g0 is notified that n1 is ready"}},
        FaultCase{"NodeListWithDuplicates", kDuplicatesInNodeList, {"fault list_doubles", "g0 sends"}}),
    [](const auto& fault_case) { return std::string(fault_case.param.name); });

// If a process crashes, its kernel closes the connections. If a machine loses its power, nothing is sent, and
// only the client's timeout ends the calls.
TEST(Simulation, PowerLossIsDetectedByTimeoutsOnly) {
  const auto ends_at = [](const char* kind) {
    const std::string text = std::string("[world]\nnodes = 1\nzones = 1\ngateways = 1\n") +
                             "[[request]]\nnumber = 1\nat = \"1s\"\nclass = \"booking\"\n" +
                             "work = \"600ms\"\npatience = \"2s\"\n" + "[[trouble]]\nkind = \"" + kind +
                             "\"\nat = \"1200ms\"\nfor = \"4s\"\n";
    RunOptions keep_log;
    keep_log.keep_event_log = true;
    const RunResult r = run(parse_scenario(text, kind), keep_log);
    for (const audit::Finding& f : r.findings) ADD_FAILURE() << "rule " << f.rule << ": " << f.what;
    const size_t end = r.event_log.find("q1-0 ends");
    EXPECT_NE(end, std::string::npos);
    return std::stod(r.event_log.substr(r.event_log.rfind('\n', end) + 1, 14)) -
           1;  // the world's clock starts at 1 s
  };
  EXPECT_LT(ends_at("node_crash"), 1.3);
  EXPECT_GT(ends_at("node_silence"), 2.5);
}

// A connection is accepted and then breaks while its client is stalled. The client then processes the delayed
// acceptance and must not take the connection for established.
TEST(Simulation, ConnectionBrokenDuringClientStallIsNotEstablished) {
  EventLog event_log;
  World world(1, event_log);
  Network network(world, {});
  const auto client = Actor::make(world, "client");
  const auto server = Actor::make(world, "server");
  network.listen("s", server, [](std::shared_ptr<rpc::ServerCall>) -> rpc::Awaitable<void> { co_return; });
  const auto channels = network.channels(client);
  const auto channel = channels->open("s");
  std::optional<bool> connected;
  const auto connect = [&]() -> rpc::Awaitable<void> { connected = co_await channel->connect(1'000'000); };
  boost::asio::co_spawn(world.executor(), connect(), boost::asio::detached);
  world.settle();
  client->stall(10'000);
  world.after(5'000, [&] { network.reset("", "s"); });
  world.run_until(world.now() + 2'000'000);
  EXPECT_EQ(connected, false);
}

// A client's timeout or cancellation at any time of a request, in steps of 25 to 30 us near its start and its
// response.
TEST(Simulation, TimeoutsAndCancelsAtAnyTimeBreakNoRule) {
  for (const bool cancels : {false, true}) {
    uint64_t served = 0;
    uint64_t not_served = 0;
    for (TimeUs end_after = 50; end_after < 76'000; end_after += end_after < 3'000    ? 30
                                                                 : end_after < 70'000 ? 700
                                                                                      : 25) {
      Scenario s;
      s.gateways = 1;
      s.nodes = s.zones = 1;
      RequestEvent r;
      r.number = 1;
      r.at = 100'000;
      r.cls = "booking";
      r.work_us = 70'000;
      r.timeout_us = cancels ? 3'000'000 : end_after;
      r.cancel_after_us = cancels ? end_after : 0;
      s.requests.push_back(r);
      const RunResult out = run(s);
      for (const audit::Finding& f : out.findings)
        ADD_FAILURE() << end_after << " us, rule " << f.rule << ": " << f.what;
      served += out.ends[End::kServed];
      not_served += out.ends[End::kCancelled] + out.ends[End::kRejected] + out.ends[End::kFailed] +
                    out.ends[End::kUnreachable];
    }
    if (cancels) {
      EXPECT_GT(served, 0u);
    }
    EXPECT_GT(not_served, 0u);
  }
}

}  // namespace
}  // namespace sablelink::sim
