// Options of the HTTP server for the platform's clients.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "workload/types.h"

namespace sablelink::platform {

struct HttpServerOptions {
  std::vector<std::string> class_names;   // names of workload classes, by class index
  std::vector<std::string> tenant_names;  // names of tenants, by tenant index
  std::vector<TimeUs> max_timeout_us;     // by class index; a request may exceed it by 1 s
  size_t max_connections = 100;           // open connections; on the last tenth, requests are only rejected
  size_t max_statement_bytes = 64 << 10;  // longer statements are rejected with 413
};

}  // namespace sablelink::platform
