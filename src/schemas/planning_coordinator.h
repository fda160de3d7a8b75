// Decides whether an engine is asked for the result columns of a statement. A planning call is work for an
// engine, so the calls have a budget, and clients that wait for the same statement share one. The call itself
// is a request to the workload manager like any other.
//
// No I/O; one thread. Times are microseconds on a clock that only advances.
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
  // Within any window of this length the calls made are at most the base and the share of the statements
  // looked up.
  TimeUs budget_window_us = 10'000'000;
  double budget_base_calls = 20;
  double budget_calls_per_statement = 0.2;
  size_t max_waiters = 10'000;         // clients waiting for any call
  TimeUs call_timeout_us = 2'000'000;  // a planning call has failed after this
  TimeUs max_wait_us = 1'000'000;      // a client is answered without the columns after this
};

class PlanningCoordinator {
 public:
  /// Identifies a waiting client; chosen by the caller, unique among those that wait.
  using WaiterId = uint64_t;

  explicit PlanningCoordinator(const PlanningSettings& settings) : settings_(settings) {}

  enum class Decision {
    kProceedWithoutColumns,  // no call is allowed now
    kWaitForCall,            // a call for this statement is in flight
    kStartCall,              // the caller starts one and waits for it
  };

  /// A statement's columns are looked up; it adds to the budget whether or not they are cached.
  void on_lookup(TimeUs now);
  /// The columns aren't cached. key identifies the statement. Unless the decision is to proceed without the
  /// columns, the waiter is registered until complete_call() returns it or remove_waiter() is called.
  Decision request_columns(TimeUs now, const std::string& key, WaiterId waiter);
  /// The call has succeeded or failed. Returns those that waited for it.
  std::vector<WaiterId> complete_call(const std::string& key);
  /// The waiter's client has gone. The call continues, as the next client may use what it finds.
  void remove_waiter(const std::string& key, WaiterId waiter);

  /// Totals since the start.
  struct Counts {
    uint64_t lookups = 0;
    uint64_t calls = 0;
    uint64_t shared = 0;         // waited for another client's call
    uint64_t over_budget = 0;    // proceeded without columns: the budget was used up
    uint64_t over_capacity = 0;  // proceeded without columns: too many calls or waiters
  };
  const Counts& counts() const { return counts_; }
  size_t calls_in_flight() const { return calls_.size(); }
  size_t waiters() const { return waiter_count_; }

 private:
  void expire_lookups(TimeUs now);
  bool is_within_budget(TimeUs now);

  const PlanningSettings settings_;
  std::map<std::string, std::vector<WaiterId>, std::less<>> calls_;  // in flight; waiters by key
  std::deque<TimeUs> lookup_times_;                                  // within the last budget window
  std::deque<TimeUs> call_times_;                                    // within the last budget window
  size_t waiter_count_ = 0;
  Counts counts_;
};

}  // namespace sablelink::schemas
