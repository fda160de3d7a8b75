// Settings of the HTTP server that faces the platform's clients.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "workload/types.h"

namespace sablelink::platform {

struct HttpServerOptions {
  std::vector<std::string> classes;       // names of service classes, by index
  std::vector<std::string> tenants;       // names of tenants, by index
  std::vector<TimeUs> max_timeout_us;     // by class: a request that asks for more is invalid
  size_t max_connections = 100;           // open at a time; the last tenth is reserved for rejecting requests
  size_t max_statement_bytes = 64 << 10;  // a longer statement is answered with 413
};

}  // namespace sablelink::platform
