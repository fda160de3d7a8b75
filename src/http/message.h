// HTTP/1.1 messages (RFC 9110, RFC 9112) and their serialization.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sablelink::http {

/// Names and values of header fields, in order. The readers convert names to lower case.
using Fields = std::vector<std::pair<std::string, std::string>>;

/// The value of the first field with the name, which must be in lower case. Empty if there is none.
std::string_view field_value(const Fields& fields, std::string_view name);
/// The number of fields with the name, which must be in lower case.
size_t field_count(const Fields& fields, std::string_view name);

struct Request {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
  bool keep_alive = true;  // whether the client keeps the connection open after the response
};

struct Response {
  int status = 0;
  Fields fields;
  std::string body;
  bool keep_alive = true;  // whether the server accepts another request on the connection
  /// Whether the message tells where its content ends. If not, it ends with the connection, and content that
  /// is cut off can't be told from the whole.
  bool has_known_length = true;
};

/// Serializes a request. Adds Host, and Content-Length if the method or the body requires it. Names and
/// values of fields must not contain line breaks.
std::string serialize_request(std::string_view method, std::string_view target, std::string_view host,
                              const Fields& fields, std::string_view body = {});
/// Serializes a response. Adds Content-Length, and "Connection: close" unless `keep_alive` is set. Names and
/// values of fields must not contain line breaks.
std::string serialize_response(int status, const Fields& fields, std::string_view body, bool keep_alive);

/// Parses a number of at most `max` that consists of decimal digits only. Returns -1 for any other text.
long long parse_decimal(std::string_view text, long long max);

}  // namespace sablelink::http
