// Log events that follow one attempt through its calls to an engine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/log.h"
#include "platform/engine_client/call_failure.h"
#include "platform/engine_client/call_queue.h"
#include "rpc/byte_stream.h"
#include "workload/types.h"

namespace sablelink::platform {

/// Writes the engine client's log events, all at level debug. Operators search for their names, which
/// docs/platform.md lists. The log must outlive this object.
class EngineCallLog {
 public:
  /// A call and the connection on which it was sent.
  struct SentCall {
    const EngineCall& call;
    const std::string& address;      // the engine's
    uint64_t connection_number = 0;  // counted from 1 over all connections of this process
  };

  explicit EngineCallLog(Log& log) : log_(log) {}

  void call_sent(const SentCall& sent) const;
  void call_completed(const SentCall& sent, int status) const;
  /// Bytes were received behind the content of the call's response.
  void trailing_bytes(const SentCall& sent, size_t bytes) const;
  /// The call ended without a usable response.
  void call_interrupted(const SentCall& sent, CallFailure reason) const;

  /// A connection to the engine could not be established. `pending_calls` calls wait for one.
  void dial_failed(EngineId engine, const std::string& address, rpc::ConnectStatus status,
                   size_t pending_calls) const;

  /// The start of the attempt waits until an earlier attempt of its request has ended.
  void attempt_delayed(const EngineAttempt& attempt) const;
  /// The earlier attempt has ended, so the start is no longer delayed.
  void attempt_released(const EngineAttempt& attempt) const;

 private:
  void write_call(std::string_view event, const SentCall& sent, std::string_view key,
                  std::string_view value) const;
  void write_attempt(std::string_view event, const EngineAttempt& attempt) const;

  Log& log_;
};

}  // namespace sablelink::platform
