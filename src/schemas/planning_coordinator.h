// Decides whether a planning call is made, which asks an engine for the result columns of a statement.
// Planning calls load the engines, so they are limited by a budget, and clients that wait for the same
// statement share one call. The call itself is submitted to the workload manager like any other request.
//
// No I/O; single-threaded. Times are microseconds of a monotonic clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "workload/types.h"

namespace sablelink::schemas {

struct PlanningSettings {
  bool enabled = false;
  size_t max_concurrent_calls = 16;
  // Within any window of this length, at most budget_base_calls plus budget_calls_per_statement for each
  // statement looked up are made.
  TimeUs budget_window_us = 10'000'000;
  double budget_base_calls = 20;
  double budget_calls_per_statement = 0.2;
  size_t max_waiters = 10'000;         // clients that wait for calls, in total
  TimeUs call_timeout_us = 2'000'000;  // a planning call fails after this time
  TimeUs max_wait_us = 1'000'000;      // a client gets its response without the columns after this time
};

class PlanningCoordinator {
 public:
  /// Identifies a waiting client. Chosen by the caller; must be unique among the waiting clients.
  using WaiterId = uint64_t;

  explicit PlanningCoordinator(const PlanningSettings& settings) : settings_(settings) {}

  enum class Decision {
    kProceedWithoutColumns,  // no call is allowed now
    kWaitForCall,            // the caller waits for the call in flight for this statement
    kStartCall,              // the caller starts a call and waits for it
  };

  /// Called for each lookup of a statement's columns. It adds to the budget whether or not the columns are
  /// cached.
  void on_lookup(TimeUs now);
  /// Called where a statement's columns aren't cached. key identifies the statement. Unless the decision is
  /// to proceed without the columns, the waiter is registered until complete_call() returns it or
  /// remove_waiter() is called.
  Decision request_columns(TimeUs now, const std::string& key, WaiterId waiter);
  /// Called when a planning call has succeeded or failed. Returns the clients that waited for it.
  std::vector<WaiterId> complete_call(const std::string& key);
  /// Called when a client stops waiting. The call continues, as other clients may use its result.
  void remove_waiter(const std::string& key, WaiterId waiter);

  /// Totals since the start.
  struct Counts {
    uint64_t lookups = 0;
    uint64_t calls = 0;
    uint64_t shared = 0;         // clients that waited for another client's call
    uint64_t over_budget = 0;    // clients without columns as the budget was exhausted
    uint64_t over_capacity = 0;  // clients without columns as there were too many calls or waiters
  };
  const Counts& counts() const { return counts_; }
  size_t calls_in_flight() const { return calls_.size(); }
  size_t waiters() const { return waiter_count_; }

 private:
  void expire_lookups(TimeUs now);
  bool is_within_budget(TimeUs now);

  const PlanningSettings settings_;
  std::map<std::string, std::vector<WaiterId>, std::less<>> calls_;  // calls in flight: waiters by key
  std::deque<TimeUs> lookup_times_;                                  // within the last budget window
  std::deque<TimeUs> call_times_;                                    // within the last budget window
  size_t waiter_count_ = 0;
  Counts counts_;
};

}  // namespace sablelink::schemas
