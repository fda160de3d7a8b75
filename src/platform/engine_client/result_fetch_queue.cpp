#include "platform/engine_client/result_fetch_queue.h"

#include <algorithm>

namespace sablelink::platform {

bool ResultFetchQueue::reserve_or_wait(const AttemptPtr& attempt) {
  if (!waiting_.empty() || !has_memory()) {
    waiting_.push_back(attempt);
    return false;
  }
  attempt->reserve_result();
  return true;
}

std::vector<ResultFetchQueue::AttemptPtr> ResultFetchQueue::release() {
  std::vector<AttemptPtr> released;
  while (!waiting_.empty() && has_memory()) {
    released.push_back(waiting_.front());
    waiting_.pop_front();
    released.back()->reserve_result();
  }
  return released;
}

void ResultFetchQueue::remove(const AttemptPtr& attempt) { std::erase(waiting_, attempt); }

bool ResultFetchQueue::contains(const AttemptPtr& attempt) const {
  return std::find(waiting_.begin(), waiting_.end(), attempt) != waiting_.end();
}

}  // namespace sablelink::platform
