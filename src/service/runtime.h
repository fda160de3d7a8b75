// What a process gives its parts: threads, clocks, logs. The only place below main where the system's clock
// is read, through the functions that main passes in.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "rpc/grpc_tags.h"

namespace sablelink::service {

// What main alone may ask the system for.
struct System {
  rpc::WallClock wall;
  std::function<std::chrono::steady_clock::time_point()> steady;
  std::function<uint64_t()> random;
};

// Threads that run the strands of all parts. stop() ends them; work that is still waiting is dropped.
class Threads {
 public:
  explicit Threads(size_t count);
  ~Threads();
  boost::asio::any_io_executor strand();
  boost::asio::io_context& context() { return context_; }
  void stop();

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
  std::vector<std::thread> threads_;
};

// Microseconds since 1970 at its making, advanced by the steady clock. Calls come on the strand.
class SystemClock : public Clock {
 public:
  SystemClock(const System& system, boost::asio::any_io_executor strand);
  TimeUs now() const override;
  void call_after(TimeUs delay, std::function<void()> fn) override;

 private:
  std::function<std::chrono::steady_clock::time_point()> steady_;
  boost::asio::any_io_executor strand_;
  TimeUs base_us_;
  std::chrono::steady_clock::time_point base_;
};

// JSON lines on standard error: time, level, log, event and the event's fields.
std::unique_ptr<Log> make_json_log(const std::string& concern, const std::string& level);

}  // namespace sablelink::service
