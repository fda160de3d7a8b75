// Small things done with texts in more than one place.
#pragma once

#include <string>
#include <string_view>

namespace sablelink {

// ASCII alone: other bytes stay as they are.
inline std::string lowered(std::string_view text) {
  std::string out(text);
  for (char& c : out)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return out;
}

}  // namespace sablelink
