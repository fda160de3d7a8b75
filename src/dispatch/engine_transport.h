// Interface through which the dispatcher reaches the engines.
#pragma once

#include <cstdint>

#include "dispatch/attempt.h"
#include "workload/types.h"

namespace sablelink::dispatch {

/// Identifies a health check between the dispatcher and the engine transport.
using HealthCheckId = uint32_t;

/// Sends attempts and health checks to engines. Belongs to the dispatcher's strand.
///
/// Results are delivered by RequestDispatcher's on_attempt_ and on_health_check_ methods, never within a call
/// of this interface, and errors are results too: no method throws. Nothing is delivered of an attempt once
/// it has completed or was cancelled.
class EngineTransport {
 public:
  virtual ~EngineTransport() = default;
  /// Starts an attempt. It ends by on_attempt_completed, once, or by cancel().
  virtual void start(AttemptId attempt, EngineId engine, const AttemptSpec& spec) = 0;
  /// Ends an attempt and asks the engine to stop it. Unknown attempts are ignored.
  virtual void cancel(AttemptId attempt) = 0;
  /// Continues to read a response after RequestDispatcher::on_attempt_message has returned false.
  virtual void resume(AttemptId attempt) = 0;
  /// Asks an engine for its health; the result may be a load report, an error or never come.
  virtual void check_health(HealthCheckId check, EngineId engine) = 0;
  /// Closes the connections to an engine on which no attempt is in flight.
  virtual void close_idle_connections(EngineId engine) = 0;
};

}  // namespace sablelink::dispatch
