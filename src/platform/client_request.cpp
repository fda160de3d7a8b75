#include "platform/client_request.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "platform/text_values.h"

namespace sablelink::platform {
namespace {

constexpr TimeUs kMinTimeoutUs = 1'000;
constexpr TimeUs kTimeoutSlackUs = 1'000'000;  // a request's timeout may exceed its class's maximum by this
constexpr double kMaxNumber = 1e9;             // milliseconds or megabytes, depending on the field
constexpr size_t kMaxKeyBytes = 256;

using OptionalError = std::optional<ClientRequestError>;

OptionalError error(int status, const char* message) { return ClientRequestError{status, message}; }

bool is_request_id(std::string_view id) {
  return id.size() == 16 && std::all_of(id.begin(), id.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

// Whether a key can be sent to engines in a header field. The key is empty if the client sent none.
bool is_valid_key(std::string_view key) {
  return key.size() <= kMaxKeyBytes &&
         std::all_of(key.begin(), key.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

OptionalError parse_method_and_path(const http::Request& request, const HttpServerOptions& options,
                                    ClientRequest& parsed) {
  static constexpr std::string_view kPath = "/v1/";
  if (!request.target.starts_with(kPath)) return error(404, "no such path");
  const auto cls =
      std::find(options.class_names.begin(), options.class_names.end(), request.target.substr(kPath.size()));
  if (cls == options.class_names.end()) return error(404, "no such class");
  if (request.method != "POST") return error(405, "statements must be sent with POST");
  parsed.class_index = static_cast<int>(cls - options.class_names.begin());
  return std::nullopt;
}

OptionalError check_fields_are_single(const http::Request& request, const HttpServerOptions&,
                                      ClientRequest&) {
  for (const char* name : {"x-request-id", "x-timeout-ms", "x-retry", "x-tenant", "x-object", "x-cost-ms",
                           "x-est-mb", "idempotency-key"})
    if (http::field_count(request.fields, name) > 1) return error(400, "duplicate header field");
  return std::nullopt;
}

OptionalError parse_request_id(const http::Request& request, const HttpServerOptions&,
                               ClientRequest& parsed) {
  parsed.id = http::field_value(request.fields, "x-request-id");
  if (!is_request_id(parsed.id)) return error(400, "X-Request-Id is not 16 hex digits");
  return std::nullopt;
}

OptionalError parse_timeout(const http::Request& request, const HttpServerOptions& options,
                            ClientRequest& parsed) {
  const TimeUs max_timeout_us = options.max_timeout_us[parsed.class_index] + kTimeoutSlackUs;
  const long long timeout_ms =
      http::parse_decimal(http::field_value(request.fields, "x-timeout-ms"), max_timeout_us / 1000);
  if (timeout_ms < kMinTimeoutUs / 1000)
    return error(400, "X-Timeout-Ms is not a time that a client may wait");
  parsed.timeout_us = timeout_ms * 1000;
  return std::nullopt;
}

OptionalError parse_retry_flag(const http::Request& request, const HttpServerOptions&,
                               ClientRequest& parsed) {
  if (http::field_count(request.fields, "x-retry") == 0) return std::nullopt;
  if (http::field_value(request.fields, "x-retry") != "1") return error(400, "X-Retry is not 1");
  parsed.is_retry = true;
  return std::nullopt;
}

// The protocol requires a number in each field whose name ends in a unit, even if the field is not used.
OptionalError parse_numbers(const http::Request& request, const HttpServerOptions&, ClientRequest& parsed) {
  for (const auto& [name, value] : request.fields) {
    if (!name.ends_with("-ms") && !name.ends_with("-mb")) continue;
    const std::optional<double> number = parse_non_negative(value);
    if (!number || *number > kMaxNumber)
      return error(400, "a header field in milliseconds or megabytes is not a number");
    if (name == "x-cost-ms") parsed.estimated_cost_us = 1000 * *number;
    if (name == "x-est-mb") parsed.estimated_memory_mb = *number;
  }
  return std::nullopt;
}

OptionalError parse_tenant(const http::Request& request, const HttpServerOptions& options,
                           ClientRequest& parsed) {
  const std::string_view name = http::field_value(request.fields, "x-tenant");
  if (name.empty()) return std::nullopt;
  const auto tenant = std::find(options.tenant_names.begin(), options.tenant_names.end(), name);
  if (tenant == options.tenant_names.end()) return error(400, "no such tenant");
  parsed.tenant = static_cast<int>(tenant - options.tenant_names.begin());
  return std::nullopt;
}

OptionalError parse_keys(const http::Request& request, const HttpServerOptions&, ClientRequest& parsed) {
  parsed.idempotency_key = http::field_value(request.fields, "idempotency-key");
  parsed.ordering_key = http::field_value(request.fields, "x-object");
  if (!is_valid_key(parsed.idempotency_key) || !is_valid_key(parsed.ordering_key))
    return error(400, "a key exceeds 256 bytes or contains invalid characters");
  return std::nullopt;
}

OptionalError check_statement(const http::Request& request, const HttpServerOptions&, ClientRequest&) {
  if (request.body.empty()) return error(400, "missing statement");
  if (!is_valid_text(request.body)) return error(400, "the statement is not valid text");
  return std::nullopt;
}

}  // namespace

std::variant<ClientRequest, ClientRequestError> parse_client_request(const http::Request& request,
                                                                     const HttpServerOptions& options) {
  using Step = OptionalError (*)(const http::Request&, const HttpServerOptions&, ClientRequest&);
  // The order determines which of several errors is returned.
  static constexpr Step kSteps[] = {
      parse_method_and_path, check_fields_are_single, parse_request_id, parse_timeout,
      parse_retry_flag,      parse_numbers,           parse_tenant,     parse_keys,
      check_statement};
  ClientRequest parsed;
  for (const Step step : kSteps)
    if (const OptionalError failure = step(request, options, parsed)) return *failure;
  return parsed;
}

}  // namespace sablelink::platform
