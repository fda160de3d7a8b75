// State shared by the connections of an HTTP server.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>

#include "base/clock.h"
#include "dispatch/request_dispatcher.h"
#include "platform/http_server_options.h"
#include "platform/memory_budget.h"

namespace sablelink::platform {

/// Totals since the server was created.
struct HttpServerCounters {
  uint64_t accepted_connections = 0;
  uint64_t requests = 0;
  uint64_t responses = 0;
  uint64_t malformed_requests = 0;    // not HTTP/1.1
  uint64_t invalid_requests = 0;      // HTTP, but not valid in the platform's protocol
  uint64_t request_timeouts = 0;      // connections without a complete request in time
  uint64_t evicted_connections = 0;   // closed in favour of a new connection
  uint64_t rejected_for_memory = 0;   // requests rejected with 503 after waiting for memory
  uint64_t rejected_at_capacity = 0;  // requests rejected with 503 and connections closed unread
};

/// Owned by HttpServer and used only on its strand.
struct HttpServerContext {
  const HttpServerOptions options;
  dispatch::RequestDispatcher& dispatcher;
  const boost::asio::any_io_executor executor;
  Clock& clock;
  const std::shared_ptr<MemoryBudget> memory;
  HttpServerCounters counters{};
  std::unordered_set<std::string> open_request_ids{};  // chosen by clients; of requests in progress
  bool is_draining = false;                            // connections are closed after their responses
  bool closes_idle_connections = false;                // idle connections are closed without a timeout
};

}  // namespace sablelink::platform
