// Validation of text and numbers that clients and engines send. Pure.
#pragma once

#include <optional>
#include <string_view>

namespace sablelink::platform {

/// Whether a text is valid UTF-8 without control characters other than tab, line feed and carriage return.
bool is_plain_text(std::string_view text);

/// A finite number of at least 0 in decimal or scientific notation; empty for anything else.
std::optional<double> parse_non_negative(std::string_view text);

}  // namespace sablelink::platform
