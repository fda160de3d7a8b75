// What a process gives its parts: clocks, randomness, logs.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/log.h"
#include "rpc/grpc_loop.h"

namespace sablelink::service {

// What main alone may ask the system for.
struct System {
  WallClock wall;
  SteadyClock steady;
  std::function<uint64_t()> random;
};

// JSON lines on standard error: time, level, log, event and the event's fields.
std::unique_ptr<Log> make_json_log(const std::string& concern, const std::string& level);

}  // namespace sablelink::service
