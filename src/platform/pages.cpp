#include "platform/pages.h"

#include <charconv>
#include <cmath>

#include "base/json.h"
#include "workload/settings_parser.h"

namespace sablelink::platform {

bool is_plain_text(std::string_view text) {
  for (size_t i = 0; i < text.size();) {
    const auto c = static_cast<unsigned char>(text[i]);
    if (c < 0x80) {
      if ((c < 0x20 && c != '\t' && c != '\n' && c != '\r') || c == 0x7f) return false;
      ++i;
      continue;
    }
    const int more = c >= 0xc2 && c <= 0xdf ? 1 : c >= 0xe0 && c <= 0xef ? 2 : c >= 0xf0 && c <= 0xf4 ? 3 : 0;
    if (more == 0 || text.size() - i <= static_cast<size_t>(more)) return false;
    uint32_t code = c & (0x3f >> more);
    for (int k = 1; k <= more; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xc0) != 0x80) return false;
      code = code << 6 | (next & 0x3f);
    }
    const bool too_long = (more == 2 && code < 0x800) || (more == 3 && code < 0x10000);
    if (too_long || code > 0x10ffff || (code >= 0xd800 && code <= 0xdfff)) return false;
    i += more + 1;
  }
  return true;
}

std::optional<std::string> page_to_json_rows(std::string_view page) {
  if (page.size() > kMaxPageBytes || !is_plain_text(page)) return std::nullopt;
  std::string out;
  out.reserve(page.size() + page.size() / 4);
  while (!page.empty()) {
    const size_t end = page.find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    std::string_view row = page.substr(0, end);
    page.remove_prefix(end + 1);
    if (!out.empty()) out += ',';
    out += '[';
    for (int column = 0; column < kColumnCount; ++column) {
      const size_t tab = row.find('\t');
      if ((column + 1 < kColumnCount) != (tab != std::string_view::npos)) return std::nullopt;
      out += column > 0 ? ",\"" : "\"";
      out += json_escaped(row.substr(0, tab));
      out += '"';
      row.remove_prefix(tab == std::string_view::npos ? row.size() : tab + 1);
    }
    out += ']';
  }
  return out;
}

std::optional<double> parse_non_negative(std::string_view text) {
  double value = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || stop != text.data() + text.size() || !std::isfinite(value) || value < 0)
    return std::nullopt;
  return value;
}

std::optional<LoadReport> parse_load_report(std::string_view text) {
  LoadReport report;
  bool any = false;
  while (!text.empty()) {
    const size_t end = std::min(text.find(';'), text.size());
    const std::string_view item = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const size_t colon = item.find(':');
    if (colon == std::string_view::npos) continue;
    if (const std::optional<double> value = parse_non_negative(item.substr(colon + 1)))
      any = set_load_report_value(report, item.substr(0, colon), *value) || any;
  }
  return any ? std::optional(report) : std::nullopt;
}

}  // namespace sablelink::platform
