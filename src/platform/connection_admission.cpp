#include "platform/connection_admission.h"

#include <algorithm>

namespace sablelink::platform {
namespace {

constexpr size_t kReservedDivisor = 10;       // on the last tenth of connections, requests are rejected
constexpr size_t kMaxSkippedConnections = 8;  // checking each one costs a system call

}  // namespace

AdmissionDecision ConnectionAdmission::decide() {
  const size_t limit = context_.options.max_connections;
  const size_t regular_limit = limit - limit / kReservedDivisor;
  if (connections_.size() >= regular_limit) remove_disconnected();
  const bool has_capacity = connections_.size() < regular_limit || evict_connection();
  if (connections_.size() >= limit) {
    ++context_.counters.rejected_at_capacity;
    return AdmissionDecision::kCloseUnread;
  }
  return has_capacity ? AdmissionDecision::kServe : AdmissionDecision::kRejectRequests;
}

void ConnectionAdmission::remove_disconnected() {
  // A copy, since closing a connection may change the list.
  const ConnectionList connections = connections_;
  for (const auto& connection : connections) connection->close_if_disconnected();
  connections_.remove_if([](const auto& connection) { return connection->is_closed(); });
}

bool ConnectionAdmission::evict_connection() {
  const TimeUs now = context_.clock.now();
  Skipped skipped;  // connections with unread bytes, which may be a request
  while (skipped.size() < kMaxSkippedConnections) {
    const std::shared_ptr<HttpConnection> candidate = find_evictable(now, skipped);
    if (!candidate) return false;
    if (candidate->has_unread_bytes()) {
      skipped.push_back(candidate);
      continue;
    }
    ++context_.counters.evicted_connections;
    candidate->abort();
    connections_.remove(candidate);
    return true;
  }
  return false;
}

std::shared_ptr<HttpConnection> ConnectionAdmission::find_evictable(TimeUs now,
                                                                    const Skipped& skipped) const {
  std::shared_ptr<HttpConnection> best;
  EvictionRank best_rank = EvictionRank::kNotEvictable;
  for (const auto& connection : connections_) {
    const EvictionRank rank = connection->eviction_rank(now);
    if (rank == EvictionRank::kNotEvictable || rank < best_rank) continue;
    if (rank == best_rank && connection->stage_started_at() >= best->stage_started_at()) continue;
    if (std::find(skipped.begin(), skipped.end(), connection) != skipped.end()) continue;
    best_rank = rank;
    best = connection;
  }
  return best;
}

}  // namespace sablelink::platform
