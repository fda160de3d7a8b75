// A model of an analytic engine, for stand-in nodes: cores, disks and memory shared by all that it holds,
// priorities, a line for memory, warm groups of tables, a cold start and falling over. It computes when
// queries end; it burns no CPU and knows no clock but the times it is told, which must not run back.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "workload/events.h"
#include "workload/types.h"

namespace sablelink::nodes {

struct EngineSettings {
  double cores = 8;
  double memory_mb = 16'384;
  double disks = 8;              // threads that may read at full speed together
  double sessions_per_core = 8;  // more are not admitted
  double peak_threads = 1.7;     // a core; past it the total done falls
  size_t warm_groups = 4;        // of tables, kept from the last reads
  double warm_saves = 0.5;       // share of the reading that a warm group saves
  double spill_cost = 2.5;   // work grows up to this, in times, where a query gets less memory than it needs
  double cold_from = 1;      // share of its capacity just after a start
  TimeUs warm_after_us = 0;  // full capacity after this
  double fall_multiple = 0;  // sent more than this times its present capacity ...
  TimeUs fall_us = 0;        // ... for this long, it falls over while cold; 0: never
};

struct Job {
  uint64_t id = 0;
  double work_us = 0;  // of all its threads
  double threads = 1;
  double io = 0.2;  // share of the work that reads or writes
  double memory_mb = 0;
  double grant_mb = 0;  // 0: what it needs
  int priority = 1;
  int64_t group = -1;
};

enum class Admission { kRunning, kWaiting, kTooMany };

class Engine {
 public:
  Engine(const EngineSettings& settings, TimeUs started)
      : settings_(settings), started_(started), at_(started) {}

  Admission admit(TimeUs now, const Job& job);
  // Takes a job out before its end; unknown ones are passed over.
  void remove(TimeUs now, uint64_t id);
  // Moves time on; the jobs that have ended since the last call, in order.
  std::vector<uint64_t> advance(TimeUs now);
  // When the next job ends if nothing else happens.
  std::optional<TimeUs> next_end() const;

  // Times slower than usual, from now on.
  void set_slow(TimeUs now, double factor);
  // So much memory from now on. What runs keeps what it has; nothing starts until that fits again.
  void set_memory(TimeUs now, double memory_mb);
  bool fallen() const { return fallen_; }
  std::optional<double> progress(uint64_t id) const;  // share of the work done, 0 while it waits
  bool waiting(uint64_t id) const;
  LoadReport report() const;
  size_t held() const { return running_.size() + line_.size(); }
  double warmth(TimeUs now) const;

 private:
  struct Running {
    Job job;
    double memory_mb = 0;  // as it had at its start
    double left_us = 0;    // work
    double rate = 0;       // work done in each microsecond
  };

  void run_until(TimeUs now);
  void start(const Job& job);
  void start_waiting();
  void share_out();
  double memory_of(const Job& job) const;
  void note_push(TimeUs now, double work_us);

  EngineSettings settings_;
  TimeUs started_, at_;
  std::map<uint64_t, Running> running_;
  std::deque<Job> line_;  // waits for memory, by priority and then in turn
  std::deque<int64_t> warm_;
  std::vector<uint64_t> ended_;  // not told yet
  std::deque<std::pair<TimeUs, double>> pushed_;
  double pushed_us_ = 0;
  double memory_used_ = 0;
  double slow_ = 1;
  bool fallen_ = false;
};

}  // namespace sablelink::nodes
