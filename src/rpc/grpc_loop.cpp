#include "rpc/grpc_loop.h"

#include <grpc/support/time.h>
#include <grpcpp/alarm.h>

#include "rpc/completion_tag.h"

namespace sablelink::rpc {
namespace {

// gRPC waits in steps of a millisecond, so the queue is polled without waiting where a timer expires within
// this time.
constexpr TimeUs kPollThresholdUs = 100;

}  // namespace

// Completes when the alarm expires, which ends the wait of the loop's thread.
class GrpcLoop::WakeUpTag : public CompletionTag {
 public:
  explicit WakeUpTag(std::atomic<bool>& pending) : pending_(pending) {}
  void complete(bool) override {
    pending_.store(false);
    delete this;
  }
  const std::shared_ptr<grpc::Alarm>& alarm() const { return alarm_; }

 private:
  std::atomic<bool>& pending_;
  const std::shared_ptr<grpc::Alarm> alarm_ = std::make_shared<grpc::Alarm>();
};

GrpcLoop::GrpcLoop(WallClock wall, SteadyClock steady)
    : wall_(std::move(wall)),
      clock_(wall_, std::move(steady)),
      queue_(builder_.AddCompletionQueue()),
      context_(1),
      work_guard_(context_.get_executor()),
      thread_([this] { run(); }) {}

GrpcLoop::~GrpcLoop() {
  stopping_ = true;
  wake_up();
  thread_.join();
  // The loop's thread must not shut the queue down itself: it could see stopping_ and do so before wake_up()
  // sets the alarm, and alarms can't be set on a queue that is shut down.
  queue_->Shutdown();
  void* tag = nullptr;
  bool ok = false;
  while (queue_->Next(&tag, &ok)) static_cast<CompletionTag*>(tag)->take_from_grpc()->abandon();
}

void GrpcLoop::call_after(TimeUs delay_us, std::function<void()> fn) {
  if (delay_us <= 0) {
    boost::asio::post(context_, std::move(fn));
    return;
  }
  timers_.push(now() + delay_us, std::move(fn));
}

void GrpcLoop::post_and_wait(const std::function<void()>& fn) {
  std::promise<void> done;
  post([&] {
    fn();
    done.set_value();
  });
  done.get_future().wait();
}

// Sets an alarm that expires at once. One pending alarm is enough, as the flag is cleared before the loop's
// thread runs posted work.
void GrpcLoop::wake_up() {
  if (wake_up_pending_.exchange(true)) return;
  auto* const tag = new WakeUpTag(wake_up_pending_);
  // Copied, as Set() may still be running when the tag is destroyed.
  const std::shared_ptr<grpc::Alarm> alarm = tag->alarm();
  alarm->Set(queue_.get(), gpr_time_0(GPR_CLOCK_MONOTONIC), tag->hand_to_grpc());
}

gpr_timespec GrpcLoop::time_until_next_timer() const {
  if (timers_.empty()) return gpr_inf_future(GPR_CLOCK_MONOTONIC);
  const TimeUs remaining_us = timers_.next_deadline() - now();
  return gpr_time_from_micros(remaining_us <= kPollThresholdUs ? 0 : remaining_us, GPR_TIMESPAN);
}

void GrpcLoop::run() {
  void* tag = nullptr;
  bool ok = false;
  while (!stopping_) {
    context_.poll();
    if (!timers_.empty()) {
      timers_.run_expired(now());
      context_.poll();
    }
    if (queue_->AsyncNext(&tag, &ok, time_until_next_timer()) == grpc::CompletionQueue::GOT_EVENT) {
      static_cast<CompletionTag*>(tag)->take_from_grpc()->complete(ok);
    }
  }
}

}  // namespace sablelink::rpc
