#include "dispatch/dispatch_log.h"

#include <string>

namespace sablelink::dispatch {

void DispatchLog::request_accepted(RequestId id, const TrackedRequest& request, TimeUs remaining_us) const {
  if (!log_.is_enabled(LogLevel::kDebug)) return;
  log_.write(LogLevel::kDebug, "request_accepted",
             {{"request", std::to_string(id)},
              {"tag", request.statement->client_tag},
              {"class", std::to_string(request.class_index)},
              {"remaining_us", std::to_string(remaining_us)}});
}

void DispatchLog::attempt_sent(AttemptId id, EngineId engine, TimeUs timeout_us) const {
  if (!log_.is_enabled(LogLevel::kDebug)) return;
  log_.write(LogLevel::kDebug, "attempt_sent",
             {{"request", std::to_string(id.request)},
              {"attempt", std::to_string(id.number)},
              {"engine", std::to_string(engine)},
              {"timeout_us", std::to_string(timeout_us)}});
}

void DispatchLog::attempt_completed(AttemptId id, Outcome outcome, TimeUs duration_us) const {
  if (!log_.is_enabled(LogLevel::kDebug)) return;
  log_.write(LogLevel::kDebug, "attempt_completed",
             {{"request", std::to_string(id.request)},
              {"attempt", std::to_string(id.number)},
              {"outcome", std::to_string(static_cast<int>(outcome))},
              {"duration_us", std::to_string(duration_us)}});
}

void DispatchLog::request_completed(RequestId id, const FinalResponse& response, TimeUs remaining_us) const {
  if (!log_.is_enabled(LogLevel::kDebug)) return;
  log_.write(LogLevel::kDebug, "request_completed",
             {{"request", std::to_string(id)},
              {"status", request_status_name(response.status)},
              {"reason", completion_reason_name(response.reason)},
              {"attempts", std::to_string(response.attempts)},
              {"remaining_us", std::to_string(remaining_us)}});
}

void DispatchLog::decision(std::string_view line) const {
  log_.info("decision", {{"line", std::string(line)}});
}

void DispatchLog::stalled(TimeUs delay_us, size_t open_requests) const {
  log_.warn("stalled",
            {{"late_ms", std::to_string(delay_us / 1000)}, {"open", std::to_string(open_requests)}});
}

void DispatchLog::send_blocked(RequestId id, bool is_duplicate) const {
  log_.error("send_blocked", {{"request", std::to_string(id)}, {"doubled", is_duplicate ? "true" : "false"}});
}

}  // namespace sablelink::dispatch
