// The design's ordinary path on examples small enough to check by hand, and the defences, one case for each
// failure found.
#include <gtest/gtest.h>

#include <set>

#include "tests/workload/harness.h"

namespace sablelink::test {
namespace {

TEST(Choice, DrainTimeDecidesWithoutInteraction) {
  Bench b(plain_settings());
  b.list({engine(1), engine(2)});
  b.request(1, 1, 15 * kSecond, 4'000'000);
  b.request(2, 1, 15 * kSecond, 4'000'000);
  EXPECT_NE(b.engine_of(1), b.engine_of(2));
}

TEST(Choice, FollowsLoadReports) {
  Settings s = plain_settings();
  s.gateway_count = 3;
  Bench b(s);
  b.list({engine(1), engine(2)});
  b.request(1, 0, 5 * kSecond, 100'000);
  b.request(2, 0, 5 * kSecond, 100'000);
  const EngineId busy = b.engine_of(1);
  b.run_for(50 * kMs);
  b.end(1, Outcome::kOk, 100'000, 6);
  b.end(2, Outcome::kOk, 100'000, 1);
  for (RequestId id = 3; id < 6; ++id) {
    b.request(id, 0, 5 * kSecond, 100'000);
    EXPECT_NE(b.engine_of(id), busy);
    b.end(id, Outcome::kOk, 100'000);
  }
}

TEST(Choice, InteractionGainDecidesAmongIdleEngines) {
  Bench b(plain_settings());
  b.list({engine(1), engine(2), engine(3), engine(4)});
  b.request(1, 0, 5 * kSecond, 100'000, 7);
  const EngineId warm = b.engine_of(1);
  b.run_for(100 * kMs);
  b.end(1, Outcome::kOk, 100'000);
  b.run_for(kSecond);
  b.request(2, 0, 5 * kSecond, 100'000, 7);
  EXPECT_EQ(b.engine_of(2), warm);
}

TEST(Choice, TheDrainGuardBoundsWhatInteractionMayCost) {
  Bench b(plain_settings());
  b.list({engine(1), engine(2)});
  b.request(1, 0, 5 * kSecond, 100'000, 7);
  const EngineId warm = b.engine_of(1);
  b.run_for(100 * kMs);
  b.end(1, Outcome::kOk, 100'000);
  for (RequestId id = 2; id < 8; ++id) b.request(id, 1, 15 * kSecond, 4'000'000, 7);
  EXPECT_GT(b.sends_to(warm == 1 ? 2 : 1), 0);
}

TEST(Choice, ALoadsGroupRepelsItsLikes) {
  Settings s = plain_settings();
  s.classes[1].writes_tables = true;
  s.classes[0].blocked_by_table_loads = true;
  Bench b(s);
  b.list({engine(1), engine(2)});
  b.request(1, 1, 15 * kSecond, 20'000, 7);
  b.request(2, 0, 5 * kSecond, 10'000, 7);
  EXPECT_NE(b.engine_of(1), b.engine_of(2));
}

TEST(RunBound, HoldsQueriesBackOnceAnEngineIsFullAndStartsThemAsItDrains) {
  Bench b(plain_settings());
  b.list({engine(1)});
  for (RequestId id = 1; id <= 12; ++id) b.request(id, 1, 15 * kSecond, 400'000);
  const int started = b.sends_to(1);
  EXPECT_GE(4 * started, 8) << "never under one thread a core";
  EXPECT_LE(4 * started, 24) << "nor far over the engine's peak";
  b.run_for(300 * kMs);
  b.end(1, Outcome::kOk, 400'000);
  EXPECT_EQ(b.sends_to(1), started + 1);
}

TEST(RunBound, IsSharedWithTheOtherGatewaysOnlyUnderPressure) {
  Settings s = plain_settings();
  s.gateway_count = 4;
  Bench b(s);
  b.list({engine(1)});
  for (RequestId id = 1; id <= 6; ++id) b.request(id, 0, 5 * kSecond, 300'000);
  EXPECT_EQ(b.sends_to(1), 6) << "no pressure: more than a quarter of the bound goes out";
}

TEST(Queue, ShortQueriesInTimeGoBeforeLongOnesThatAreLate) {
  Settings s = plain_settings();
  s.classes[1].latency_objective_us = 200 * kMs;
  s.classes[1].latency_objective_stretch = 0;
  Bench b(s);
  b.list({engine(1)});
  for (RequestId id = 1; id <= 8; ++id) b.request(id, 1, 15 * kSecond, 2'000'000);
  b.request(50, 0, 5 * kSecond, 300'000);
  b.run_for(300 * kMs);
  ASSERT_EQ(b.sends(50), 0);
  RequestId running = 1;
  while (running < 8 && b.sends(running) == 0) ++running;
  b.end(running, Outcome::kOk, 2'000'000);
  EXPECT_EQ(b.sends(50), 1)
      << "incident i56d015: late queries at the front kept newcomers waiting past their aim";
}

TEST(Queue, ALongQueryThatDoesNotFitYetLetsAShortOneBy) {
  Settings s = plain_settings();
  s.classes[1].threads = 8;
  Bench b(s);
  b.list({engine(1)});
  b.request(1, 1, 15 * kSecond, 3'000'000);
  for (RequestId id = 2; id <= 5; ++id) b.request(id, 0, 5 * kSecond, 100'000);
  b.request(6, 1, 15 * kSecond, 3'000'000);
  ASSERT_EQ(b.sends(6), 0) << "12 threads run, 8 more don't fit";
  b.request(7, 0, 5 * kSecond, 100'000);
  EXPECT_EQ(b.sends(7), 1) << "incident i7f9fef: short ones were refused behind a long one";
  EXPECT_EQ(b.sends(6), 0);
}

TEST(Queue, AnEngineWithRoomDrawsInWhatWaitsElsewhere) {
  Bench b(plain_settings());
  b.list({engine(1)});
  for (RequestId id = 1; id <= 8; ++id) b.request(id, 1, 15 * kSecond, 2'000'000);
  ASSERT_LT(b.sends_to(1), 8);
  b.list({engine(2)}, EndpointUpdateKind::kDelta);
  b.run_for(20 * kMs);
  EXPECT_GE(b.sends_to(2), 2) << "incident i56d015: plans made earlier left engines idle";
}

TEST(Refusal, IsAtOnceWhereWorthIsOutOfReachAndTellsWhenToComeBack) {
  Settings s = plain_settings();
  s.clients_honor_retry_after = true;
  s.max_retry_after_us = 2 * kSecond;
  Bench b(s);
  b.list({engine(1)});
  b.request(7, 1, 15 * kSecond, 400'000'000);
  EXPECT_EQ(b.sends(7), 0);
  ASSERT_EQ(b.count(Action::kRefuse, 7), 1);
  EXPECT_GT(b.last(Action::kRefuse, 7)->value, 0);
  EXPECT_LE(b.last(Action::kRefuse, 7)->value, 2e6);
}

TEST(Refusal, AQueryPastAllWorthIsRefusedWhileItWaits) {
  Bench b(plain_settings());
  b.list({engine(1)});
  for (RequestId id = 1; id <= 60; ++id) b.request(id, 0, 5 * kSecond, 1'000'000);
  b.run_for(3500 * kMs);
  for (RequestId id = 1; id <= 60; ++id) {
    EXPECT_EQ(b.sends(id) + b.count(Action::kRefuse, id), 1) << id;
  }
}

TEST(BadPlans, AreCancelledAndTriedAgainOnce) {
  Settings s = plain_settings();
  s.progress_interval_us = kSecond;
  Bench b(s);
  b.list({engine(1), engine(2)});
  b.request(7, 1, 15 * kSecond);
  b.run_for(kSecond);
  b.gateway().on_progress(b.now(), ProgressUpdate{7, 0, b.engine_of(7), ProgressKind::kProgress, 0.04}, b);
  b.run_for(50 * kMs);
  ASSERT_EQ(b.count(Action::kCancel, 7), 1);
  b.end(7, Outcome::kCancelled);
  ASSERT_EQ(b.sends(7), 2);
  b.run_for(kSecond);
  b.gateway().on_progress(b.now(), ProgressUpdate{7, 1, b.engine_of(7), ProgressKind::kProgress, 0.04}, b);
  b.run_for(50 * kMs);
  EXPECT_EQ(b.count(Action::kCancel, 7), 1) << "slow again: heavy in itself, left to run";
}

TEST(BadPlans, AQueryToldToBeHeavyIsLeftToRun) {
  Bench b(plain_settings());
  b.list({engine(1), engine(2)});
  b.request(7, 1, 15 * kSecond, 8'000'000);
  b.run_for(3 * kSecond);
  EXPECT_EQ(b.count(Action::kCancel, 7), 0);
}

TEST(BadPlans, ASlowdownSharedByAllCancelsNothing) {
  Bench b(plain_settings());
  b.list({engine(1), engine(2), engine(3), engine(4)});
  for (RequestId id = 1; id <= 12; ++id) b.request(id, 0, 5 * kSecond, 200'000);
  b.run_for(1500 * kMs);
  int cancelled = 0;
  for (RequestId id = 1; id <= 12; ++id) cancelled += b.count(Action::kCancel, id);
  EXPECT_EQ(cancelled, 0);
}

TEST(Health, FastFailuresDoNotLookLikeAShortQueue) {
  Bench b(plain_settings());
  b.list({engine(1), engine(2), engine(3), engine(4)});
  for (RequestId id = 1; id <= 60; ++id) {
    b.request(id, 0, 5 * kSecond, 50'000);
    b.run_for(10 * kMs);
    for (int i = 0; i < 5 && b.engine_of(id) == 1; ++i) b.end(id, Outcome::kError);
    b.end(id, Outcome::kOk, 50'000);
  }
  EXPECT_LE(b.sends_to(1), 6);
}

// A client's own mistake goes wrong wherever it is sent: a flood of them must not take the fleet out.
TEST(Health, RequestsThatAreThemselvesAtFaultBlameNoEngine) {
  for (const size_t engines : {2u, 4u, 8u}) {
    Bench b(plain_settings());
    std::vector<Endpoint> fleet;
    for (EngineId e = 1; e <= engines; ++e) fleet.push_back(engine(e));
    b.list(fleet);
    for (RequestId id = 1; id <= 200; ++id) {
      b.request(id, 0, 5 * kSecond, 50'000);
      b.run_for(5 * kMs);
      if (id % 2 == 0) {
        b.end(id, Outcome::kOk, 50'000);
        continue;
      }
      int attempts = 0;
      for (; attempts < 6 && !b.over(id); ++attempts) b.end(id, Outcome::kError);
      EXPECT_TRUE(b.over(id)) << "the final answer comes at once";
      EXPECT_LE(attempts, 3);
    }
    b.run_for(kSecond);
    EXPECT_TRUE(b.logs.empty()) << engines << ": " << b.logs[0];
  }
}

// Connections that break say nothing of an engine that answers on the next one.
TEST(Health, AnEngineThatAnswersIsNotBlamedForItsConnections) {
  for (const bool alive : {true, false}) {
    Bench b(plain_settings());
    b.list({engine(1), engine(2), engine(3), engine(4)});
    for (RequestId id = 1; id <= 60; ++id) {
      b.request(id, 0, 5 * kSecond, 50'000);
      b.run_for(10 * kMs);
      if (b.engine_of(id) == 1) {
        AttemptCompletion end;
        end.id = id;
        end.engine = 1;
        end.outcome = Outcome::kReset;
        end.engine_responsive = alive;
        b.gateway().on_attempt_completed(b.now(), end, b);
        EXPECT_EQ(b.sends(id), 2) << "tried again";
      }
      b.end(id, Outcome::kOk, 50'000);
    }
    EXPECT_EQ(b.logs.empty(), alive);
  }
}

TEST(Health, ErrorsThatNoOtherEngineSharesAreTheEngines) {
  Bench b(plain_settings());
  b.list({engine(1), engine(2), engine(3), engine(4)});
  // The next attempt is out and says nothing: after a while the first engine is to blame all the same.
  for (RequestId id = 1; id <= 40 && b.logs.empty(); ++id) {
    b.request(id, 0, 5 * kSecond, 400'000);
    b.run_for(10 * kMs);
    if (b.engine_of(id) == 1) b.end(id, Outcome::kError);
    b.run_for(150 * kMs);
  }
  ASSERT_FALSE(b.logs.empty());
  EXPECT_EQ(b.logs[0], "engine taken out: failures");
}

TEST(Health, ASilentEngineIsTakenOutAndTrialTrafficBringsItBack) {
  Settings s = plain_settings();
  s.cancellation_allowed = false;
  Bench b(s);
  b.list({engine(1), engine(2), engine(3), engine(4)});
  bool hung = true;
  int during = 0;
  std::set<RequestId> stuck;
  const auto traffic = [&](RequestId from, RequestId to, int* count) {
    for (RequestId id = from; id < to; ++id) {
      b.request(id, 0, 5 * kSecond, 50'000);
      b.run_for(50 * kMs);
      if (b.engine_of(id) == 1 && count) ++*count;
      if (b.engine_of(id) == 1 && hung) {
        stuck.insert(id);
      } else {
        b.end(id, Outcome::kOk, 50'000);
      }
    }
  };
  traffic(1, 100, nullptr);
  ASSERT_FALSE(b.logs.empty());
  traffic(100, 200, &during);
  EXPECT_LE(during, 5) << "only trials";
  hung = false;
  for (const RequestId id : stuck) b.end(id, Outcome::kTimeout);
  traffic(200, 500, nullptr);
  int after = 0;
  traffic(500, 600, &after);
  EXPECT_GE(after, 8) << "back in service";
}

TEST(Health, WhereMostEnginesLookBadAtLeastHalfStayIn) {
  Bench b(plain_settings());
  b.list({engine(1), engine(2), engine(3), engine(4)});
  for (RequestId id = 1; id <= 60; ++id) {
    b.request(id, 0, 5 * kSecond, 50'000);
    b.run_for(10 * kMs);
    for (int i = 0; i < 6 && !b.over(id) && b.sends(id) > i; ++i) b.end(id, Outcome::kError);
  }
  EXPECT_LE(b.logs.size(), 2u) << "never over half";
  std::set<EngineId> used;
  for (const Action& a : b.actions) {
    if (a.kind == Action::kSend && a.id > 50) used.insert(a.engine);
  }
  EXPECT_GE(used.size(), 2u);
}

TEST(Health, UnreachableEnginesAreTakenOutEvenWhereTheyAreMost) {
  Bench b(plain_settings());
  b.list({engine(1), engine(2), engine(3), engine(4)});
  const auto traffic = [&](RequestId from, RequestId to) {
    int lost = 0;
    for (RequestId id = from; id < to; ++id) {
      b.request(id, 0, 5 * kSecond, 50'000);
      for (int i = 0; i < 5 && b.engine_of(id) != 4 && b.sends(id) > i; ++i) {
        ++lost;
        b.end(id, Outcome::kConnectFailed);
      }
      b.run_for(10 * kMs);
      if (b.engine_of(id) == 4) b.end(id, Outcome::kOk, 50'000);
    }
    return lost;
  };
  traffic(1, 40);
  EXPECT_LE(traffic(40, 140), 10) << "incident i5c8115: a gateway cut off from most engines kept trying them";
}

TEST(Terms, ShortQueriesGoFirstWherePrioritiesAreHeeded) {
  Settings s = plain_settings();
  s.engines_honor_priorities = true;
  Bench b(s);
  b.list({engine(1)});
  b.request(1, 0, 5 * kSecond, 100'000);
  b.request(2, 1, 15 * kSecond, 4'000'000);
  EXPECT_GT(b.last(Action::kTerms, 1)->value, b.last(Action::kTerms, 2)->value);
}

TEST(Terms, GrantsFollowWhatQueriesTurnOutToNeed) {
  Settings s = plain_settings();
  s.engines_honor_grants = true;
  s.max_grant_fraction = 0.4;
  Bench b(s);
  b.list({engine(1)});
  const auto ask = [&](RequestId id, double need) {
    QueryRequest r;
    r.id = id;
    r.deadline = b.now() + 5 * kSecond;
    r.estimated_cost_us = 50'000;
    r.estimated_memory_mb = need;
    b.gateway().on_request(b.now(), r, b);
    return b.last(Action::kTerms, id)->amount;
  };
  const double before = ask(1, 100);
  EXPECT_GT(before, 100);
  for (RequestId id = 2; id < 80; ++id) {
    ask(id, 100);
    AttemptCompletion end;
    end.id = id;
    end.engine = 1;
    end.request_finished = true;
    end.duration_us = 50'000;
    end.work_us = 50'000;
    end.memory_used_mb = 200;
    b.gateway().on_attempt_completed(b.now(), end, b);
  }
  EXPECT_GT(ask(100, 100), 190);
  EXPECT_LE(ask(101, 1e6), 0.4 * 16384 + 1);
}

TEST(Determinism, TheSameEventsGiveTheSameActions) {
  const auto play = [] {
    Bench b(plain_settings());
    b.list({engine(1), engine(2), engine(3)});
    for (RequestId id = 1; id <= 40; ++id) {
      b.request(id, id % 5 == 0, 5 * kSecond, 100'000, id % 3);
      b.run_for(10 * kMs);
      if (b.sends(id)) b.end(id, id % 7 == 0 ? Outcome::kError : Outcome::kOk, 90'000, 3);
    }
    std::vector<std::pair<RequestId, EngineId>> sent;
    for (const Action& a : b.actions) sent.emplace_back(a.id, a.engine);
    return sent;
  };
  EXPECT_EQ(play(), play());
}

}  // namespace
}  // namespace sablelink::test
