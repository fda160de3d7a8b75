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

/// Writes the dispatcher's log events. Operators search for their names, which docs/operating.md lists. The
/// log must outlive this object.
class DispatchLog {
 public:
  explicit DispatchLog(Log& log) : log_(log) {}

  // Level debug: the lifecycle of each request.
  void request_accepted(RequestId id, const TrackedRequest& request, TimeUs remaining_us) const;
  void attempt_sent(AttemptId id, EngineId engine, TimeUs timeout_us) const;
  void attempt_completed(AttemptId id, Outcome outcome, TimeUs duration_us) const;
  void request_completed(RequestId id, const FinalResponse& response, TimeUs remaining_us) const;

  /// Level info: a line that the workload manager logs about its decisions.
  void decision(std::string_view line) const;
  /// Level warning: a timer fired late, by the given delay.
  void stalled(TimeUs delay_us, size_t open_requests) const;
  /// Level error: an attempt was not sent because it is a duplicate or its request is unknown.
  void send_blocked(RequestId id, bool is_duplicate) const;

 private:
  Log& log_;
};

}  // namespace sablelink::dispatch
