// Parsing and validation of client requests. Pure: no I/O.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "http/message.h"
#include "platform/http_server_options.h"
#include "workload/types.h"

namespace sablelink::platform {

/// A valid client request, without its statement, which remains in the body of the HTTP request.
struct ClientRequest {
  std::string id;  // chosen by the client; 16 hexadecimal digits
  int class_index = 0;
  int tenant = 0;
  TimeUs timeout_us = 0;  // from the arrival of the request's last byte
  bool is_retry = false;
  std::optional<double> estimated_cost_us;  // execution time, as estimated by the client
  double estimated_memory_mb = 0;           // as estimated by the client; 0: no estimate
  std::string idempotency_key;              // empty: no key
  std::string ordering_key;                 // empty: no key
};

/// Status and body of the response to an invalid request.
struct ClientRequestError {
  int status = 0;
  const char* message = "";
};

/// Parses and validates a request of the platform's protocol.
std::variant<ClientRequest, ClientRequestError> parse_client_request(const http::Request& request,
                                                                     const HttpServerOptions& options);

}  // namespace sablelink::platform
