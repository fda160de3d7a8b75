// The stand-in's model of an engine.
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
  j.io = 0;
  j.priority = priority;
  return j;
}

EngineSettings eight_cores() {
  EngineSettings s;
  s.disks = 100;
  return s;
}

// Runs until all have ended; their times.
std::map<uint64_t, TimeUs> run(Engine& e, TimeUs from) {
  std::map<uint64_t, TimeUs> ends;
  while (const auto next = e.next_end())
    for (const uint64_t id : e.advance(*next)) ends[id] = *next - from;
  return ends;
}

TEST(Engine, AQueryAloneTakesItsWorkOverItsThreads) {
  Engine e(eight_cores(), 0);
  e.admit(0, job(1, 800));
  e.admit(0, job(2, 800, 4));
  const auto ends = run(e, 0);
  EXPECT_NEAR(ends.at(1), 800 * kMs, kMs);
  EXPECT_NEAR(ends.at(2), 200 * kMs, kMs);
}

TEST(Engine, ShortCoresGoByPriority) {
  Engine e(eight_cores(), 0);
  for (uint64_t i = 1; i <= 8; ++i) e.admit(0, job(i, 100, 1, 3));
  for (uint64_t i = 11; i <= 18; ++i) e.admit(0, job(i, 100, 1, 0));
  const auto ends = run(e, 0);
  EXPECT_LT(ends.at(1), 120 * kMs);
  EXPECT_GT(ends.at(11), 150 * kMs);
}

TEST(Engine, OvercrowdedItDoesLessInAll) {
  Engine calm(eight_cores(), 0);
  Engine crowded(eight_cores(), 0);
  for (uint64_t i = 1; i <= 8; ++i) calm.admit(0, job(i, 100));
  for (uint64_t i = 1; i <= 32; ++i) crowded.admit(0, job(i, 25));
  EXPECT_GT(run(crowded, 0).rbegin()->second, 1.3 * run(calm, 0).rbegin()->second);
}

TEST(Engine, MemoryIsWaitedForByPriority) {
  EngineSettings s = eight_cores();
  s.memory_mb = 100;
  Engine e(s, 0);
  Job a = job(1, 100);
  Job b = job(2, 100, 1, 0);
  Job c = job(3, 100, 1, 3);
  a.memory_mb = b.memory_mb = c.memory_mb = 80;
  EXPECT_EQ(e.admit(0, a), Admission::kRunning);
  EXPECT_EQ(e.admit(0, b), Admission::kWaiting);
  EXPECT_EQ(e.admit(0, c), Admission::kWaiting);
  EXPECT_EQ(e.report().waiting_for_memory, 2);
  const auto ends = run(e, 0);
  EXPECT_LT(ends.at(1), ends.at(3));
  EXPECT_LT(ends.at(3), ends.at(2));
}

TEST(Engine, AQueryGivenLessMemoryDoesMoreWork) {
  Engine e(eight_cores(), 0);
  Job j = job(1, 100);
  j.memory_mb = 100;
  j.grant_mb = 20;
  e.admit(0, j);
  EXPECT_GT(run(e, 0).at(1), 150 * kMs);
}

TEST(Engine, TooManySessionsAreNotAdmitted) {
  EngineSettings s = eight_cores();
  s.sessions_per_core = 0.25;
  Engine e(s, 0);
  e.admit(0, job(1, 100));
  e.admit(0, job(2, 100));
  EXPECT_EQ(e.admit(0, job(3, 100)), Admission::kTooMany);
  e.remove(0, 1);
  EXPECT_EQ(e.admit(0, job(4, 100)), Admission::kRunning);
}

TEST(Engine, AColdOneIsSlowAndFallsOverWhenPushed) {
  EngineSettings s = eight_cores();
  s.cold_from = 0.25;
  s.warm_after_us = 10 * kSecond;
  s.fall_multiple = 2;
  s.fall_us = kSecond;
  Engine e(s, 0);
  e.admit(0, job(1, 100));
  EXPECT_GT(*e.next_end(), 300 * kMs);
  for (uint64_t i = 2; i <= 39; ++i) e.admit(0, job(i, 100));  // 3.9 of the 4 s of work that it bears
  EXPECT_FALSE(e.fallen());
  e.admit(0, job(40, 200));
  EXPECT_TRUE(e.fallen());
  Engine warm(s, 0);
  for (uint64_t i = 1; i <= 50; ++i) warm.admit(11 * kSecond, job(i, 200));
  EXPECT_FALSE(warm.fallen());
}

TEST(Engine, WarmGroupsSaveReading) {
  Engine e(eight_cores(), 0);
  Job j = job(1, 100);
  j.io = 0.8;
  j.group = 5;
  e.admit(0, j);
  const TimeUs first = run(e, 0).at(1);
  j.id = 2;
  e.admit(first, j);
  EXPECT_LT(run(e, first).at(2), 0.7 * first);
}

TEST(Engine, WhatEndsWhileAnotherComesIsStillTold) {
  Engine e(eight_cores(), 0);
  e.admit(0, job(1, 10));
  e.admit(20 * kMs, job(2, 10));  // the first has ended by then
  e.remove(40 * kMs, 3);          // and the second
  EXPECT_EQ(e.advance(40 * kMs), (std::vector<uint64_t>{1, 2}));
  EXPECT_TRUE(e.advance(41 * kMs).empty());
}

TEST(Engine, SlowedDownItTakesLonger) {
  Engine e(eight_cores(), 0);
  e.set_slow(0, 4);
  e.admit(0, job(1, 100));
  EXPECT_NEAR(run(e, 0).at(1), 400 * kMs, 2 * kMs);
}

// What runs keeps its memory and gives back just that, whatever the memory has become since.
TEST(Engine, WithMemoryTakenAwayNothingStartsUntilItFits) {
  Engine e(eight_cores(), 0);
  Job large = job(1, 100);
  large.memory_mb = 10'000;
  e.admit(0, large);
  e.set_memory(0, 1'000);
  Job small = job(2, 100);
  small.memory_mb = 500;
  EXPECT_EQ(e.admit(0, small), Admission::kWaiting);
  EXPECT_EQ(run(e, 0), (std::map<uint64_t, TimeUs>{{1, 100 * kMs}, {2, 200 * kMs}}));
  EXPECT_EQ(e.report().memory_utilization, 0);
  e.set_memory(200 * kMs, 16'384);
  large.id = 3;
  EXPECT_EQ(e.admit(200 * kMs, large), Admission::kRunning);
}

TEST(StatementHint, IsReadFromTheComment) {
  const StatementHint h = read_hint("SELECT /*+ work=20ms threads=4 rows=9 mishap=lost on_attempt=0 */ 1");
  EXPECT_EQ(h.work_us, 20'000);
  EXPECT_EQ(h.threads, 4);
  EXPECT_EQ(h.rows, 9);
  EXPECT_EQ(h.mishap, StatementHint::Mishap::kLostAnswer);
  EXPECT_EQ(h.on_attempt, 0);
  EXPECT_EQ(read_hint("SELECT 1 /*+ work=soon threads=-4 rows=x").rows, StatementHint().rows);
  EXPECT_EQ(read_hint("/*+ threads=-4 */").threads, 1);
}

}  // namespace
}  // namespace sablelink::nodes
