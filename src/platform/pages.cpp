#include "platform/pages.h"

#include <algorithm>

#include "base/json.h"
#include "workload/settings_parser.h"

namespace sablelink::platform {
namespace {

// Calls the function with each row, without its line feed. Returns false as soon as the function does, or if
// the last row has no line feed.
template <typename Function>
bool for_each_row(std::string_view page, Function function) {
  while (!page.empty()) {
    const size_t end = page.find('\n');
    if (end == std::string_view::npos || !function(page.substr(0, end))) return false;
    page.remove_prefix(end + 1);
  }
  return true;
}

bool is_valid_row(std::string_view row) {
  return std::count(row.begin(), row.end(), '\t') == kColumnCount - 1;
}

void append_json_row(std::string_view row, std::string& out) {
  out += "[\"";
  for (size_t tab = row.find('\t'); tab != std::string_view::npos; tab = row.find('\t')) {
    out += json_escaped(row.substr(0, tab));
    out += "\",\"";
    row.remove_prefix(tab + 1);
  }
  out += json_escaped(row);
  out += "\"]";
}

}  // namespace

bool is_valid_page(std::string_view page) {
  return page.size() <= kMaxPageBytes && is_valid_text(page) && for_each_row(page, is_valid_row);
}

void append_json_rows(std::string_view page, std::string& array) {
  for_each_row(page, [&array](std::string_view row) {
    if (!array.empty()) array += ',';
    append_json_row(row, array);
    return true;
  });
}

std::optional<LoadReport> parse_load_report(std::string_view text) {
  LoadReport report;
  bool has_value = false;
  while (!text.empty()) {
    const size_t end = std::min(text.find(';'), text.size());
    const std::string_view item = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const size_t colon = item.find(':');
    if (colon == std::string_view::npos) continue;
    const std::optional<double> value = parse_non_negative(item.substr(colon + 1));
    if (value && set_load_report_value(report, item.substr(0, colon), *value)) has_value = true;
  }
  if (!has_value) return std::nullopt;
  return report;
}

}  // namespace sablelink::platform
