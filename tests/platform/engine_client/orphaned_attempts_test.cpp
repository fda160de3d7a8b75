// Attempts of one request never overlap, whatever becomes of the cancellation of the previous one.
#include "platform/engine_client/orphaned_attempts.h"

#include <gtest/gtest.h>

#include <optional>

#include "tests/platform/engine_client/engine_client_harness.h"
#include "tests/platform/platform_harness.h"

namespace sablelink::test {
namespace {

// Rule 2: without hedging, the next attempt reaches its engine only after the previous one has ended.
TEST(OrphanedAttempts, NextAttemptWaitsForConfirmedCancellation) {
  PlatformBench bench;
  ScriptedNode& first_engine = bench.add_node();
  ScriptedNode& second_engine = bench.add_node();
  first_engine.work_us = 10 * kSecond;
  second_engine.work_us = 10 * kSecond;
  first_engine.script = confirm_cancellation_late;
  bench.tell();
  bench.nodes().start({7, 0}, bench.id_of(first_engine), make_spec(id_number(7)));
  bench.run_for(300 * kMs);
  ASSERT_EQ(first_engine.count("POST"), 1u);
  bench.nodes().cancel({7, 0});
  bench.nodes().start({7, 1}, bench.id_of(second_engine), make_spec(id_number(7)));
  bench.run_for(kSecond);
  ASSERT_NE(first_engine.first("DELETE"), nullptr);
  ASSERT_NE(second_engine.first("POST"), nullptr);
  EXPECT_GE(second_engine.first("POST")->at, first_engine.first("DELETE")->at + 100 * kMs);
  bench.nodes().cancel({7, 1});
  bench.run_for(kSecond);
}

// On another connection a DELETE could overtake the POST that it cancels.
TEST(OrphanedAttempts, CancellationIsDelayedBehindItsStart) {
  PlatformBench bench;
  ScriptedNode& first_engine = bench.add_node();
  ScriptedNode& second_engine = bench.add_node();
  first_engine.work_us = 10 * kSecond;
  second_engine.work_us = 10 * kSecond;
  int cancellations = 0;
  first_engine.script = [&](const ScriptedNode::Seen& received) -> std::optional<NodeReply> {
    if (received.request.method != "DELETE" || ++cancellations > 1) return std::nullopt;
    return NodeReply{http::write_response(404, {}, "", true)};  // says nothing about the attempt
  };
  bench.tell();
  bench.nodes().start({7, 0}, bench.id_of(first_engine), make_spec(id_number(7)));
  while (first_engine.count("POST") == 0) bench.run_for(kMs);
  bench.nodes().cancel({7, 0});
  bench.nodes().start({7, 1}, bench.id_of(second_engine), make_spec(id_number(7)));
  bench.run_for(kSecond);
  ASSERT_EQ(first_engine.count("DELETE"), 2u);
  EXPECT_GE(first_engine.first("DELETE")->at, first_engine.first("POST")->at + 25 * kMs);
  ASSERT_NE(second_engine.first("POST"), nullptr);
  EXPECT_GT(second_engine.first("POST")->at, first_engine.seen.back().at);
  bench.nodes().cancel({7, 1});
  bench.run_for(kSecond);
}

TEST(OrphanedAttempts, NextAttemptWaitsUntilUnresponsiveEngineHasAbandonedPrevious) {
  PlatformBench bench;
  ScriptedNode& first_engine = bench.add_node();
  ScriptedNode& second_engine = bench.add_node();
  second_engine.work_us = 10 * kSecond;
  first_engine.script = [](const ScriptedNode::Seen&) { return NodeReply{"", 0, false, true}; };
  bench.tell();
  bench.nodes().start({7, 0}, bench.id_of(first_engine), make_spec(id_number(7)));
  bench.run_for(300 * kMs);
  bench.nodes().cancel({7, 0});
  bench.nodes().start({7, 1}, bench.id_of(second_engine), make_spec(id_number(7)));
  bench.run_for(5 * kSecond);
  ASSERT_NE(second_engine.first("POST"), nullptr);
  TimeUs last_call_at = 0;
  for (const auto& received : first_engine.seen)
    if (received.request.method != "DELETE") last_call_at = received.at;
  // The engine may have held the last call for 250 ms, and counts 2 s from the end of that.
  EXPECT_GE(second_engine.first("POST")->at, last_call_at + 2250 * kMs);
  bench.nodes().cancel({7, 1});
  bench.run_for(kSecond);
}

// Rule 3: a start that has waited is not sent once its engine is known to be draining.
TEST(OrphanedAttempts, DelayedAttemptDoesNotStartOnDrainingEngine) {
  PlatformBench bench;
  ScriptedNode& first_engine = bench.add_node();
  ScriptedNode& second_engine = bench.add_node();
  bench.tell();
  first_engine.work_us = 10 * kSecond;
  second_engine.work_us = 10 * kSecond;
  first_engine.script = confirm_cancellation_late;
  bench.nodes().start({7, 0}, bench.id_of(first_engine), make_spec(id_number(7)));
  bench.run_for(100 * kMs);
  bench.nodes().cancel({7, 0});
  bench.nodes().start({7, 1}, bench.id_of(second_engine), make_spec(id_number(7)));
  bench.tell({{second_engine.address(), EndpointState::kDraining}});
  bench.run_for(2 * kSecond);
  EXPECT_EQ(second_engine.count("POST"), 0u);
}

// The engine has yet to read the start: that it does not know the attempt proves nothing.
TEST(OrphanedAttempts, UnknownAttemptWhoseStartIsUnansweredIsNotConfirmed) {
  PlatformBench bench;
  ScriptedNode& first_engine = bench.add_node();
  ScriptedNode& second_engine = bench.add_node();
  second_engine.work_us = 10 * kSecond;
  first_engine.script = [&](const ScriptedNode::Seen& received) -> std::optional<NodeReply> {
    if (received.request.method == "POST")
      return NodeReply{http::write_response(202, {}, "", true), 300 * kMs};
    return NodeReply{
        http::write_response(received.at < first_engine.seen[0].at + 300 * kMs ? 500 : 204, {}, "", true)};
  };
  bench.tell();
  bench.nodes().start({7, 0}, bench.id_of(first_engine), make_spec(id_number(7)));
  while (first_engine.count("POST") == 0) bench.run_for(kMs);
  bench.nodes().cancel({7, 0});
  bench.nodes().start({7, 1}, bench.id_of(second_engine), make_spec(id_number(7)));
  bench.run_for(3 * kSecond);
  ASSERT_NE(second_engine.first("POST"), nullptr);
  EXPECT_GE(second_engine.first("POST")->at, first_engine.first("POST")->at + 300 * kMs);
  bench.nodes().cancel({7, 1});
  bench.run_for(kSecond);
}

// A client repeats its request under the same tag, as after a disconnect: engines know both attempts by it.
TEST(OrphanedAttempts, ReusedClientTagWaitsForPreviousAttempt) {
  PlatformBench bench;
  ScriptedNode& first_engine = bench.add_node();
  ScriptedNode& second_engine = bench.add_node();
  first_engine.work_us = 10 * kSecond;
  second_engine.work_us = 10 * kSecond;
  first_engine.script = confirm_cancellation_late;
  bench.tell();
  bench.nodes().start({7, 0}, bench.id_of(first_engine), make_spec(id_number(7)));
  bench.run_for(100 * kMs);
  bench.nodes().cancel({7, 0});
  bench.nodes().start({8, 0}, bench.id_of(second_engine), make_spec(id_number(7)));
  bench.run_for(kSecond);
  ASSERT_NE(first_engine.first("DELETE"), nullptr);
  ASSERT_NE(second_engine.first("POST"), nullptr);
  EXPECT_GE(second_engine.first("POST")->at, first_engine.first("DELETE")->at + 100 * kMs);
  bench.nodes().cancel({8, 0});
  bench.run_for(kSecond);
}

}  // namespace
}  // namespace sablelink::test
