// Parsing of result pages and load reports in engine responses. Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "platform/text_values.h"
#include "workload/events.h"

namespace sablelink::platform {

inline constexpr size_t kMaxPageBytes = 6'000;
inline constexpr int kColumnCount = 3;

/// Whether the page is well-formed: each row ends in a line feed and has tabs between its columns. Damage in
/// transit can make a page malformed.
bool is_valid_page(std::string_view page);
/// Appends the rows of a valid page to the elements of a JSON array: ["a","b","c"],["d","e","f"].
void append_json_rows(std::string_view page, std::string& array);

/// Parses a load report of the form "inflight:7;util:0.61". Malformed and unknown values are ignored; empty
/// if none remains.
std::optional<LoadReport> parse_load_report(std::string_view text);

}  // namespace sablelink::platform
