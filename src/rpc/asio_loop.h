// One thread that is a strand, its clock and the wait for sockets in one: whoever calls run() is the thread.
// What runs on it needs no lock, and nothing changes threads between a socket and the code it is for.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <utility>

#include "base/clock.h"
#include "base/timer_heap.h"

namespace sablelink::rpc {

// now(): microseconds since 1970 at the loop's making, advanced by the steady clock. All methods but post()
// and stop() belong on the loop's thread, or to the time when it doesn't run.
class AsioLoop : public Clock {
 public:
  AsioLoop(const WallClock& wall, SteadyClock steady);

  boost::asio::io_context& context() { return context_; }
  boost::asio::any_io_executor executor() { return context_.get_executor(); }
  TimeUs now() const override;
  void call_after(TimeUs delay, std::function<void()> fn) override;

  // Runs until stop(). May be called again.
  void run();
  // What can go on without waiting; not while it runs.
  void poll();
  // From any thread.
  void stop() { context_.stop(); }
  template <typename Fn>
  void post(Fn fn) {
    boost::asio::post(context_, std::move(fn));
  }

 private:
  void arm();

  const SteadyClock steady_;
  const std::chrono::steady_clock::time_point base_;
  const TimeUs base_us_;
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
  boost::asio::steady_timer timer_;
  TimeUs armed_for_ = 0;  // what the timer waits for; 0: nothing
  TimerHeap timers_;
};

}  // namespace sablelink::rpc
