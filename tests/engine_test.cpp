// The engine model of the stand-in nodes, and the hint comments of their statements.
#include "nodes/engine.h"

#include <gtest/gtest.h>

#include "nodes/node_config.h"

namespace sablelink::nodes {
namespace {

constexpr TimeUs kMs = 1000, kSecond = 1'000'000;

Job job(uint64_t id, double work_ms, double threads = 1, int priority = 1) {
  Job j;
  j.id = id;
  j.work_us = work_ms * 1000;
  j.threads = threads;
  j.io_fraction = 0;
  j.priority = priority;
  return j;
}

EngineSettings eight_core_settings() {
  EngineSettings s;
  s.full_speed_io_threads = 100;
  return s;
}

// Runs until all jobs are complete and returns how long each took since `from`, by job id.
std::map<uint64_t, TimeUs> run(Engine& e, TimeUs from) {
  std::map<uint64_t, TimeUs> durations;
  while (const auto next = e.next_completion())
    for (const uint64_t id : e.advance(*next)) durations[id] = *next - from;
  return durations;
}

TEST(Engine, DurationWithoutContentionIsWorkDividedByThreads) {
  Engine e(eight_core_settings(), 0);
  e.admit(0, job(1, 800));
  e.admit(0, job(2, 800, 4));
  const auto durations = run(e, 0);
  EXPECT_NEAR(durations.at(1), 800 * kMs, kMs);
  EXPECT_NEAR(durations.at(2), 200 * kMs, kMs);
}

TEST(Engine, ScarceCoresAreAllocatedByPriority) {
  Engine e(eight_core_settings(), 0);
  for (uint64_t i = 1; i <= 8; ++i) e.admit(0, job(i, 100, 1, 3));
  for (uint64_t i = 11; i <= 18; ++i) e.admit(0, job(i, 100, 1, 0));
  const auto durations = run(e, 0);
  EXPECT_LT(durations.at(1), 120 * kMs);
  EXPECT_GT(durations.at(11), 150 * kMs);
}

TEST(Engine, OversubscribedCoresReduceTotalThroughput) {
  Engine normal(eight_core_settings(), 0);
  Engine oversubscribed(eight_core_settings(), 0);
  for (uint64_t i = 1; i <= 8; ++i) normal.admit(0, job(i, 100));
  for (uint64_t i = 1; i <= 32; ++i) oversubscribed.admit(0, job(i, 25));
  EXPECT_GT(run(oversubscribed, 0).rbegin()->second, 1.3 * run(normal, 0).rbegin()->second);
}

TEST(Engine, JobsQueueForMemoryByPriority) {
  EngineSettings s = eight_core_settings();
  s.memory_mb = 100;
  Engine e(s, 0);
  Job a = job(1, 100);
  Job b = job(2, 100, 1, 0);
  Job c = job(3, 100, 1, 3);
  a.memory_mb = b.memory_mb = c.memory_mb = 80;
  EXPECT_EQ(e.admit(0, a), Admission::kRunning);
  EXPECT_EQ(e.admit(0, b), Admission::kQueued);
  EXPECT_EQ(e.admit(0, c), Admission::kQueued);
  EXPECT_EQ(e.report().waiting_for_memory, 2);
  const auto durations = run(e, 0);
  EXPECT_LT(durations.at(1), durations.at(3));
  EXPECT_LT(durations.at(3), durations.at(2));
}

TEST(Engine, SmallerMemoryGrantIncreasesWork) {
  Engine e(eight_core_settings(), 0);
  Job j = job(1, 100);
  j.memory_mb = 100;
  j.grant_mb = 20;
  e.admit(0, j);
  EXPECT_GT(run(e, 0).at(1), 150 * kMs);
}

TEST(Engine, JobsOverTheSessionLimitAreNotAdmitted) {
  EngineSettings s = eight_core_settings();
  s.sessions_per_core = 0.25;
  Engine e(s, 0);
  e.admit(0, job(1, 100));
  e.admit(0, job(2, 100));
  EXPECT_EQ(e.admit(0, job(3, 100)), Admission::kTooManySessions);
  e.remove(0, 1);
  EXPECT_EQ(e.admit(0, job(4, 100)), Admission::kRunning);
}

TEST(Engine, WarmingEngineIsSlowAndCollapsesUnderOverload) {
  EngineSettings s = eight_core_settings();
  s.slow_start_min_capacity_fraction = 0.25;
  s.slow_start_duration_us = 10 * kSecond;
  s.collapse_load_multiple = 2;
  s.collapse_window_us = kSecond;
  Engine e(s, 0);
  e.admit(0, job(1, 100));
  EXPECT_GT(*e.next_completion(), 300 * kMs);
  for (uint64_t i = 2; i <= 39; ++i) e.admit(0, job(i, 100));  // 3.9 s of work; it collapses over 4 s
  EXPECT_FALSE(e.collapsed());
  e.admit(0, job(40, 200));
  EXPECT_TRUE(e.collapsed());
  Engine warm(s, 0);
  for (uint64_t i = 1; i <= 50; ++i) warm.admit(11 * kSecond, job(i, 200));
  EXPECT_FALSE(warm.collapsed());
}

TEST(Engine, CachedTableGroupSavesIo) {
  Engine e(eight_core_settings(), 0);
  Job j = job(1, 100);
  j.io_fraction = 0.8;
  j.table_group = 5;
  e.admit(0, j);
  const TimeUs first = run(e, 0).at(1);
  j.id = 2;
  e.admit(first, j);
  EXPECT_LT(run(e, first).at(2), 0.7 * first);
}

// Jobs that complete within admit() or remove() must be returned by the next advance().
TEST(Engine, JobCompletedDuringAnotherCallIsReturnedByAdvance) {
  Engine e(eight_core_settings(), 0);
  e.admit(0, job(1, 10));
  e.admit(20 * kMs, job(2, 10));  // job 1 has completed by then
  e.remove(40 * kMs, 3);          // and so has job 2
  EXPECT_EQ(e.advance(40 * kMs), (std::vector<uint64_t>{1, 2}));
  EXPECT_TRUE(e.advance(41 * kMs).empty());
}

TEST(Engine, SlowdownFactorMultipliesDuration) {
  Engine e(eight_core_settings(), 0);
  e.set_slowdown(0, 4);
  e.admit(0, job(1, 100));
  EXPECT_NEAR(run(e, 0).at(1), 400 * kMs, 2 * kMs);
}

// A running job keeps the memory that it was allocated and releases exactly that, even when the total was
// changed in the meantime.
TEST(Engine, ReducedMemoryDelaysStartsUntilTheyFit) {
  Engine e(eight_core_settings(), 0);
  Job large = job(1, 100);
  large.memory_mb = 10'000;
  e.admit(0, large);
  e.set_memory(0, 1'000);
  Job small = job(2, 100);
  small.memory_mb = 500;
  EXPECT_EQ(e.admit(0, small), Admission::kQueued);
  EXPECT_EQ(run(e, 0), (std::map<uint64_t, TimeUs>{{1, 100 * kMs}, {2, 200 * kMs}}));
  EXPECT_EQ(e.report().memory_utilization, 0);
  e.set_memory(200 * kMs, 16'384);
  large.id = 3;
  EXPECT_EQ(e.admit(200 * kMs, large), Admission::kRunning);
}

TEST(StatementHint, IsParsedFromTheComment) {
  const StatementHint h = read_hint("SELECT /*+ work=20ms threads=4 rows=9 mishap=lost on_attempt=0 */ 1");
  EXPECT_EQ(h.work_us, 20'000);
  EXPECT_EQ(h.threads, 4);
  EXPECT_EQ(h.rows, 9);
  EXPECT_EQ(h.fault, StatementHint::HintFault::kLostResponse);
  EXPECT_EQ(h.on_attempt, 0);
  EXPECT_EQ(read_hint("SELECT 1 /*+ work=soon threads=-4 rows=x").rows, StatementHint().rows);
  EXPECT_EQ(read_hint("/*+ threads=-4 */").threads, 1);
}

}  // namespace
}  // namespace sablelink::nodes
