// Validation of client requests: HTTP requests become typed values or typed errors. Pure, no I/O.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "http/message.h"
#include "platform/http_server_options.h"
#include "workload/types.h"

namespace sablelink::platform {

/// A valid request of a client. Its statement stays in the body of the HTTP request.
struct ClientRequest {
  std::string id;  // the client's own, 16 hexadecimal digits
  int class_index = 0;
  int tenant = 0;
  TimeUs timeout_us = 0;  // how long the client waits, from the arrival of its last byte
  bool is_retry = false;
  std::optional<double> estimated_cost_us;  // the client's estimate of its execution time
  double estimated_memory_mb = 0;           // ... and of its memory; 0: none given
  std::string idempotency_key;              // empty: none given
  std::string ordering_key;                 // empty: none given
};

/// Why a request is invalid, as the error response says it.
struct ClientRequestError {
  int status = 0;
  const char* message = "";
};

/// Validates a request by the platform's protocol.
std::variant<ClientRequest, ClientRequestError> parse_client_request(const http::Request& request,
                                                                     const HttpServerOptions& options);

}  // namespace sablelink::platform
