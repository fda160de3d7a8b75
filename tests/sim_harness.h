// Runs a coroutine in a simulation, for tests.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <utility>

#include "rpc/rpc.h"
#include "sim/world.h"

namespace sablelink::test {

// Executes steps of the world until the coroutine has ended.
inline void run_in(sim::World& world, rpc::Awaitable<void> coroutine) {
  bool done = false;
  boost::asio::co_spawn(world.executor(), std::move(coroutine), [&](const std::exception_ptr& error) {
    done = true;
    if (error) std::rethrow_exception(error);
  });
  world.settle();
  while (!done && world.step()) continue;
  ASSERT_TRUE(done) << "no events are left and the coroutine hasn't ended";
}

}  // namespace sablelink::test
