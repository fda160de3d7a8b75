#include "config/selectors.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace sablelink::config {
namespace {

// Limits group numbers derived from a hash to 31 bits, well within the range that a configuration may use.
constexpr int kTableGroupHashShift = 33;

bool matches(std::string_view pattern, std::string_view text) {
  if (pattern.ends_with('*')) {
    pattern.remove_suffix(1);
    return text.starts_with(pattern);
  }
  return pattern == text;
}

bool any_matches(const std::vector<std::string>& patterns, std::string_view text) {
  return std::any_of(patterns.begin(), patterns.end(),
                     [&](const std::string& pattern) { return matches(pattern, text); });
}

std::string_view header_value(const RequestAttributes& request, std::string_view name) {
  if (request.headers == nullptr || name.empty()) return {};
  for (const auto& [key, value] : *request.headers) {
    if (key == name) return value;
  }
  return {};
}

bool matches_kind(const Selector& selector, sql::StatementKind kind) {
  return selector.kinds.empty() ||
         std::find(selector.kinds.begin(), selector.kinds.end(), kind) != selector.kinds.end();
}

bool matches_tables(const Selector& selector, const std::vector<std::string>& tables) {
  return selector.tables.empty() || std::any_of(tables.begin(), tables.end(), [&](const std::string& table) {
           return any_matches(selector.tables, table);
         });
}

bool matches_headers(const Selector& selector, const RequestAttributes& request) {
  return std::all_of(selector.headers.begin(), selector.headers.end(), [&](const auto& header) {
    const auto& [name, pattern] = header;
    return matches(pattern, header_value(request, name));
  });
}

bool matches_request(const Selector& selector, const RequestAttributes& request) {
  return (selector.users.empty() || any_matches(selector.users, request.user)) &&
         matches_kind(selector, request.statement->kind) &&
         matches_tables(selector, request.statement->tables) && matches_headers(selector, request);
}

uint64_t hash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::optional<double> parse_non_negative(std::string_view text) {
  double value = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  if (error != std::errc() || end != text_end) return std::nullopt;
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return value;
}

bool is_named(const Table& table, const std::string& name) {
  const std::string with_schema = table.schema + "." + table.name;
  return name == table.name || name == with_schema || name == table.catalog + "." + with_schema;
}

// Returns the group of the first table in the statement. A table that isn't configured gets a group derived
// from its name, so that queries on it still share a group.
int64_t table_group(const SelectorSettings& settings, const sql::StatementInfo& statement) {
  if (statement.tables.empty()) return -1;
  const std::string& name = statement.tables.front();
  const auto configured = std::find_if(settings.tables.begin(), settings.tables.end(),
                                       [&](const Table& table) { return is_named(table, name); });
  if (configured != settings.tables.end()) return configured->group;
  return static_cast<int64_t>(hash(name) >> kTableGroupHashShift);
}

// Returns 0, the first tenant, if the header is missing or doesn't contain a configured tenant.
int tenant_by_header(const SelectorSettings& settings, const RequestAttributes& request) {
  const std::string_view name = header_value(request, settings.tenant_header);
  const auto it = std::find(settings.tenants.begin(), settings.tenants.end(), name);
  if (name.empty() || it == settings.tenants.end()) return 0;
  return static_cast<int>(it - settings.tenants.begin());
}

uint64_t ordering_key(const SelectorSettings& settings, const RequestAttributes& request) {
  const std::string_view key = header_value(request, settings.ordering_key_header);
  if (key.empty()) return 0;
  return std::max<uint64_t>(hash(key), 1);
}

}  // namespace

Classification classify(const SelectorSettings& settings, const RequestAttributes& request) {
  Classification result;
  result.class_index = settings.default_class;
  result.tenant = tenant_by_header(settings, request);
  const auto selector =
      std::find_if(settings.selectors.begin(), settings.selectors.end(),
                   [&](const Selector& candidate) { return matches_request(candidate, request); });
  if (selector != settings.selectors.end()) {
    result.class_index = selector->class_index;
    result.tenant = selector->tenant.value_or(result.tenant);
    result.matched_selector = &*selector;
  }
  result.key = ordering_key(settings, request);
  result.table_group = table_group(settings, *request.statement);
  result.estimated_cost_us = parse_non_negative(header_value(request, settings.cost_header));
  result.estimated_memory_mb = parse_non_negative(header_value(request, settings.memory_header)).value_or(0);
  return result;
}

}  // namespace sablelink::config
