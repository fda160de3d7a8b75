// Runs a coroutine in a simulated world, for tests.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <utility>

#include "rpc/rpc.h"
#include "sim/world.h"

namespace sablelink::test {

// Steps the world until the work is done.
inline void run_in(sim::World& world, rpc::Awaitable<void> work) {
  bool done = false;
  boost::asio::co_spawn(world.executor(), std::move(work), [&](const std::exception_ptr& error) {
    done = true;
    if (error) std::rethrow_exception(error);
  });
  world.settle();
  while (!done && world.step()) continue;
  ASSERT_TRUE(done) << "nothing is left to come, and the client still waits";
}

}  // namespace sablelink::test
