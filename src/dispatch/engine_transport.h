// Interface through which the dispatcher communicates with engines.
#pragma once

#include <cstdint>

#include "dispatch/attempt.h"
#include "workload/types.h"

namespace sablelink::dispatch {

/// Identifies a health check between the dispatcher and the engine transport.
using HealthCheckId = uint32_t;

/// Sends attempts and health checks to engines. Belongs to the dispatcher's strand.
///
/// Results are delivered to the on_attempt_* and on_health_check_* methods of RequestDispatcher, never from
/// within a method of this interface. Errors are delivered as results; no method throws. Nothing is delivered
/// for an attempt that has completed or been cancelled.
class EngineTransport {
 public:
  virtual ~EngineTransport() = default;
  /// Starts an attempt. It ends with one call of on_attempt_completed or with cancel().
  virtual void start(AttemptId attempt, EngineId engine, const AttemptSpec& spec) = 0;
  /// Cancels an attempt and requests the engine to stop executing it. Ignores unknown attempts.
  virtual void cancel(AttemptId attempt) = 0;
  /// Resumes reading a response after RequestDispatcher::on_attempt_message has returned false.
  virtual void resume(AttemptId attempt) = 0;
  /// Sends a health check to an engine. The result is a load report or an error; it may never arrive.
  virtual void check_health(HealthCheckId check, EngineId engine) = 0;
  /// Closes the connections to an engine that have no attempt in flight.
  virtual void close_idle_connections(EngineId engine) = 0;
};

}  // namespace sablelink::dispatch
