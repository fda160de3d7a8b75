// A model of an analytic engine, for stand-in nodes. Jobs share cores, disks and memory by priority and queue
// for memory; recently read groups of tables are cached; after a start the engine warms up and can collapse
// under overload. The model computes when jobs complete without using the CPU for them. It reads no clock:
// its time is the last `now` given to it, which must never decrease.
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
  double full_speed_io_threads = 8;    // the number of threads that can read at full speed at the same time
  double sessions_per_core = 8;        // jobs beyond this are not admitted
  double peak_threads_per_core = 1.7;  // with more threads per core, the total throughput falls
  size_t max_cached_groups = 4;        // the most recently read groups of tables stay in the cache
  double cached_io_saving = 0.5;       // the fraction of a job's I/O saved when its table group is cached
  double max_spill_factor = 2.5;       // a job's work grows by up to this factor when it lacks memory
  // The fraction of the full capacity that is available just after a start.
  double slow_start_min_capacity_fraction = 1;
  // The duration of the warm-up, from slow_start_min_capacity_fraction to the full capacity.
  TimeUs slow_start_duration_us = 0;
  // A warming engine collapses when the work that arrives within collapse_window_us exceeds
  // collapse_load_multiple times what its current capacity can do in that time. collapse_window_us 0: it
  // never collapses.
  double collapse_load_multiple = 0;
  TimeUs collapse_window_us = 0;
};

struct Job {
  uint64_t id = 0;
  double work_us = 0;  // the sum over all threads of the job
  double threads = 1;
  double io_fraction = 0.2;  // the fraction of the work that reads or writes
  double memory_mb = 0;      // the memory that the job needs to run without spilling
  double grant_mb = 0;       // the memory that it may use at most; 0: no limit
  int priority = 1;          // from 0 to 3; the highest first
  int64_t table_group = -1;  // the tables that are cached together; below 0: none
};

enum class Admission { kRunning, kQueued, kTooManySessions };

class Engine {
 public:
  Engine(const EngineSettings& settings, TimeUs started_at)
      : settings_(settings), started_at_(started_at), model_time_(started_at) {}

  Admission admit(TimeUs now, const Job& job);
  // Cancels a running or queued job. Does nothing for an unknown id.
  void remove(TimeUs now, uint64_t id);
  // Advances the model's time. Returns the jobs completed since the last call, in the order of completion.
  std::vector<uint64_t> advance(TimeUs now);
  // The time at which the next job completes if no job is added or removed until then.
  std::optional<TimeUs> next_completion() const;

  // From now on the cores run slower by this factor.
  void set_slowdown(TimeUs now, double factor);
  // Changes the total memory. Running jobs keep their memory; no queued job starts until it fits into the
  // rest.
  void set_memory(TimeUs now, double memory_mb);
  bool collapsed() const { return collapsed_; }
  // The completed fraction of a job's work, 0 while it is queued; none for an unknown id.
  std::optional<double> progress(uint64_t id) const;
  bool is_queued(uint64_t id) const;
  LoadReport report() const;
  size_t in_flight_count() const { return running_.size() + memory_queue_.size(); }
  // The fraction of the full capacity that is available during the warm-up, 1 after it.
  double capacity_fraction(TimeUs now) const;

 private:
  struct RunningJob {
    Job job;
    double memory_mb = 0;  // allocated at its start, released at its end
    double remaining_work_us = 0;
    double rate = 0;  // work done per microsecond
  };

  void run_until(TimeUs now);
  void start(const Job& job);
  void start_queued_jobs();
  void allocate_resources();
  double allocated_memory_mb(const Job& job) const;
  void record_arrival(TimeUs now, double work_us);

  EngineSettings settings_;
  TimeUs started_at_, model_time_;
  std::map<uint64_t, RunningJob> running_;
  std::deque<Job> memory_queue_;       // by priority, then in the order of arrival
  std::deque<int64_t> cached_groups_;  // the most recently read first
  std::vector<uint64_t> completed_;    // not yet returned by advance()
  // Time of arrival and work, within collapse_window_us.
  std::deque<std::pair<TimeUs, double>> recent_arrivals_;
  double recent_work_us_ = 0;  // the sum of the work in recent_arrivals_
  double memory_used_ = 0;
  double slowdown_ = 1;
  bool collapsed_ = false;
};

}  // namespace sablelink::nodes
