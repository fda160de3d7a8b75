// Pages of a node's result as rows of a client's answer. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "workload/events.h"

namespace sablelink::platform {

constexpr size_t kMaxPageBytes = 6'000;     // a page holds no more
constexpr size_t kMaxResultBytes = 48'000;  // nor a whole result
constexpr int kColumnCount = 3;

// Rows of JSON, ["a","b","c"],["d",...], of a page's text: columns between tabs, a line feed after each row.
// Nothing where the text is no page: it has been spoilt on its way.
std::optional<std::string> page_to_json_rows(std::string_view page);

// Whether a text is UTF-8 without control characters but tab and line ends.
bool is_plain_text(std::string_view text);

// A finite number from 0 on, as nodes tell figures; nothing for anything else.
std::optional<double> parse_non_negative(std::string_view text);

// A load report as "inflight:7;util:0.61". Values that can't be read are left out; none at all: nothing.
std::optional<LoadReport> parse_load_report(std::string_view text);

}  // namespace sablelink::platform
