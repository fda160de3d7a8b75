#include "rpc/grpc_loop.h"

#include <grpc/support/time.h>
#include <grpcpp/alarm.h>

#include "rpc/grpc_tags.h"

namespace sablelink::rpc {
namespace {

// gRPC waits in steps of a millisecond. A call that is due sooner than this is looked for without waiting.
constexpr TimeUs kSpinUs = 100;

}  // namespace

GrpcLoop::GrpcLoop(WallClock wall, SteadyClock steady)
    : wall_(std::move(wall)),
      steady_(std::move(steady)),
      base_(steady_()),
      base_us_(std::chrono::duration_cast<std::chrono::microseconds>(wall_().time_since_epoch()).count()),
      queue_(builder_.AddCompletionQueue()),
      context_(1),
      guard_(context_.get_executor()),
      thread_([this] { work(); }) {}

GrpcLoop::~GrpcLoop() {
  ending_ = true;
  wake();
  thread_.join();
  // Not on the thread itself, which may see the end before the waking above has come to the queue: a queue
  // that is shut takes no alarm.
  queue_->Shutdown();
  void* tag = nullptr;
  bool ok = false;
  while (queue_->Next(&tag, &ok)) static_cast<Tag*>(tag)->take_back()->abandon();
}

TimeUs GrpcLoop::now() const {
  return base_us_ + std::chrono::duration_cast<std::chrono::microseconds>(steady_() - base_).count();
}

void GrpcLoop::call_after(TimeUs delay, std::function<void()> fn) {
  if (delay <= 0) {
    boost::asio::post(context_, std::move(fn));
    return;
  }
  timers_.push(now() + delay, std::move(fn));
}

void GrpcLoop::run(const std::function<void()>& fn) {
  std::promise<void> done;
  post([&] {
    fn();
    done.set_value();
  });
  done.get_future().wait();
}

// An alarm of gRPC's that is due at once brings the loop's thread out of its waiting. One on its way is
// enough: the flag falls before the thread looks for posted work.
void GrpcLoop::wake() {
  if (waking_.exchange(true)) return;
  class Wake : public Tag {
   public:
    explicit Wake(std::atomic<bool>& waking) : waking_(waking) {}
    void complete(bool) override {
      waking_.store(false);
      delete this;
    }
    std::shared_ptr<grpc::Alarm> alarm = std::make_shared<grpc::Alarm>();

   private:
    std::atomic<bool>& waking_;
  };
  auto* const tag = new Wake(waking_);
  const std::shared_ptr<grpc::Alarm> alarm = tag->alarm;  // Set() may still be in it when the tag has gone
  alarm->Set(queue_.get(), gpr_time_0(GPR_CLOCK_MONOTONIC), tag->give_out());
}

gpr_timespec GrpcLoop::wait() const {
  if (timers_.empty()) return gpr_inf_future(GPR_CLOCK_MONOTONIC);
  const TimeUs left = timers_.next_deadline() - now();
  return gpr_time_from_micros(left <= kSpinUs ? 0 : left, GPR_TIMESPAN);
}

void GrpcLoop::work() {
  void* tag = nullptr;
  bool ok = false;
  while (!ending_) {
    context_.poll();
    if (!timers_.empty()) {
      timers_.run_due(now());
      context_.poll();
    }
    if (queue_->AsyncNext(&tag, &ok, wait()) == grpc::CompletionQueue::GOT_EVENT)
      static_cast<Tag*>(tag)->take_back()->complete(ok);
  }
}

}  // namespace sablelink::rpc
