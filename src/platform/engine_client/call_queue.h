// Calls to one engine that wait for a connection, by priority.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <memory>

#include "platform/engine_client/engine_attempt.h"

namespace sablelink::platform {

/// What a call asks of an engine, from the highest priority to the lowest.
enum class CallType { kCancel, kStart, kFetchPage, kPoll };
constexpr size_t kCallTypes = 4;

/// One HTTP request to an engine on behalf of an attempt.
struct EngineCall {
  CallType type = CallType::kPoll;
  std::shared_ptr<EngineAttempt> attempt;
  int page = 0;      // of kFetchPage
  int failures = 0;  // of kCancel: how often this cancellation has failed
};

/// Queue of the calls to one engine: a call of a higher priority goes first, calls of equal priority in the
/// order in which they came.
class CallQueue {
 public:
  void push_back(EngineCall call);
  /// Puts a call that is repeated before the others of its type.
  void push_front(EngineCall call);
  /// The next call. Must not be empty.
  EngineCall pop();
  /// Takes all calls of a type.
  std::deque<EngineCall> take_all(CallType type);
  /// Removes the attempt's calls, except for its cancellation.
  void remove_attempt(const std::shared_ptr<EngineAttempt>& attempt);

  bool has(CallType type) const { return !calls_[static_cast<size_t>(type)].empty(); }
  size_t size() const;
  bool empty() const { return size() == 0; }

 private:
  std::deque<EngineCall>& of_type(CallType type) { return calls_[static_cast<size_t>(type)]; }

  std::array<std::deque<EngineCall>, kCallTypes> calls_;  // by type
};

}  // namespace sablelink::platform
