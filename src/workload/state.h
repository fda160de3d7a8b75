// What the decision module remembers. Plain data: every decision and every tuned value is in policy.cpp.
#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

struct Engine;

struct Query {
  QueryRequest req;
  const ClassSettings* cls = nullptr;
  TimeUs arrived = 0;
  bool finished = false;
  bool out = false;  // an attempt has no outcome yet; there is never more than one
  bool streaming = false;
  bool cancelling = false;
  bool may_have_run = false;
  Endpoint ran_on;  // of the first attempt that may have run
  TimeUs ran_since = 0;
  int attempts = 0;
  int slow_seen = 0;  // attempts cancelled as bad plans
  int priority = -1;
  TimeUs sent_at = 0;
  TimeUs foretold_us = 0;       // whole time of the running attempt by its progress notes; 0: no note
  EngineId avoid = 0;           // where the last attempt went wrong
  std::vector<EngineId> erred;  // engines that answered it with an error and are not yet held to blame
  TimeUs erred_at = 0;          // the last of these errors
  Engine* engine = nullptr;     // queued or running there
  TimeUs probes_until = 0;      // answers to the probes sent for it are waited for until then; 0: none sent
};

struct Engine {
  Endpoint entry;
  double cores = 0;
  std::vector<Query*> queue;    // unsent, in starting order
  std::vector<Query*> running;  // sent, no outcome yet, in sending order
  double own_avg = 0;           // own running queries, smoothed like the reports
  double others = 0;            // queries of other gateways there, from reports
  bool heard = false;
  TimeUs averaged_at = 0;
  TimeUs report_at = 0;
  TimeUs probe_at = 0;      // a probe is out since then; 0: none is
  TimeUs full_at = 0;       // last 'full'; 0: never
  TimeUs life_at = 0;       // last sign of life
  int64_t last_group = -1;  // table group of the query started there last
  double slow = 1;          // its time for a query against the fleet's
  double live_slow = 1;     // the same from attempts still out
  TimeUs slow_at = 0;
  double errors = 0;         // share of failed outcomes
  TimeUs ejected_until = 0;  // 0: in service
  TimeUs eject_for = 0;      // next rest once taken out
  int trial_oks = 0;
  double cold_credit = 0;  // work that this gateway may send there by chance, grown since the last send
  double cold_draw = 0;    // 0 to 1, drawn anew for each send: gateways take their turns at random
  struct ColdSend {
    TimeUs at = 0;
    RequestId id = 0;
    double work_us = 0, variance = 0;  // usual for its class, and what it adds to the variance of all
  };
  std::deque<ColdSend> cold_sent;  // sent while cold, by time

  double own_threads() const {
    double threads = 0;
    for (const Query* q : running) threads += q->cls->threads;
    return threads;
  }
};

struct ClassStats {
  double work_us = 0;        // mean work of a query
  double work_variance = 0;  // of a query's work about that mean, us squared
  double answers = 0;
  double cost_ratio = 1;    // told cost over estimate
  double memory_ratio = 1;  // used memory over estimate
  double memory_mb = 0;
  double pace = 1;  // time taken over work divided by threads
};

struct Turns {
  std::deque<RequestId> line;
  TimeUs rest_until = 0;
};

struct Gain {
  double balance = 0;
  int interaction = 0;
  size_t position = 0;
  double drain_us = 0;
  bool reachable = false;
};

}  // namespace sablelink
