#include "platform/engine_client/orphaned_attempts.h"

#include <algorithm>
#include <utility>

namespace sablelink::platform {

void OrphanedAttempts::add(const AttemptPtr& attempt) {
  groups_[attempt->client_tag()].orphaned.push_back(attempt);
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

bool OrphanedAttempts::Group::is_expired(TimeUs now) const {
  const auto may_delay_others = [now](const AttemptPtr& orphan) {
    return now < orphan->request_deadline() || now < orphan->abandoned_at();
  };
  return delayed.empty() && std::none_of(orphaned.begin(), orphaned.end(), may_delay_others);
}

std::vector<OrphanedAttempts::AttemptPtr> OrphanedAttempts::expire(TimeUs now) {
  std::vector<AttemptPtr> removed;
  for (auto it = groups_.begin(); it != groups_.end();) {
    const Group& group = it->second;
    if (!group.is_expired(now)) {
      ++it;
      continue;
    }
    removed.insert(removed.end(), group.orphaned.begin(), group.orphaned.end());
    it = groups_.erase(it);
  }
  return removed;
}

}  // namespace sablelink::platform
