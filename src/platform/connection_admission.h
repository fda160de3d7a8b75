// Admission control of client connections: enforces a limit and evicts idle connections for new ones.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <vector>

#include "platform/http_connection.h"
#include "platform/http_server_context.h"

namespace sablelink::platform {

/// How a new connection is handled.
enum class AdmissionDecision {
  kServe,
  kRejectRequests,  // all regular connections are in use: requests are rejected with 503
  kCloseUnread,     // the limit of connections is reached: close without reading
};

/// Owns the list of a server's open connections. Used only on the server's strand.
class ConnectionAdmission {
 public:
  using ConnectionList = std::list<std::shared_ptr<HttpConnection>>;

  /// `context` must outlive this object.
  explicit ConnectionAdmission(HttpServerContext& context) : context_(context) {}

  /// Decides how to handle a new connection. May evict an open one. Counts evictions and rejections.
  AdmissionDecision decide();
  void add(std::shared_ptr<HttpConnection> connection) { connections_.push_back(std::move(connection)); }
  void remove(const std::shared_ptr<HttpConnection>& connection) { connections_.remove(connection); }

  /// All open connections, oldest first.
  const ConnectionList& connections() const { return connections_; }

 private:
  using Skipped = std::vector<std::shared_ptr<HttpConnection>>;

  // Closes the connections whose clients have disconnected unnoticed.
  void remove_disconnected();
  // Evicts a connection. Returns false if none can be evicted.
  bool evict_connection();
  // Returns the connection with the highest eviction rank that is not in `skipped`; of several, the one that
  // has been in its stage for the longest time. Null if none can be evicted.
  std::shared_ptr<HttpConnection> find_evictable(TimeUs now, const Skipped& skipped) const;

  HttpServerContext& context_;
  ConnectionList connections_;
};

}  // namespace sablelink::platform
