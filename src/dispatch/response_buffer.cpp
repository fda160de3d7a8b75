#include "dispatch/response_buffer.h"

#include <algorithm>
#include <utility>

namespace sablelink::dispatch {

void ResponseBufferPool::append(BufferedResponse& response, std::string message) {
  response.bytes += message.size();
  total_bytes_ += message.size();
  response.messages.push_back(std::move(message));
}

std::vector<std::string> ResponseBufferPool::take(BufferedResponse& response) {
  std::vector<std::string> messages = std::move(response.messages);
  discard(response);
  return messages;
}

void ResponseBufferPool::discard(BufferedResponse& response) {
  total_bytes_ -= response.bytes;
  response.bytes = 0;
  response.messages.clear();
}

void ResponseBufferPool::add_unconsumed(RequestId request, size_t bytes) {
  total_bytes_ += bytes;
  unconsumed_[request] += bytes;
}

void ResponseBufferPool::consume(RequestId request, size_t bytes) {
  const auto it = unconsumed_.find(request);
  if (it == unconsumed_.end()) return;
  const size_t consumed = std::min(bytes, it->second);
  total_bytes_ -= consumed;
  it->second -= consumed;
  if (it->second == 0) unconsumed_.erase(it);
}

void ResponseBufferPool::discard_unconsumed(RequestId request) {
  const auto it = unconsumed_.find(request);
  if (it == unconsumed_.end()) return;
  total_bytes_ -= it->second;
  unconsumed_.erase(it);
}

size_t ResponseBufferPool::unconsumed_bytes(RequestId request) const {
  const auto it = unconsumed_.find(request);
  return it == unconsumed_.end() ? 0 : it->second;
}

}  // namespace sablelink::dispatch
