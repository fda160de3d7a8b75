#include "workload/send_guard.h"

#include <algorithm>

#include "workload/engine.h"

namespace sablelink {
namespace {

bool is_allowed(const std::vector<int>& allowed, int value) {
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), value) != allowed.end();
}

}  // namespace

bool SendGuard::is_eligible(const Query& query, const Engine& engine) {
  const ClassSettings& class_settings = *query.class_settings;
  return engine.is_ready() && is_allowed(class_settings.allowed_zones, engine.endpoint.zone) &&
         is_allowed(class_settings.allowed_engine_types, engine.endpoint.engine_type);
}

bool SendGuard::may_ever_send(const Query& query, const Engine& engine, TimeUs now) const {
  return is_eligible(query, engine) && retry_policy_.is_retry_safe_on(query, engine.endpoint, now);
}

bool SendGuard::may_send(const Query& query, Engine& engine, TimeUs now) {
  return !query.completed && !query.attempt_in_flight && now < query.request.deadline &&
         retry_policy_.has_attempts_left(query) && may_ever_send(query, engine, now) &&
         slow_start_.has_budget_for(query, engine, now) && key_ordering_.may_start(query, now) &&
         retry_policy_.has_budget_for(query, now);
}

void SendGuard::on_sent(const Query& query, Engine& engine, TimeUs now) {
  count_send(query, engine, query.attempts > 0, now);
}

bool SendGuard::may_still_be_sent(const Query& query, Engine& engine, TimeUs now) {
  const bool is_retry = query.attempts > 1;
  const bool counted = slow_start_.remove_send(query, engine, now);
  if (is_retry) retry_policy_.remove_retry(query.sent_at);
  if (counted && !slow_start_.has_budget_for(query, engine, now)) return false;
  if (is_retry && !retry_policy_.has_budget_for(query, now)) return false;
  if (!may_ever_send(query, engine, now)) return false;
  count_send(query, engine, is_retry, now);
  return true;
}

void SendGuard::count_send(const Query& query, Engine& engine, bool is_retry, TimeUs now) {
  slow_start_.record_send(query, engine, now);
  if (is_retry) retry_policy_.record_retry(now);
}

}  // namespace sablelink
