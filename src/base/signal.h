// One coroutine waits, others on the same strand tell it to go on. A signal given while nobody waits is kept.
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

class Signal {
 public:
  // At most one at a time may wait.
  boost::asio::awaitable<void> wait() {
    if (!std::exchange(given_, false)) {
      co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(
          [this](auto handler) {
            waiter_ = std::make_unique<Waiting<decltype(handler)>>(std::move(handler));
          },
          boost::asio::use_awaitable);
    }
  }

  // The waiting coroutine goes on later, never within this call.
  void give() {
    if (waiter_)
      std::exchange(waiter_, nullptr)->go_on();
    else
      given_ = true;
  }

 private:
  struct Waiter {
    virtual ~Waiter() = default;
    virtual void go_on() = 0;
  };
  template <typename Handler>
  struct Waiting : Waiter {
    explicit Waiting(Handler h) : handler(std::move(h)) {}
    void go_on() override {
      const auto executor = boost::asio::get_associated_executor(handler);
      boost::asio::post(executor, [h = std::move(handler)]() mutable { h(); });
    }
    Handler handler;
  };

  std::unique_ptr<Waiter> waiter_;
  bool given_ = false;
};

// The first of several words that may come, yes or no; the others come for nothing. One may wait for it.
class FirstWord {
 public:
  void tell(bool yes) {
    if (std::exchange(told_, true)) return;
    yes_ = yes;
    heard_.give();
  }
  boost::asio::awaitable<bool> wait() {
    co_await heard_.wait();
    co_return yes_;
  }

 private:
  Signal heard_;
  bool told_ = false, yes_ = false;
};

// Goes on after the time. Not longer than its clock may live.
inline boost::asio::awaitable<void> pause(Clock& clock, TimeUs how_long) {
  Signal over;
  clock.call_after(how_long, [&over] { over.give(); });
  co_await over.wait();
}

}  // namespace sablelink
