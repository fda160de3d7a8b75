#include "rpc/asio_loop.h"

namespace sablelink::rpc {

AsioLoop::AsioLoop(const WallClock& wall, SteadyClock steady)
    : clock_(wall, std::move(steady)), work_guard_(context_.get_executor()), timer_(context_) {}

void AsioLoop::call_after(TimeUs delay_us, std::function<void()> fn) {
  if (delay_us <= 0) {
    boost::asio::post(context_, std::move(fn));
    return;
  }
  timers_.push(now() + delay_us, std::move(fn));
  arm_timer();
}

void AsioLoop::arm_timer() {
  if (timers_.empty()) return;
  const TimeUs earliest = timers_.next_deadline();
  if (timer_expires_at_ && *timer_expires_at_ <= earliest) return;
  timer_expires_at_ = earliest;
  timer_.expires_at(clock_.to_steady(earliest));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;  // cancelled, as the timer was set again to expire earlier
    timer_expires_at_.reset();
    timers_.run_expired(now());
    arm_timer();
  });
}

void AsioLoop::run() {
  context_.restart();
  context_.run();
}

void AsioLoop::poll() {
  context_.restart();
  context_.poll();
}

}  // namespace sablelink::rpc
