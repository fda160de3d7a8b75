// An event loop that runs a strand, its clock and its sockets on one thread, the one that calls run(). Code
// on the loop needs no locks, and data is never passed between threads on its way between a socket and the
// code that uses it.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "base/timer_heap.h"
#include "rpc/epoch_clock.h"

namespace sablelink::rpc {

/// post() and stop() may be called from any thread, the other methods only on the loop's thread or while the
/// loop isn't running.
class AsioLoop : public Clock {
 public:
  AsioLoop(const WallClock& wall, SteadyClock steady);

  boost::asio::io_context& context() { return context_; }
  boost::asio::any_io_executor executor() { return context_.get_executor(); }
  TimeUs now() const override { return clock_.now(); }
  void call_after(TimeUs delay_us, std::function<void()> fn) override;

  /// Runs until stop() is called. May be called again afterwards.
  void run();
  /// Runs the handlers that are ready, without waiting.
  void poll();
  /// May be called from any thread.
  void stop() { context_.stop(); }
  /// Schedules fn on the loop; may be called from any thread.
  template <typename Fn>
  void post(Fn fn) {
    boost::asio::post(context_, std::move(fn));
  }

 private:
  void arm_timer();

  const EpochClock clock_;
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
  boost::asio::steady_timer timer_;
  std::optional<TimeUs> timer_expires_at_;
  TimerHeap timers_;
};

}  // namespace sablelink::rpc
