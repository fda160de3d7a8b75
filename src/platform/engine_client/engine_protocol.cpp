#include "platform/engine_client/engine_protocol.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

#include "platform/pages.h"

namespace sablelink::platform {
namespace {

constexpr TimeUs kUsPerMs = 1000;
constexpr int kMaxPages = 64;

std::optional<AttemptProgress> parse_progress(const http::Response& response) {
  const std::string_view remark = http::field_value(response.fields, "x-remark");
  const std::optional<double> number = parse_non_negative(http::field_value(response.fields, "figure"));
  if (!number) return std::nullopt;
  if (remark == "done") return AttemptProgress{ProgressKind::kProgress, *number};
  if (remark == "spills") return AttemptProgress{ProgressKind::kSpill, *number};
  if (remark == "waits") return AttemptProgress{ProgressKind::kWaiting, *number};
  return std::nullopt;
}

// Returns the number in a field; empty unless it is greater than 0.
std::optional<double> parse_positive_number(const http::Response& response, std::string_view field) {
  const std::optional<double> number = parse_non_negative(http::field_value(response.fields, field));
  if (!number || *number <= 0) return std::nullopt;
  return number;
}

void parse_complete_response(const http::Response& response, PollResponse& out) {
  const long long page_count =
      http::parse_decimal(http::field_value(response.fields, "page-count"), kMaxPages);
  if (page_count < 1 || !is_valid_page(response.body)) return;
  out.status = PollResponse::Status::kComplete;
  out.page_count = static_cast<int>(page_count);
  out.first_page = response.body;
  if (const auto work_ms = parse_positive_number(response, "work-ms")) out.work_us = *work_ms * kUsPerMs;
  out.memory_used_mb = parse_positive_number(response, "peak-mb");
}

}  // namespace

http::Request make_start_request(const dispatch::AttemptSpec& spec, const std::string& class_name,
                                 TimeUs remaining_us) {
  const dispatch::Statement& statement = *spec.statement;
  const TimeUs timeout_ms = (std::max(remaining_us, kUsPerMs) + kUsPerMs - 1) / kUsPerMs;
  http::Request request;
  request.method = "POST";
  request.target = "/v2/q";
  request.fields = {
      {"X-Ticket", statement.client_tag}, {"X-Queue", class_name}, {"X-Max-Ms", std::to_string(timeout_ms)}};
  if (!statement.idempotency_key.empty()) request.fields.emplace_back("X-Nonce", statement.idempotency_key);
  if (!statement.ordering_key.empty()) request.fields.emplace_back("X-Ref", statement.ordering_key);
  if (spec.memory_grant_mb > 0) {
    const auto grant_mb = static_cast<long long>(std::ceil(spec.memory_grant_mb));
    request.fields.emplace_back("Grant-Mb", std::to_string(grant_mb));
  }
  if (spec.priority != 1) request.fields.emplace_back("Rank", std::to_string(spec.priority));
  request.body = statement.text;
  return request;
}

http::Request make_fetch_request(const std::string& client_tag, int page) {
  http::Request request;
  request.method = "GET";
  request.target = "/v2/q/" + client_tag + "/" + std::to_string(page);
  return request;
}

http::Request make_cancel_request(const std::string& client_tag) {
  http::Request request;
  request.method = "DELETE";
  request.target = "/v2/q/" + client_tag;
  return request;
}

PollResponse parse_poll_response(const http::Response& response) {
  PollResponse out;
  out.load_report = parse_load_report(http::field_value(response.fields, "x-meter"));
  const bool load_shed = http::field_value(response.fields, "x-shed") == "1";
  switch (response.status) {
    case 202:
      out.status = PollResponse::Status::kRunning;
      out.progress = parse_progress(response);
      break;
    case kStatusOk:
      parse_complete_response(response, out);
      break;
    case 503:
    case 504:  // with X-Shed, the attempt was not executed; a timeout would leave that open
      if (load_shed) out.status = PollResponse::Status::kOverloaded;
      break;
    case 500:
      out.status = PollResponse::Status::kFailed;
      break;
    default:
      break;
  }
  return out;
}

PageResponse parse_page_response(const http::Response& response, int expected_page) {
  if (response.status == 500) return {PageResponse::Status::kFailed, {}};
  if (response.status != kStatusOk) return {};
  if (http::parse_decimal(http::field_value(response.fields, "page-no"), kMaxPages) != expected_page)
    return {};
  if (!is_valid_page(response.body)) return {};
  return {PageResponse::Status::kPage, response.body};
}

CancelResponse parse_cancel_response(const http::Response& response) {
  switch (response.status) {
    case 204:
      return CancelResponse::kCancelled;
    case 500:
      return CancelResponse::kUnknownAttempt;
    default:
      return CancelResponse::kMalformed;
  }
}

}  // namespace sablelink::platform
