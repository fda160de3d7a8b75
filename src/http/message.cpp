#include "http/message.h"

#include <algorithm>

namespace sablelink::http {
namespace {

constexpr size_t kMaxDecimalDigits = 18;  // every number of this length fits into long long

std::string_view reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 411:
      return "Length Required";
    case 413:
      return "Content Too Large";
    case 414:
      return "URI Too Long";
    case 417:
      return "Expectation Failed";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Status";
  }
}

void append_fields(std::string& out, const Fields& fields) {
  for (const auto& [name, value] : fields) {
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
  }
}

}  // namespace

std::string_view field_value(const Fields& fields, std::string_view name) {
  for (const auto& [field_name, value] : fields)
    if (field_name == name) return value;
  return {};
}

size_t field_count(const Fields& fields, std::string_view name) {
  return std::count_if(fields.begin(), fields.end(), [&](const auto& field) { return field.first == name; });
}

std::string serialize_request(std::string_view method, std::string_view target, std::string_view host,
                              const Fields& fields, std::string_view body) {
  std::string out;
  out.reserve(256 + body.size());
  out += method;
  out += ' ';
  out += target;
  out += " HTTP/1.1\r\nHost: ";
  out += host;
  out += "\r\n";
  append_fields(out, fields);
  if (!body.empty() || method == "POST" || method == "PUT")
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  out += "\r\n";
  out += body;
  return out;
}

std::string serialize_response(int status, const Fields& fields, std::string_view body, bool keep_alive) {
  std::string out;
  out.reserve(160 + body.size());
  out += "HTTP/1.1 " + std::to_string(status) + " ";
  out += reason_phrase(status);
  out += "\r\n";
  append_fields(out, fields);
  if (!keep_alive) out += "Connection: close\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  out += body;
  return out;
}

long long parse_decimal(std::string_view text, long long max) {
  if (text.empty() || text.size() > kMaxDecimalDigits) return -1;
  long long value = 0;
  for (const char c : text) {
    if (c < '0' || c > '9') return -1;
    value = value * 10 + (c - '0');
  }
  return value <= max ? value : -1;
}

}  // namespace sablelink::http
