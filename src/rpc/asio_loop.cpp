#include "rpc/asio_loop.h"

namespace sablelink::rpc {

AsioLoop::AsioLoop(const WallClock& wall, SteadyClock steady)
    : steady_(std::move(steady)),
      base_(steady_()),
      base_us_(std::chrono::duration_cast<std::chrono::microseconds>(wall().time_since_epoch()).count()),
      guard_(context_.get_executor()),
      timer_(context_) {}

TimeUs AsioLoop::now() const {
  return base_us_ + std::chrono::duration_cast<std::chrono::microseconds>(steady_() - base_).count();
}

void AsioLoop::call_after(TimeUs delay, std::function<void()> fn) {
  if (delay <= 0) {
    boost::asio::post(context_, std::move(fn));
    return;
  }
  timers_.push(now() + delay, std::move(fn));
  arm();
}

void AsioLoop::arm() {
  if (timers_.empty()) return;
  const TimeUs first = timers_.next_deadline();
  if (armed_for_ != 0 && armed_for_ <= first) return;
  armed_for_ = first;
  timer_.expires_at(base_ + std::chrono::microseconds(first - base_us_));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;  // armed anew, for an earlier call
    armed_for_ = 0;
    timers_.run_due(now());
    arm();
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
