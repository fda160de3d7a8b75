// Operations on ASCII text that don't depend on the locale.
#pragma once

#include <string>
#include <string_view>

namespace sablelink {

/// Returns a copy with the letters A to Z in lower case. Other bytes, including those of UTF-8 sequences, are
/// unchanged.
inline std::string ascii_to_lower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return lower;
}

}  // namespace sablelink
