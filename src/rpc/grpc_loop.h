// One thread that is a strand, its clock and gRPC's completion queue in one: it takes a completion from the
// queue, lets coroutines run until none can go on, calls what is due, and waits again. Nothing changes
// threads between a socket and the code that its message is for; gRPC's sockets are read by this very thread.
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
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <utility>

#include "base/clock.h"
#include "base/timer_heap.h"
#include "rpc/rpc.h"

namespace sablelink::rpc {

// now() may be called from any thread: microseconds since 1970 at the loop's making, advanced by the steady
// clock. call_after() and all that uses the executor belong on the loop's thread; a call comes up to a
// millisecond late, which is the step of gRPC's own waiting. Other threads come in by post() and run().
class GrpcLoop : public Clock {
 public:
  GrpcLoop(WallClock wall, SteadyClock steady);
  // Waits for every operation that gRPC still has; whatever that needs to end must have been done before.
  // Posted work and calls that are still to come are dropped.
  ~GrpcLoop() override;
  GrpcLoop(const GrpcLoop&) = delete;
  GrpcLoop& operator=(const GrpcLoop&) = delete;

  boost::asio::any_io_executor executor() { return context_.get_executor(); }
  TimeUs now() const override;
  void call_after(TimeUs delay, std::function<void()> fn) override;

  // Runs fn on the loop, from any other thread.
  template <typename Fn>
  void post(Fn fn) {
    boost::asio::post(context_, std::move(fn));
    wake();
  }
  // The same, and waits for its end.
  void run(const std::function<void()>& fn);
  // Starts a coroutine on the loop, from any other thread.
  template <typename T>
  std::future<T> spawn(Awaitable<T> work) {
    std::future<T> result = boost::asio::co_spawn(context_, std::move(work), boost::asio::use_future);
    wake();
    return result;
  }

  const WallClock& wall() const { return wall_; }
  grpc::CompletionQueue* queue() { return queue_.get(); }
  // For the one server that may run on this loop; its calls come to queue().
  grpc::ServerBuilder& server_builder() { return builder_; }
  grpc::ServerCompletionQueue* server_queue() { return queue_.get(); }

 private:
  void work();
  gpr_timespec wait() const;
  void wake();

  const WallClock wall_;
  const SteadyClock steady_;
  const std::chrono::steady_clock::time_point base_;
  const TimeUs base_us_;
  grpc::ServerBuilder builder_;
  std::unique_ptr<grpc::ServerCompletionQueue> queue_;
  boost::asio::io_context context_;  // after the queue, which what is left in here may still name
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
  TimerHeap timers_;  // the loop's thread alone uses it
  std::atomic<bool> waking_{false};
  std::atomic<bool> ending_{false};
  std::thread thread_;
};

}  // namespace sablelink::rpc
