#include "schemas/planning.h"

#include <algorithm>

namespace sablelink::schemas {

void Planning::asked(TimeUs now) {
  ++counts_.asked;
  if (!limits_.on) return;
  asked_at_.push_back(now);
  while (now - asked_at_.front() >= limits_.window_us) asked_at_.pop_front();
}

// As the budget of further attempts: what was made and what was asked in the window that ends now.
bool Planning::within_budget(TimeUs now) {
  while (!called_at_.empty() && now - called_at_.front() > limits_.window_us) called_at_.pop_front();
  while (!asked_at_.empty() && now - asked_at_.front() >= limits_.window_us) asked_at_.pop_front();
  const double allowed = limits_.free + limits_.per_statement * static_cast<double>(asked_at_.size());
  return static_cast<double>(called_at_.size() + 1) <= allowed;
}

Planning::Word Planning::want(TimeUs now, const std::string& key, Waiter waiter) {
  if (!limits_.on) return Word::kGoWithout;
  if (waiting_ >= limits_.waiting) {
    ++counts_.too_many;
    return Word::kGoWithout;
  }
  if (const auto it = calls_.find(key); it != calls_.end()) {
    ++counts_.shared;
    ++waiting_;
    it->second.push_back(waiter);
    return Word::kWait;
  }
  if (calls_.size() >= limits_.at_once) {
    ++counts_.too_many;
    return Word::kGoWithout;
  }
  if (!within_budget(now)) {
    ++counts_.over_budget;
    return Word::kGoWithout;
  }
  ++counts_.calls;
  ++waiting_;
  called_at_.push_back(now);
  calls_[key].push_back(waiter);
  return Word::kAsk;
}

std::vector<Planning::Waiter> Planning::ended(const std::string& key) {
  const auto it = calls_.find(key);
  if (it == calls_.end()) return {};
  std::vector<Waiter> waiters = std::move(it->second);
  calls_.erase(it);
  waiting_ -= waiters.size();
  return waiters;
}

void Planning::left(const std::string& key, Waiter waiter) {
  const auto it = calls_.find(key);
  if (it == calls_.end()) return;
  waiting_ -= std::erase(it->second, waiter);
}

}  // namespace sablelink::schemas
