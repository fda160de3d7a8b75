// Validation of text and numbers from clients and engines. Pure.
#pragma once

#include <optional>
#include <string_view>

namespace sablelink::platform {

/// Whether a text is valid UTF-8 without control characters other than tab, line feed and carriage return.
bool is_valid_text(std::string_view text);

/// Parses a finite number of at least 0 in decimal or scientific notation. Empty for any other text.
std::optional<double> parse_non_negative(std::string_view text);

}  // namespace sablelink::platform
