// Text inside JSON strings, for log lines and rows. JSON that is read or nested is a library's matter.
#pragma once

#include <cstdio>
#include <string>
#include <string_view>

namespace sablelink {

inline std::string json_escaped(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char code[8];
      std::snprintf(code, sizeof(code), "\\u%04x", static_cast<unsigned>(static_cast<unsigned char>(c)));
      out += code;
    } else {
      out += c;
    }
  }
  return out;
}

}  // namespace sablelink
