// A strand, its clock and the wait for its sockets on one thread: the thread that calls run(). Code on the
// loop needs no locks, and nothing changes threads between a socket and the code that uses it.
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

/// All methods but post() and stop() belong on the loop's thread, or are called while the loop doesn't run.
class AsioLoop : public Clock {
 public:
  AsioLoop(const WallClock& wall, SteadyClock steady);

  boost::asio::io_context& context() { return context_; }
  boost::asio::any_io_executor executor() { return context_.get_executor(); }
  TimeUs now() const override { return clock_.now(); }
  void call_after(TimeUs delay_us, std::function<void()> fn) override;

  /// Runs until stop(). May be called again afterwards.
  void run();
  /// Runs what is ready, without waiting.
  void poll();
  /// From any thread.
  void stop() { context_.stop(); }
  /// Runs fn on the loop; from any thread.
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
  std::optional<TimeUs> armed_for_;  // the moment at which timer_ expires
  TimerHeap timers_;
};

}  // namespace sablelink::rpc
