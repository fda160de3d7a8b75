#include "platform/pages.h"

#include <algorithm>

#include "base/json.h"
#include "workload/settings_parser.h"

namespace sablelink::platform {
namespace {

// Returns false if the row does not have kColumnCount columns; `out` is then not valid.
bool append_json_row(std::string_view row, std::string& out) {
  if (std::count(row.begin(), row.end(), '\t') != kColumnCount - 1) return false;
  out += "[\"";
  for (size_t tab = row.find('\t'); tab != std::string_view::npos; tab = row.find('\t')) {
    out += json_escaped(row.substr(0, tab));
    out += "\",\"";
    row.remove_prefix(tab + 1);
  }
  out += json_escaped(row);
  out += "\"]";
  return true;
}

}  // namespace

std::optional<std::string> page_to_json_rows(std::string_view page) {
  if (page.size() > kMaxPageBytes || !is_valid_text(page)) return std::nullopt;
  std::string out;
  out.reserve(page.size() + page.size() / 4);
  while (!page.empty()) {
    const size_t end = page.find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    if (!out.empty()) out += ',';
    if (!append_json_row(page.substr(0, end), out)) return std::nullopt;
    page.remove_prefix(end + 1);
  }
  return out;
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
