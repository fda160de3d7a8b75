// Escaping of JSON strings for command output and log records. JSON is parsed by a library.
#pragma once

#include <cstdio>
#include <string>
#include <string_view>

namespace sablelink {

/// Returns the text with quotation marks, backslashes and control characters escaped, without enclosing
/// quotation marks. Bytes from 0x80 on are unchanged, so valid UTF-8 stays valid.
inline std::string json_escaped(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    const bool is_control = static_cast<unsigned char>(c) < ' ';
    if (c == '"' || c == '\\') {
      escaped += '\\';
      escaped += c;
    } else if (is_control) {
      char code[sizeof("\\u0000")];
      std::snprintf(code, sizeof(code), "\\u%04x", static_cast<unsigned>(static_cast<unsigned char>(c)));
      escaped += code;
    } else {
      escaped += c;
    }
  }
  return escaped;
}

}  // namespace sablelink
