#include "platform/engine_client/orphaned_attempts.h"

#include <algorithm>
#include <utility>

namespace sablelink::platform {

void OrphanedAttempts::add(const AttemptPtr& attempt) {
  Group& group = groups_[attempt->client_tag()];
  group.orphaned.push_back(attempt);
  group.expires_at = std::max(group.expires_at, attempt->abandoned_at());
}

bool OrphanedAttempts::contains(const AttemptPtr& attempt) const {
  const auto it = groups_.find(attempt->client_tag());
  if (it == groups_.end()) return false;
  const std::vector<AttemptPtr>& orphaned = it->second.orphaned;
  return std::find(orphaned.begin(), orphaned.end(), attempt) != orphaned.end();
}

bool OrphanedAttempts::delay_if_needed(const AttemptPtr& attempt) {
  const auto it = groups_.find(attempt->client_tag());
  if (it == groups_.end()) return false;
  it->second.delayed.push_back(attempt);
  return true;
}

void OrphanedAttempts::remove_delayed(const AttemptPtr& attempt) {
  const auto it = groups_.find(attempt->client_tag());
  if (it != groups_.end()) std::erase(it->second.delayed, attempt);
}

std::vector<OrphanedAttempts::AttemptPtr> OrphanedAttempts::on_attempt_ended(const AttemptPtr& attempt) {
  const auto it = groups_.find(attempt->client_tag());
  if (it == groups_.end()) return {};
  std::erase(it->second.orphaned, attempt);
  if (!it->second.orphaned.empty()) return {};
  std::vector<AttemptPtr> released = std::move(it->second.delayed);
  groups_.erase(it);
  return released;
}

OrphanedAttempts::Expired OrphanedAttempts::expire(TimeUs now) {
  Expired expired;
  for (auto it = groups_.begin(); it != groups_.end();) {
    const Group& group = it->second;
    if (now < group.expires_at) {
      ++it;
      continue;
    }
    expired.removed.insert(expired.removed.end(), group.orphaned.begin(), group.orphaned.end());
    expired.released.insert(expired.released.end(), group.delayed.begin(), group.delayed.end());
    it = groups_.erase(it);
  }
  return expired;
}

}  // namespace sablelink::platform
