#include "platform/engine_client/call_queue.h"

#include <algorithm>
#include <utility>

namespace sablelink::platform {

void CallQueue::push_back(EngineCall call) { of_type(call.type).push_back(std::move(call)); }

void CallQueue::push_front(EngineCall call) { of_type(call.type).push_front(std::move(call)); }

EngineCall CallQueue::pop() {
  const auto calls =
      std::find_if(calls_.begin(), calls_.end(), [](const auto& of_type) { return !of_type.empty(); });
  EngineCall call = std::move(calls->front());
  calls->pop_front();
  return call;
}

std::deque<EngineCall> CallQueue::take_all(CallType type) { return std::exchange(of_type(type), {}); }

void CallQueue::remove_attempt(const std::shared_ptr<EngineAttempt>& attempt) {
  for (std::deque<EngineCall>& calls : calls_) {
    std::erase_if(calls, [&](const EngineCall& call) {
      return call.attempt == attempt && call.type != CallType::kCancel;
    });
  }
}

size_t CallQueue::size() const {
  size_t total = 0;
  for (const std::deque<EngineCall>& calls : calls_) total += calls.size();
  return total;
}

}  // namespace sablelink::platform
