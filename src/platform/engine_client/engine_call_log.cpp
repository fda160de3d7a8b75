#include "platform/engine_client/engine_call_log.h"

namespace sablelink::platform {
namespace {

std::string_view call_name(CallType type) {
  switch (type) {
    case CallType::kCancel:
      return "cancel";
    case CallType::kStart:
      return "start";
    case CallType::kFetchPage:
      return "fetch_page";
    case CallType::kPoll:
      return "poll";
  }
  return "unknown";
}

std::string_view dial_failure_name(rpc::ConnectStatus status) {
  switch (status) {
    case rpc::ConnectStatus::kConnected:
      return "connected";
    case rpc::ConnectStatus::kRefused:
      return "refused";
    case rpc::ConnectStatus::kTimeout:
      return "timeout";
    case rpc::ConnectStatus::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace

void EngineCallLog::call_sent(const SentCall& sent) const {
  write_call("engine_call_sent", sent, "page", std::to_string(sent.call.page));
}

void EngineCallLog::call_completed(const SentCall& sent, int status) const {
  write_call("engine_call_completed", sent, "status", std::to_string(status));
}

void EngineCallLog::trailing_bytes(const SentCall& sent, size_t bytes) const {
  write_call("engine_trailing_bytes", sent, "bytes", std::to_string(bytes));
}

void EngineCallLog::call_interrupted(const SentCall& sent, CallFailure reason) const {
  write_call("engine_call_interrupted", sent, "reason", call_failure_name(reason));
}

void EngineCallLog::dial_failed(EngineId engine, const std::string& address, rpc::ConnectStatus status,
                                size_t pending_calls) const {
  if (!log_.is_enabled(LogLevel::kDebug)) return;
  log_.write(LogLevel::kDebug, "engine_dial_failed",
             {{"engine", address},
              {"engine_id", std::to_string(engine)},
              {"reason", std::string(dial_failure_name(status))},
              {"pending_calls", std::to_string(pending_calls)}});
}

void EngineCallLog::attempt_delayed(const EngineAttempt& attempt) const {
  write_attempt("attempt_delayed", attempt);
}

void EngineCallLog::attempt_released(const EngineAttempt& attempt) const {
  write_attempt("attempt_released", attempt);
}

void EngineCallLog::write_call(std::string_view event, const SentCall& sent, std::string_view key,
                               std::string_view value) const {
  if (!log_.is_enabled(LogLevel::kDebug)) return;
  const EngineAttempt& attempt = *sent.call.attempt;
  log_.write(LogLevel::kDebug, event,
             {{"tag", attempt.client_tag()},
              {"request", std::to_string(attempt.id().request)},
              {"attempt", std::to_string(attempt.id().number)},
              {"call", std::string(call_name(sent.call.type))},
              {"engine", sent.address},
              {"connection", std::to_string(sent.connection_number)},
              {key, std::string(value)}});
}

void EngineCallLog::write_attempt(std::string_view event, const EngineAttempt& attempt) const {
  if (!log_.is_enabled(LogLevel::kDebug)) return;
  log_.write(LogLevel::kDebug, event,
             {{"tag", attempt.client_tag()},
              {"request", std::to_string(attempt.id().request)},
              {"attempt", std::to_string(attempt.id().number)}});
}

}  // namespace sablelink::platform
