#include "platform/engine_client/engine_connections.h"

#include <algorithm>
#include <utility>

#include "platform/pages.h"

namespace sablelink::platform {
namespace {

http::MessageLimits response_limits() {
  http::MessageLimits limits;
  limits.max_body_bytes = kMaxPageBytes;
  return limits;
}

bool is_overdue(const EngineConnectionPtr& connection) { return connection->is_overdue; }

// Returns the connection with the earliest time among those that fulfil the condition; null: none.
template <typename Condition>
EngineConnectionPtr earliest(const std::list<EngineConnectionPtr>& connections,
                             TimeUs EngineConnection::*time, Condition condition) {
  EngineConnectionPtr found;
  for (const EngineConnectionPtr& connection : connections) {
    if (!condition(connection)) continue;
    if (!found || (*connection).*time < (*found).*time) found = connection;
  }
  return found;
}

}  // namespace

EngineConnection::EngineConnection(std::shared_ptr<rpc::ByteStream> byte_stream, uint64_t connection_number,
                                   TimeUs now)
    : stream(std::move(byte_stream)), number(connection_number), reader(response_limits()), idle_since(now) {}

size_t EngineConnections::overdue_count() const {
  return static_cast<size_t>(std::count_if(connections_.begin(), connections_.end(), is_overdue));
}

EngineConnections::Availability EngineConnections::check_availability(TimeUs now) const {
  Availability available;
  available.connection =
      earliest(connections_, &EngineConnection::idle_since, [now](const EngineConnectionPtr& connection) {
        return connection->is_idle() && connection->available_at <= now;
      });
  for (const EngineConnectionPtr& connection : connections_) {
    if (!connection->is_idle() || connection->available_at <= now) continue;
    ++available.soon_available;
    const TimeUs at = connection->available_at;
    if (available.next_available_at == 0 || at < available.next_available_at)
      available.next_available_at = at;
  }
  return available;
}

EngineConnectionPtr EngineConnections::longest_idle() const {
  return earliest(connections_, &EngineConnection::idle_since,
                  [](const EngineConnectionPtr& connection) { return connection->is_idle(); });
}

EngineConnectionPtr EngineConnections::longest_overdue() const {
  return earliest(connections_, &EngineConnection::call_deadline, is_overdue);
}

}  // namespace sablelink::platform
