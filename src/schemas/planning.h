// Whether an engine is asked for a statement's columns. A planning call is work at an engine, so it is
// rationed, and those who ask for the same statement at the same time share one. Planning calls are requests
// to the decision module like any other; here is decided only whether one is made and who waits for it.
//
// No I/O, one thread; times are microseconds, on a clock that doesn't run back.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "workload/types.h"

namespace sablelink::schemas {

struct PlanningLimits {
  bool on = false;
  size_t at_once = 16;            // calls out together
  TimeUs window_us = 10'000'000;  // in any so long span ...
  double free = 20;               // ... so many may be made,
  double per_statement = 0.2;     // and this for each statement asked about in it
  size_t waiting = 10'000;        // clients that wait, all together
  TimeUs time_us = 2'000'000;     // of a call; then it has failed
  TimeUs wait_us = 1'000'000;     // of a client; then it goes without the columns
};

class Planning {
 public:
  using Waiter = uint64_t;

  explicit Planning(const PlanningLimits& limits) : limits_(limits) {}

  enum class Word {
    kGoWithout,  // nothing is asked: it isn't allowed now
    kWait,       // one has asked already
    kAsk,        // the caller asks, and waits as well
  };
  // A statement is asked about; counts towards the budget whether or not its columns are known.
  void asked(TimeUs now);
  // Its columns aren't known. With kWait and kAsk the waiter is in line until ended() names it or left().
  Word want(TimeUs now, const std::string& key, Waiter waiter);
  // The call is over, whatever came of it: these waited for it.
  std::vector<Waiter> ended(const std::string& key);
  // The waiter goes. The call goes on all the same: what it finds serves the next who asks.
  void left(const std::string& key, Waiter waiter);

  struct Counts {
    uint64_t asked = 0, calls = 0, shared = 0, over_budget = 0, too_many = 0;
  };
  const Counts& counts() const { return counts_; }
  size_t out() const { return calls_.size(); }
  size_t waiting() const { return waiting_; }

 private:
  bool within_budget(TimeUs now);

  const PlanningLimits limits_;
  std::map<std::string, std::vector<Waiter>, std::less<>> calls_;  // out, by key
  std::deque<TimeUs> asked_at_, called_at_;                        // of the last window
  size_t waiting_ = 0;
  Counts counts_;
};

}  // namespace sablelink::schemas
