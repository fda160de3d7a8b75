// An event loop that runs a strand, its clock and gRPC's completion queue on one thread. It takes a
// completion from the queue, runs coroutines until none is ready, calls expired timers, and waits again. gRPC
// reads its sockets on this thread, so messages aren't passed between threads on their way to the code that
// handles them.
#pragma once

#include <grpcpp/completion_queue.h>
#include <grpcpp/server_builder.h>

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <utility>

#include "base/clock.h"
#include "base/timer_heap.h"
#include "rpc/epoch_clock.h"
#include "rpc/rpc.h"

namespace sablelink::rpc {

/// now() may be called from any thread. call_after() and the executor may be used only on the loop's thread;
/// other threads use post(), post_and_wait() and spawn(). Timers may be up to a millisecond late, as gRPC
/// waits in steps of a millisecond.
class GrpcLoop : public Clock {
 public:
  GrpcLoop(WallClock wall, SteadyClock steady);
  /// Waits for all gRPC operations in flight; the caller must have made sure that they can complete. Posted
  /// work and timers that haven't expired are discarded.
  ~GrpcLoop() override;
  GrpcLoop(const GrpcLoop&) = delete;
  GrpcLoop& operator=(const GrpcLoop&) = delete;

  boost::asio::any_io_executor executor() { return context_.get_executor(); }
  TimeUs now() const override { return clock_.now(); }
  void call_after(TimeUs delay_us, std::function<void()> fn) override;

  /// Schedules fn on the loop; may be called from any other thread.
  template <typename Fn>
  void post(Fn fn) {
    boost::asio::post(context_, std::move(fn));
    wake_up();
  }
  /// Runs fn on the loop and waits until it returns; may be called from any other thread.
  void post_and_wait(const std::function<void()>& fn);
  /// Starts a coroutine on the loop; may be called from any other thread.
  template <typename T>
  std::future<T> spawn(Awaitable<T> coroutine) {
    std::future<T> result = boost::asio::co_spawn(context_, std::move(coroutine), boost::asio::use_future);
    wake_up();
    return result;
  }

  const WallClock& wall() const { return wall_; }
  grpc::CompletionQueue* queue() { return queue_.get(); }
  /// The builder for the only server that may run on this loop. Its calls arrive in server_queue().
  grpc::ServerBuilder& server_builder() { return builder_; }
  grpc::ServerCompletionQueue* server_queue() { return queue_.get(); }

 private:
  class WakeUpTag;

  void run();
  gpr_timespec time_until_next_timer() const;
  void wake_up();

  const WallClock wall_;
  const EpochClock clock_;
  grpc::ServerBuilder builder_;
  std::unique_ptr<grpc::ServerCompletionQueue> queue_;
  boost::asio::io_context context_;  // declared after queue_, as pending handlers may refer to that
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
  TimerHeap timers_;  // used only on the loop's thread
  std::atomic<bool> wake_up_pending_{false};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace sablelink::rpc
