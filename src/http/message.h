// HTTP/1.1 messages as values (RFC 9110, RFC 9112), and their bytes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sablelink::http {

/// Names and values of fields in their order. Names of parsed fields are in lower case.
using Fields = std::vector<std::pair<std::string, std::string>>;

/// The value of the first field of that name, which is given in lower case. Empty where there is none.
std::string_view find(const Fields& fields, std::string_view name);
/// How many fields have that name, which is given in lower case.
size_t count(const Fields& fields, std::string_view name);

struct Request {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
  bool keep_alive = true;  // the client accepts another response on the connection
};

struct Response {
  int status = 0;
  Fields fields;
  std::string body;
  bool keep_alive = true;  // the server accepts another request on the connection
};

/// The bytes of a request. Adds Host, and Content-Length where the method or the body calls for it. Names and
/// values of fields must not contain line ends.
std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          const Fields& fields, std::string_view body = {});
/// The bytes of a response. Adds Content-Length, and "Connection: close" unless `keep_alive`. Names and
/// values of fields must not contain line ends.
std::string write_response(int status, const Fields& fields, std::string_view body, bool keep_alive);

/// A number of decimal digits alone that is at most `max`; -1 for anything else.
long long parse_decimal(std::string_view text, long long max);

}  // namespace sablelink::http
