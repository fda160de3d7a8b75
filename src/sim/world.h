// A discrete-event simulation on one thread: a virtual clock, a queue of events ordered by time, processes
// (actors) with their own clocks, and an event log. The same events give the same event log, byte by byte.
//
// A step executes one event and then runs all coroutines until each is suspended or finished.
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

// The event log of a run. The digest is always computed; the text is kept only on request.
class EventLog {
 public:
  explicit EventLog(bool keep_text = false);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void append(TimeUs at, std::string_view text);
  uint64_t digest() const;
  uint64_t line_count() const { return line_count_; }
  const std::string& text() const { return text_; }

 private:
  const bool keep_text_;
  XXH3_state_s* state_;
  uint64_t line_count_ = 0;
  std::string text_;
};

class World {
 public:
  // The clock starts at one second because 0 means "not set" in time values.
  World(uint64_t seed, EventLog& event_log);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  TimeUs now() const { return now_; }
  // Schedules an event. Events with equal times run in the order in which they were scheduled.
  void at(TimeUs when, std::function<void()> fn);
  void after(TimeUs delay, std::function<void()> fn) { at(now_ + delay, std::move(fn)); }
  // Executes the next event. Returns false if the queue is empty.
  bool step();
  // Executes all events up to `when` and advances the clock to it.
  void run_until(TimeUs when);
  // Runs coroutines that are ready. Needed after changes made outside a step.
  void settle();

  boost::asio::any_io_executor executor() { return context_.get_executor(); }
  RandomStream stream(std::string_view name) const { return {seed_, name}; }
  void log_event(std::string_view text) { event_log_.append(now_, text); }
  uint64_t steps() const { return steps_; }

 private:
  const uint64_t seed_;
  EventLog& event_log_;
  TimeUs now_ = 1'000'000;
  uint64_t steps_ = 0;
  TimerHeap events_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
};

// A simulated process. Its clock may be ahead of the world's, it may stall, and it may be killed: its timers
// and deliveries are then discarded, and later ones are ignored.
class Actor : public Clock, public std::enable_shared_from_this<Actor> {
 public:
  static std::shared_ptr<Actor> make(World& world, std::string name);

  const std::string& name() const { return name_; }
  bool alive() const { return alive_; }
  bool stalled() const { return world_.now() < stalled_until_; }

  TimeUs now() const override { return world_.now() + clock_offset_; }
  void call_after(TimeUs delay, std::function<void()> fn) override;
  size_t timers() const { return timers_.size(); }

  // Runs fn now; after the end of the stall if the process is stalled; never if it has been killed.
  void deliver(std::function<void()> fn);
  void stall(TimeUs duration);
  void advance_clock(TimeUs by);
  void kill();

 private:
  Actor(World& world, std::string name) : world_(world), name_(std::move(name)) {}
  void schedule_next_timer();
  void run_pending();

  World& world_;
  const std::string name_;
  bool alive_ = true;
  TimeUs clock_offset_ = 0, stalled_until_ = 0;
  TimerHeap timers_;          // by this process's clock
  TimeUs scheduled_for_ = 0;  // time of the world's event for the earliest timer; 0: none
  std::deque<std::function<void()>> inbox_;
};

}  // namespace sablelink::sim
