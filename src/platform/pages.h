// Contents of engine responses: pages of rows and load reports. Pure.
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

/// Converts a page to the rows of a JSON array, without its brackets: ["a","b","c"],["d","e","f"]. A page has
/// a line for each row, ended by a line feed, and tabs between the columns. Empty where the page is
/// malformed, as it may have been damaged on its way.
std::optional<std::string> page_to_json_rows(std::string_view page);

/// Parses a load report of the form "inflight:7;util:0.61". Values that are malformed or unknown are left
/// out; empty where none remains.
std::optional<LoadReport> parse_load_report(std::string_view text);

}  // namespace sablelink::platform
