#include "platform/engine_client/call_queue.h"

#include <algorithm>
#include <utility>

namespace sablelink::platform {

void CallQueue::push_back(EngineCall call) { calls_of_type(call.type).push_back(std::move(call)); }

void CallQueue::push_front(EngineCall call) { calls_of_type(call.type).push_front(std::move(call)); }

EngineCall CallQueue::pop() {
  const auto queue = std::find_if(calls_by_type_.begin(), calls_by_type_.end(),
                                  [](const auto& calls) { return !calls.empty(); });
  EngineCall call = std::move(queue->front());
  queue->pop_front();
  return call;
}

std::deque<EngineCall> CallQueue::pop_all(CallType type) { return std::exchange(calls_of_type(type), {}); }

void CallQueue::remove_attempt(const std::shared_ptr<EngineAttempt>& attempt) {
  for (std::deque<EngineCall>& calls : calls_by_type_) {
    std::erase_if(calls, [&](const EngineCall& call) {
      return call.attempt == attempt && call.type != CallType::kCancel;
    });
  }
}

void CallQueue::remove_cancellation(const std::shared_ptr<EngineAttempt>& attempt) {
  std::erase_if(calls_of_type(CallType::kCancel),
                [&](const EngineCall& call) { return call.attempt == attempt; });
}

size_t CallQueue::size() const {
  size_t total = 0;
  for (const std::deque<EngineCall>& calls : calls_by_type_) total += calls.size();
  return total;
}

}  // namespace sablelink::platform
