#include "workload/key_ordering.h"

#include <algorithm>

namespace sablelink {
namespace {

bool is_ordered(const Query& query) { return query.class_settings->ordered_by_key && query.request.key != 0; }

}  // namespace

void KeyOrdering::add(const Query& query) {
  if (is_ordered(query)) key_queues_[query.request.key].requests.push_back(query.request.id);
}

void KeyOrdering::remove(const Query& query, TimeUs now) {
  if (!is_ordered(query)) return;
  const auto found = key_queues_.find(query.request.key);
  if (found == key_queues_.end()) return;
  KeyQueue& key_queue = found->second;
  std::erase(key_queue.requests, query.request.id);
  if (key_queue.requests.empty() && key_queue.delayed_until <= now) key_queues_.erase(found);
}

void KeyOrdering::delay_key_until(const Query& query, TimeUs until) {
  if (!is_ordered(query)) return;
  TimeUs& delayed_until = key_queues_[query.request.key].delayed_until;
  delayed_until = std::max(delayed_until, until);
}

bool KeyOrdering::may_start(const Query& query, TimeUs now) const {
  if (!is_ordered(query)) return true;
  const auto found = key_queues_.find(query.request.key);
  if (found == key_queues_.end()) return false;
  const KeyQueue& key_queue = found->second;
  return !key_queue.requests.empty() && key_queue.requests.front() == query.request.id &&
         (query.attempts > 0 || now >= key_queue.delayed_until);
}

}  // namespace sablelink
