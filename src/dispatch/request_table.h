// Requests that the dispatcher tracks, with their attempts in flight.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "dispatch/attempt.h"
#include "dispatch/response_buffer.h"
#include "dispatch/response_sink.h"
#include "workload/types.h"

namespace sablelink::dispatch {

struct AttemptInFlight {
  int number = 0;
  EngineId engine = 0;
  TimeUs sent_at = 0;
  TimeUs deadline = 0;        // when the attempt times out, unless its response is streamed
  bool is_streaming = false;  // part of its response has been forwarded to the client
  bool is_paused = false;     // the transport waits for resume()
  BufferedResponse buffered;  // empty once the response is streamed
};

struct TrackedRequest {
  std::shared_ptr<const Statement> statement;
  std::shared_ptr<ResponseSink> sink;  // null once the request is completed or its client has disconnected
  TimeUs deadline = 0;                 // the client's deadline
  bool is_deadline_scheduled = false;  // its timeout is in the dispatcher's queue
  int class_index = 0;
  int priority = 1;
  double memory_grant_mb = 0;  // 0: the engine decides
  int attempts_sent = 0;
  std::vector<AttemptInFlight> attempts;  // in flight
  EngineError last_error;                 // of the most recent failed attempt

  /// Whether the client still waits for its final response.
  bool is_open() const { return sink != nullptr; }
  bool is_done() const { return !is_open() && attempts.empty(); }
};

/// An attempt in flight and its request; both null if the attempt is unknown.
struct AttemptEntry {
  TrackedRequest* request = nullptr;
  AttemptInFlight* attempt = nullptr;
  explicit operator bool() const { return attempt != nullptr; }
};

/// Owns the tracked requests. A pointer to a request stays valid until erase(); a pointer to an attempt stays
/// valid until an attempt of the same request is added or removed. Not thread-safe.
class RequestTable {
 public:
  /// Returns an id that no tracked request has and for which the predicate is false.
  RequestId next_id(const std::function<bool(RequestId)>& is_reserved);
  /// Adds an open request.
  TrackedRequest& add(RequestId id, std::shared_ptr<ResponseSink> sink);
  TrackedRequest* find(RequestId id);
  AttemptEntry find(AttemptId id);
  /// Closes an open request: removes its sink and returns it.
  std::shared_ptr<ResponseSink> close(TrackedRequest& request);
  /// Removes a request that is done.
  void erase(RequestId id) { requests_.erase(id); }

  size_t size() const { return requests_.size(); }
  size_t open_count() const { return open_count_; }

 private:
  std::unordered_map<RequestId, TrackedRequest> requests_;
  RequestId last_id_ = 0;
  size_t open_count_ = 0;
};

}  // namespace sablelink::dispatch
