// Primitives with which coroutines wait for an event, a result or a duration. Not thread-safe: an object, the
// coroutine that waits for it and the code that sets it must run on the same strand.
#pragma once

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

#include "base/clock.h"

namespace sablelink {

/// Auto-reset event: each set() resumes one wait(); without a waiting coroutine, the next wait() returns
/// immediately. Destroying the event destroys the coroutine that waits for it.
class AsyncEvent {
 public:
  /// Returns once the event is set, and resets it. At most one coroutine may wait at a time.
  boost::asio::awaitable<void> wait() {
    if (!std::exchange(is_set_, false)) {
      co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(
          [this](auto handler) {
            waiter_ = std::make_unique<HandlerWaiter<decltype(handler)>>(std::move(handler));
          },
          boost::asio::use_awaitable);
    }
  }

  /// Sets the event. A waiting coroutine is posted to its executor, never resumed within this call.
  void set() {
    if (waiter_) {
      std::exchange(waiter_, nullptr)->resume();
    } else {
      is_set_ = true;
    }
  }

 private:
  struct Waiter {
    virtual ~Waiter() = default;
    virtual void resume() = 0;
  };
  template <typename Handler>
  struct HandlerWaiter : Waiter {
    explicit HandlerWaiter(Handler h) : handler(std::move(h)) {}
    void resume() override {
      const auto executor = boost::asio::get_associated_executor(handler);
      boost::asio::post(executor, [h = std::move(handler)]() mutable { h(); });
    }
    Handler handler;
  };

  std::unique_ptr<Waiter> waiter_;
  bool is_set_ = false;
};

/// The first of several competing results of an operation, for example of a connection attempt and its
/// timeout. Later results are ignored.
class FirstResult {
 public:
  void set(bool succeeded) {
    if (std::exchange(is_set_, true)) return;
    succeeded_ = succeeded;
    event_.set();
  }
  /// Returns the first result. At most one coroutine may wait.
  boost::asio::awaitable<bool> wait() {
    co_await event_.wait();
    co_return succeeded_;
  }

 private:
  AsyncEvent event_;
  bool is_set_ = false;
  bool succeeded_ = false;
};

/// Returns once the duration, in microseconds, has passed on the clock. The clock must not call back after
/// the waiting coroutine has been destroyed.
inline boost::asio::awaitable<void> sleep_for(Clock& clock, TimeUs duration_us) {
  AsyncEvent elapsed;
  clock.call_after(duration_us, [&elapsed] { elapsed.set(); });
  co_await elapsed.wait();
}

}  // namespace sablelink
