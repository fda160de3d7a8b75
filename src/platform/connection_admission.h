// Admits client connections up to a limit and evicts idle ones in favour of new ones.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <vector>

#include "platform/http_connection.h"
#include "platform/http_server_context.h"

namespace sablelink::platform {

enum class AdmissionDecision {
  kServe,
  kRejectRequests,  // all regular connections are in use: its requests are answered with 503
  kCloseUnread,     // the limit itself is reached
};

/// Owns the list of open connections of one server. Used on the server's strand.
class ConnectionAdmission {
 public:
  using ConnectionList = std::list<std::shared_ptr<HttpConnection>>;

  /// `context` must outlive this object.
  explicit ConnectionAdmission(HttpServerContext& context) : context_(context) {}

  /// Decides on one new connection. May evict an open one; counts both.
  AdmissionDecision decide();
  void add(std::shared_ptr<HttpConnection> connection) { connections_.push_back(std::move(connection)); }
  void remove(const std::shared_ptr<HttpConnection>& connection) { connections_.remove(connection); }

  /// Oldest first.
  const ConnectionList& connections() const { return connections_; }

 private:
  using Skipped = std::vector<std::shared_ptr<HttpConnection>>;

  // False where every connection is in use.
  bool evict_one();
  // The connection of the highest rank that has not been skipped, of equal ones the longest in its stage;
  // null where none can be evicted.
  std::shared_ptr<HttpConnection> find_evictable(TimeUs now, const Skipped& skipped) const;

  HttpServerContext& context_;
  ConnectionList connections_;
};

}  // namespace sablelink::platform
