// What the connections of one HTTP server share.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <string>
#include <unordered_set>

#include "base/clock.h"
#include "dispatch/request_dispatcher.h"
#include "platform/http_server_options.h"

namespace sablelink::platform {

/// Totals since the start.
struct HttpServerCounters {
  uint64_t accepted_connections = 0;
  uint64_t requests = 0;
  uint64_t responses = 0;
  uint64_t malformed_requests = 0;    // not HTTP/1.1
  uint64_t invalid_requests = 0;      // HTTP, but not a request that clients may make
  uint64_t request_timeouts = 0;      // connections on which no complete request arrived in time
  uint64_t evicted_connections = 0;   // closed in favour of a new connection
  uint64_t rejected_at_capacity = 0;  // connections answered with 503 or closed unread, as all were in use
};

/// State shared by the connections of one server. Owned by HttpServer, used on its strand.
struct HttpServerContext {
  const HttpServerOptions options;
  dispatch::RequestDispatcher& dispatcher;
  const boost::asio::any_io_executor executor;
  Clock& clock;
  HttpServerCounters counters{};
  std::unordered_set<std::string> open_request_ids{};  // of requests that have not been answered
  bool is_draining = false;                            // connections close after their responses
  bool closes_idle_connections = false;                // idle connections close without waiting for a timeout
};

}  // namespace sablelink::platform
