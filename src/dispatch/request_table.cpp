#include "dispatch/request_table.h"

#include <algorithm>
#include <utility>

namespace sablelink::dispatch {

// Ids wrap around after 2^32 requests; 0 means none and is skipped.
RequestId RequestTable::next_id(const std::function<bool(RequestId)>& is_reserved) {
  do {
    ++last_id_;
  } while (last_id_ == 0 || requests_.contains(last_id_) || is_reserved(last_id_));
  return last_id_;
}

TrackedRequest& RequestTable::add(RequestId id, std::shared_ptr<ResponseSink> sink) {
  TrackedRequest& request = requests_[id];
  request.sink = std::move(sink);
  ++open_count_;
  return request;
}

TrackedRequest* RequestTable::find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

AttemptEntry RequestTable::find(AttemptId id) {
  TrackedRequest* const request = find(id.request);
  if (request == nullptr) return {};
  const auto it = std::find_if(request->attempts.begin(), request->attempts.end(),
                               [&](const AttemptInFlight& attempt) { return attempt.number == id.number; });
  if (it == request->attempts.end()) return {};
  return {request, &*it};
}

std::shared_ptr<ResponseSink> RequestTable::close(TrackedRequest& request) {
  --open_count_;
  return std::exchange(request.sink, nullptr);
}

}  // namespace sablelink::dispatch
