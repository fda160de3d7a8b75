// Log events of the dispatcher.
#pragma once

#include <cstddef>
#include <string_view>

#include "base/log.h"
#include "dispatch/attempt.h"
#include "dispatch/request_table.h"
#include "dispatch/response_sink.h"
#include "workload/types.h"

namespace sablelink::dispatch {

/// Writes each event by the name under which operators search for it, as listed in docs/operating.md. The log
/// must outlive it.
class DispatchLog {
 public:
  explicit DispatchLog(Log& log) : log_(log) {}

  // Level debug: the life of each request.
  void request_accepted(RequestId id, const TrackedRequest& request, TimeUs remaining_us) const;
  void attempt_sent(AttemptId id, EngineId engine, TimeUs timeout_us) const;
  void attempt_completed(AttemptId id, Outcome outcome, TimeUs duration_us) const;
  void request_completed(RequestId id, const FinalResponse& response, TimeUs remaining_us) const;

  /// Level info: a line of the workload manager.
  void decision(std::string_view line) const;
  /// Level warning: a timer was late.
  void stalled(TimeUs delay_us, size_t open_requests) const;
  /// Level error: a send was refused, for a duplicate attempt or an unknown request.
  void send_blocked(RequestId id, bool is_duplicate) const;

 private:
  Log& log_;
};

}  // namespace sablelink::dispatch
