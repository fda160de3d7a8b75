// Memory of responses: bytes buffered until a response is complete, and forwarded bytes not yet read.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "workload/types.h"

namespace sablelink::dispatch {

struct ResponseBufferLimits {
  size_t response_bytes = 0;       // buffered per response; a response that exceeds it is streamed
  size_t total_bytes = 0;          // of all responses, including forwarded bytes not yet read
  size_t stream_window_bytes = 0;  // unread bytes of a streamed response that pause its reading
};

/// Messages of one attempt's response that are not yet forwarded to the client, so that the request can be
/// retried if the attempt fails. Only ResponseBufferPool modifies it.
struct BufferedResponse {
  std::vector<std::string> messages;
  size_t bytes = 0;
};

/// Counts the bytes of all responses. Not thread-safe.
class ResponseBufferPool {
 public:
  explicit ResponseBufferPool(const ResponseBufferLimits& limits) : limits_(limits) {}

  void append(BufferedResponse& response, std::string message);
  /// Empties a response and returns its messages.
  std::vector<std::string> take(BufferedResponse& response);
  void discard(BufferedResponse& response);
  bool exceeds_response_limit(const BufferedResponse& response) const {
    return response.bytes > limits_.response_bytes;
  }
  bool exceeds_total_limit() const { return total_bytes_ > limits_.total_bytes; }

  /// Adds bytes that were forwarded to a client. They are counted by request id, also after its completion.
  void add_unconsumed(RequestId request, size_t bytes);
  /// Removes bytes that a client has read, at most as many as are unconsumed.
  void consume(RequestId request, size_t bytes);
  /// Removes all unconsumed bytes of a request.
  void discard_unconsumed(RequestId request);
  bool has_unconsumed(RequestId request) const { return unconsumed_.contains(request); }
  /// Whether so many bytes are unconsumed that reading from the engine should pause.
  bool is_window_exceeded(RequestId request) const {
    return unconsumed_bytes(request) > limits_.stream_window_bytes;
  }
  /// Whether reading may resume: at half of the window, so that it isn't paused and resumed at every message.
  bool is_window_available(RequestId request) const {
    return unconsumed_bytes(request) <= limits_.stream_window_bytes / 2;
  }

  /// Bytes that are buffered, or forwarded but not yet read by clients.
  size_t total_bytes() const { return total_bytes_; }

 private:
  size_t unconsumed_bytes(RequestId request) const;

  const ResponseBufferLimits limits_;
  std::unordered_map<RequestId, size_t> unconsumed_;
  size_t total_bytes_ = 0;
};

}  // namespace sablelink::dispatch
