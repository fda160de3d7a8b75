// Memory of responses: what is withheld until a response is complete, and what clients have yet to read.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "workload/types.h"

namespace sablelink::dispatch {

struct ResponseBufferLimits {
  size_t response_bytes = 0;       // withheld of one response; past it, the response is streamed
  size_t total_bytes = 0;          // of all responses, what clients have yet to read included
  size_t stream_window_bytes = 0;  // of a streamed response, unread by its client; past it, reading pauses
};

/// Messages of one attempt's response that are withheld from the client, so that the request can be retried
/// if the attempt fails. Filled and emptied by ResponseBufferPool only.
struct BufferedResponse {
  std::vector<std::string> messages;
  size_t bytes = 0;
};

/// Accounts for the bytes of all responses. Not thread-safe.
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

  /// Adds bytes that were forwarded to a client. They are tracked by request and may outlive it.
  void add_unconsumed(RequestId request, size_t bytes);
  /// Removes bytes that a client has read, at most those that it had yet to read.
  void consume(RequestId request, size_t bytes);
  /// Removes all that the client of a request has yet to read.
  void forget_unconsumed(RequestId request);
  bool has_unconsumed(RequestId request) const { return unconsumed_.contains(request); }
  /// Whether the client has so much to read that reading from the engine should pause.
  bool is_window_exceeded(RequestId request) const {
    return unconsumed_bytes(request) > limits_.stream_window_bytes;
  }
  /// Whether reading may resume. Half a window lies between the two, so that not every message switches it.
  bool is_window_available(RequestId request) const {
    return unconsumed_bytes(request) <= limits_.stream_window_bytes / 2;
  }

  /// Withheld or yet to be read by clients.
  size_t total_bytes() const { return total_bytes_; }

 private:
  size_t unconsumed_bytes(RequestId request) const;

  const ResponseBufferLimits limits_;
  std::unordered_map<RequestId, size_t> unconsumed_;
  size_t total_bytes_ = 0;
};

}  // namespace sablelink::dispatch
