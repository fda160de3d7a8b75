// Queue of the results whose further pages are fetched once there is memory for them.
#pragma once

#include <deque>
#include <memory>
#include <utility>
#include <vector>

#include "platform/engine_client/engine_attempt.h"
#include "platform/memory_budget.h"

namespace sablelink::platform {

/// Admits results to memory in the order of their arrival. The memory of a whole result is reserved before
/// its second page is fetched, so that a result that is being fetched never waits for another one. Pure.
class ResultFetchQueue {
 public:
  using AttemptPtr = std::shared_ptr<EngineAttempt>;

  /// `memory` counts the results of all attempts; null: unlimited.
  explicit ResultFetchQueue(std::shared_ptr<const MemoryBudget> memory) : memory_(std::move(memory)) {}

  /// Reserves the memory of the attempt's result and returns true, or queues the attempt and returns false.
  bool reserve_or_wait(const AttemptPtr& attempt);
  /// Reserves memory for the attempts that have waited for the longest time, as far as it suffices. Removes
  /// and returns them.
  std::vector<AttemptPtr> release();
  void remove(const AttemptPtr& attempt);
  bool contains(const AttemptPtr& attempt) const;

 private:
  bool has_memory() const { return !memory_ || !memory_->is_exhausted(); }

  const std::shared_ptr<const MemoryBudget> memory_;
  std::deque<AttemptPtr> waiting_;
};

}  // namespace sablelink::platform
