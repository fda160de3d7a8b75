// Interface through which the dispatcher reaches the engines.
#pragma once

#include <cstdint>

#include "dispatch/attempt.h"
#include "workload/types.h"

namespace sablelink::dispatch {

// Sends attempts to nodes. What comes back is told to the Carrier, never from within these calls, and nothing
// of an attempt after drop() or after its end.
class EngineTransport {
 public:
  virtual ~EngineTransport() = default;
  virtual void start(AttemptId key, EngineId engine, const AttemptSpec& order) = 0;
  // Forgets the attempt and tells the node to stop it.
  virtual void cancel(AttemptId key) = 0;
  // Reads on in an answer of which Carrier::attempt_message wanted no more.
  virtual void resume(AttemptId key) = 0;
  virtual void check_health(uint32_t probe, EngineId engine) = 0;
  virtual void close_idle_connections(EngineId engine) = 0;
};

}  // namespace sablelink::dispatch
