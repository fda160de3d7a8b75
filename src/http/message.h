// HTTP/1.1 messages as values. Names of fields are in lower case.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sablelink::http {

using Fields = std::vector<std::pair<std::string, std::string>>;

// The value of the first field of a name, which is in lower case; an empty view where there is none.
std::string_view find(const Fields& fields, std::string_view name);
size_t count(const Fields& fields, std::string_view name);

struct Request {
  std::string method, target;
  Fields fields;
  std::string body;
  bool keep_alive = true;
};

struct Response {
  int status = 0;
  Fields fields;
  std::string body;
  bool keep_alive = true;
};

// The bytes of a message. Content-Length is added where a body may stand; names and values must be free of
// line ends.
std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          const Fields& fields, std::string_view body = {});
std::string write_response(int status, const Fields& fields, std::string_view body, bool keep_alive);

// A number of decimal digits alone, at most `most`; -1 for anything else.
long long parse_decimal(std::string_view text, long long most);

}  // namespace sablelink::http
