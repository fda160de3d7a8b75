// A world on a virtual clock: events in the order of time, processes (actors) with clocks of their own, and
// an account of what happens. One thread. The same events give the same run, to the byte.
//
// A step is one event and all that follows from it at once: coroutines run until none can go on.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/detail/concurrency_hint.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/timer_heap.h"
#include "sim/random.h"

struct XXH3_state_s;

namespace sablelink::sim {

// Takes the account of a run: a digest always, the lines where asked for.
class Account {
 public:
  explicit Account(bool keep_lines = false);
  ~Account();
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  void line(TimeUs at, std::string_view text);
  uint64_t digest() const;
  uint64_t lines() const { return count_; }
  const std::string& text() const { return text_; }

 private:
  const bool keep_;
  XXH3_state_s* state_;
  uint64_t count_ = 0;
  std::string text_;
};

class World {
 public:
  // Time begins at one second, since 0 stands for no time.
  World(uint64_t seed, Account& account);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  TimeUs now() const { return now_; }
  // Events of one moment come in the order in which they were asked for.
  void at(TimeUs when, std::function<void()> fn);
  void after(TimeUs delay, std::function<void()> fn) { at(now_ + delay, std::move(fn)); }
  // The next step; false where nothing is left to come.
  bool step();
  // Steps until a moment has passed or nothing is left.
  void run_until(TimeUs when);
  // Lets coroutines that can go on do so; for what is done from outside a step.
  void settle();

  boost::asio::any_io_executor executor() { return context_.get_executor(); }
  RandomStream stream(std::string_view name) const { return {seed_, name}; }
  void tell(std::string_view text) { account_.line(now_, text); }
  uint64_t steps() const { return steps_; }

 private:
  const uint64_t seed_;
  Account& account_;
  TimeUs now_ = 1'000'000;
  uint64_t steps_ = 0;
  TimerHeap events_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
};

// A process. Its clock may run ahead of the world's, it may stand still for a while, and it may die: then
// nothing reaches it any more, its own timers among that.
class Actor : public Clock, public std::enable_shared_from_this<Actor> {
 public:
  static std::shared_ptr<Actor> make(World& world, std::string name);

  const std::string& name() const { return name_; }
  bool alive() const { return alive_; }
  bool stalled() const { return world_.now() < stalled_until_; }

  TimeUs now() const override { return world_.now() + ahead_; }
  void call_after(TimeUs delay, std::function<void()> fn) override;
  size_t timers() const { return timers_.size(); }

  // Runs fn now, after the stall where it stands still, or never where it is dead.
  void deliver(std::function<void()> fn);
  void stall(TimeUs how_long);
  void jump(TimeUs ahead);  // its clock goes forward at once
  void kill();

 private:
  Actor(World& world, std::string name) : world_(world), name_(std::move(name)) {}
  void arm();
  void wake();

  World& world_;
  const std::string name_;
  bool alive_ = true;
  TimeUs ahead_ = 0, stalled_until_ = 0;
  TimerHeap timers_;      // by this clock
  TimeUs armed_for_ = 0;  // of the world's time; 0: not
  std::deque<std::function<void()>> inbox_;
};

}  // namespace sablelink::sim
