#include "workload/retry_policy.h"

#include <algorithm>

namespace sablelink {

void RetryPolicy::record_request(TimeUs now) {
  if (settings_.retry_budget_enabled) request_times_.push_back(now);
}

void RetryPolicy::remove_retry(TimeUs recorded_at) {
  const auto retry = std::find(retry_times_.begin(), retry_times_.end(), recorded_at);
  if (retry != retry_times_.end()) retry_times_.erase(retry);
}

// An attempt counts when it is sent, up to max_send_delay_us after the decision. Retries that are decided
// within the window plus that delay can therefore be sent within one window.
bool RetryPolicy::has_budget_for(const Query& query, TimeUs now) {
  if (query.attempts == 0 || !settings_.retry_budget_enabled) return true;
  const TimeUs window_us = settings_.retry_budget_window_us;
  const TimeUs delay_us = settings_.max_send_delay_us;
  while (!retry_times_.empty() && now - retry_times_.front() > window_us + delay_us) retry_times_.pop_front();
  while (!request_times_.empty() && now - request_times_.front() >= window_us - delay_us)
    request_times_.pop_front();
  return (retry_times_.size() + 1) <=
         settings_.retry_budget_base + settings_.retry_budget_per_request * request_times_.size();
}

bool RetryPolicy::is_retry_safe_on(const Query& query, const Endpoint& endpoint, TimeUs now) const {
  const ClassSettings& class_settings = *query.class_settings;
  if (!query.may_have_run || class_settings.idempotency == Idempotency::kIdempotent) return true;
  if (class_settings.idempotency == Idempotency::kNotIdempotent) return false;
  if (now + settings_.max_send_delay_us > query.first_run_at + class_settings.dedup_window_us) return false;
  switch (class_settings.dedup_scope) {
    case DedupScope::kAll:
      return true;
    case DedupScope::kZone:
      return query.first_run_endpoint.zone == endpoint.zone;
    case DedupScope::kCell:
      return query.first_run_endpoint.cell == endpoint.cell;
  }
  return false;
}

bool RetryPolicy::is_rejection_safe(const Query& query) {
  const ClassSettings& class_settings = *query.class_settings;
  if (class_settings.idempotency == Idempotency::kIdempotent) return true;
  if (!query.may_have_run && !query.attempt_in_flight) return true;
  return class_settings.idempotency == Idempotency::kIdempotentWithKey &&
         class_settings.dedup_scope == DedupScope::kAll;
}

}  // namespace sablelink
