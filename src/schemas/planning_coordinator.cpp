#include "schemas/planning_coordinator.h"

#include <utility>

namespace sablelink::schemas {

void PlanningCoordinator::on_lookup(TimeUs now) {
  ++counts_.lookups;
  if (!settings_.enabled) return;
  lookup_times_.push_back(now);
  expire_lookups(now);
}

void PlanningCoordinator::expire_lookups(TimeUs now) {
  while (!lookup_times_.empty() && now - lookup_times_.front() >= settings_.budget_window_us) {
    lookup_times_.pop_front();
  }
}

bool PlanningCoordinator::is_within_budget(TimeUs now) {
  while (!call_times_.empty() && now - call_times_.front() > settings_.budget_window_us) {
    call_times_.pop_front();
  }
  expire_lookups(now);
  const auto lookups = static_cast<double>(lookup_times_.size());
  const double allowed = settings_.budget_base_calls + settings_.budget_calls_per_statement * lookups;
  return static_cast<double>(call_times_.size() + 1) <= allowed;
}

PlanningCoordinator::Decision PlanningCoordinator::request_columns(TimeUs now, const std::string& key,
                                                                   WaiterId waiter) {
  if (!settings_.enabled) return Decision::kProceedWithoutColumns;
  if (waiter_count_ >= settings_.max_waiters) {
    ++counts_.over_capacity;
    return Decision::kProceedWithoutColumns;
  }
  if (const auto call = calls_.find(key); call != calls_.end()) {
    ++counts_.shared;
    ++waiter_count_;
    call->second.push_back(waiter);
    return Decision::kWaitForCall;
  }
  if (calls_.size() >= settings_.max_concurrent_calls) {
    ++counts_.over_capacity;
    return Decision::kProceedWithoutColumns;
  }
  if (!is_within_budget(now)) {
    ++counts_.over_budget;
    return Decision::kProceedWithoutColumns;
  }
  ++counts_.calls;
  ++waiter_count_;
  call_times_.push_back(now);
  calls_[key].push_back(waiter);
  return Decision::kStartCall;
}

std::vector<PlanningCoordinator::WaiterId> PlanningCoordinator::complete_call(const std::string& key) {
  const auto call = calls_.find(key);
  if (call == calls_.end()) return {};
  std::vector<WaiterId> waiters = std::move(call->second);
  calls_.erase(call);
  waiter_count_ -= waiters.size();
  return waiters;
}

void PlanningCoordinator::remove_waiter(const std::string& key, WaiterId waiter) {
  const auto call = calls_.find(key);
  if (call == calls_.end()) return;
  waiter_count_ -= std::erase(call->second, waiter);
}

}  // namespace sablelink::schemas
