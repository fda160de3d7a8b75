#include "config/selectors.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace sablelink::config {
namespace {

bool matches(std::string_view pattern, std::string_view text) {
  if (!pattern.empty() && pattern.back() == '*')
    return text.starts_with(pattern.substr(0, pattern.size() - 1));
  return pattern == text;
}

bool any_matches(const std::vector<std::string>& patterns, std::string_view text) {
  return std::any_of(patterns.begin(), patterns.end(),
                     [&](const std::string& p) { return matches(p, text); });
}

std::string_view header(const RequestFacts& facts, std::string_view name) {
  if (facts.headers == nullptr || name.empty()) return {};
  for (const auto& [key, value] : *facts.headers)
    if (key == name) return value;
  return {};
}

bool holds(const Selector& s, const RequestFacts& facts) {
  if (!s.users.empty() && !any_matches(s.users, facts.user)) return false;
  if (!s.kinds.empty() && std::find(s.kinds.begin(), s.kinds.end(), facts.statement->kind) == s.kinds.end())
    return false;
  if (!s.tables.empty() && std::none_of(facts.statement->tables.begin(), facts.statement->tables.end(),
                                        [&](const std::string& t) { return any_matches(s.tables, t); }))
    return false;
  return std::all_of(s.headers.begin(), s.headers.end(),
                     [&](const auto& h) { return matches(h.second, header(facts, h.first)); });
}

uint64_t hash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::optional<double> number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
    return std::nullopt;
  return value;
}

// The group of the first table named: as configured, else a number of its own, so that queries on one table
// belong together.
int64_t group_of(const SelectorSettings& settings, const sql::StatementInfo& statement) {
  if (statement.tables.empty()) return -1;
  const std::string& name = statement.tables.front();
  for (const Table& t : settings.tables)
    if (name == t.name || name == t.schema + "." + t.name ||
        name == t.catalog + "." + t.schema + "." + t.name)
      return t.group;
  return static_cast<int64_t>(hash(name) >> 33);
}

}  // namespace

Selection select(const SelectorSettings& settings, const RequestFacts& facts) {
  Selection out;
  out.cls = settings.default_class;
  const std::string_view tenant = header(facts, settings.tenant_header);
  for (size_t i = 0; i < settings.tenants.size(); ++i)
    if (!tenant.empty() && settings.tenants[i] == tenant) out.tenant = static_cast<int>(i);
  for (const Selector& s : settings.selectors) {
    if (!holds(s, facts)) continue;
    out.cls = s.cls;
    if (s.tenant >= 0) out.tenant = s.tenant;
    out.by = &s;
    break;
  }
  const std::string_view key = header(facts, settings.key_header);
  if (!key.empty()) out.key = std::max<uint64_t>(hash(key), 1);  // 0 means none
  out.table_group = group_of(settings, *facts.statement);
  out.cost_us = number(header(facts, settings.cost_header));
  out.need_mb = number(header(facts, settings.memory_header)).value_or(0);
  return out;
}

}  // namespace sablelink::config
