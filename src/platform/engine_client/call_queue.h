// Priority queue of the calls to one engine that wait for a connection.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <memory>

#include "platform/engine_client/engine_attempt.h"

namespace sablelink::platform {

/// Types of calls to an engine, from the highest priority to the lowest.
enum class CallType { kCancel, kStart, kFetchPage, kPoll };
constexpr size_t kCallTypes = 4;

/// An HTTP request to an engine on behalf of an attempt.
struct EngineCall {
  CallType type = CallType::kPoll;
  std::shared_ptr<EngineAttempt> attempt;
  int page = 0;                    // with kFetchPage: index of the page
  bool start_was_settled = false;  // the attempt's is_start_settled() when this call was sent
};

/// Queue of the calls to one engine, ordered by priority and then by insertion.
class CallQueue {
 public:
  void push_back(EngineCall call);
  /// Inserts a repeated call before the other calls of its type.
  void push_front(EngineCall call);
  /// Removes and returns the next call. The queue must not be empty.
  EngineCall pop();
  /// Removes and returns all calls of a type.
  std::deque<EngineCall> pop_all(CallType type);
  /// Removes all calls of the attempt except its cancellation.
  void remove_attempt(const std::shared_ptr<EngineAttempt>& attempt);
  /// Removes the attempt's cancellation.
  void remove_cancellation(const std::shared_ptr<EngineAttempt>& attempt);

  bool has(CallType type) const { return !calls_by_type_[static_cast<size_t>(type)].empty(); }
  size_t size() const;
  bool empty() const { return size() == 0; }

 private:
  std::deque<EngineCall>& calls_of_type(CallType type) { return calls_by_type_[static_cast<size_t>(type)]; }

  std::array<std::deque<EngineCall>, kCallTypes> calls_by_type_;
};

}  // namespace sablelink::platform
