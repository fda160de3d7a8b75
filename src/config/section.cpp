#include "config/section.h"

#include <toml++/toml.h>

#include <charconv>
#include <cmath>
#include <cstdio>
#include <set>
#include <utility>

namespace sablelink::config {
namespace {

// Keeps conversions to integers within the range of their types. Far above any sensible setting.
constexpr double kMaxScaledValue = 1e15;

struct Unit {
  std::string_view name;
  double scale;
};

constexpr Unit kDurationUnits[] = {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}};
constexpr Unit kByteUnits[] = {{"KiB", 1024}, {"MiB", 1024.0 * 1024}, {"GiB", 1024.0 * 1024 * 1024}};

std::string position_of(const std::string& file, const toml::source_region& region) {
  return file + ":" + std::to_string(region.begin.line);
}

std::string type_name(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return "a string";
    case toml::node_type::integer:
      return "an integer";
    case toml::node_type::floating_point:
      return "a number";
    case toml::node_type::boolean:
      return "true or false";
    default:
      return "a date or time";
  }
}

// Parses a number followed by one of the units, and returns it scaled to microseconds or bytes. Returns
// nothing for any other text, for negative values and for values over kMaxScaledValue.
template <size_t kCount>
std::optional<double> parse_with_unit(std::string_view text, const Unit (&units)[kCount]) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || !std::isfinite(value) || value < 0) return std::nullopt;
  const std::string_view unit_name = text.substr(end - text.data());
  for (const Unit& unit : units) {
    if (unit.name != unit_name) continue;
    const double scaled = value * unit.scale;
    if (scaled > kMaxScaledValue) return std::nullopt;
    return scaled;
  }
  return std::nullopt;
}

std::string short_decimal(double value) {
  char buffer[32];
  std::snprintf(buffer, sizeof(buffer), "%g", value);
  return buffer;
}

}  // namespace

struct Section::Table {
  // The whole document, shared by all its sections.
  std::shared_ptr<toml::table> document;
  std::string file;
  // This section's table in the document; nullptr if it is missing.
  const toml::table* contents = nullptr;
  // Where the table begins; for a missing table, where its parent begins.
  toml::source_region position;
  // The keys and indexes that lead to this table, ending with a dot; empty for the root.
  std::string path;
  std::set<std::string, std::less<>> read_keys;

  // Returns nullptr if the key is missing.
  const toml::node* find(std::string_view key) const {
    return contents == nullptr ? nullptr : contents->get(key);
  }

  // Like find(), and marks the key as read, for reject_unknown_keys().
  const toml::node* read(std::string_view key) {
    read_keys.emplace(key);
    return find(key);
  }

  // Creates the section for the table at this key or array element. node is nullptr if the table is missing.
  std::shared_ptr<Table> child(const std::string& name, const toml::node* node) const {
    auto table = std::make_shared<Table>();
    table->document = document;
    table->file = file;
    table->contents = node == nullptr ? nullptr : node->as_table();
    table->position = node == nullptr ? position : node->source();
    table->path = path + name + ".";
    return table;
  }
};

std::optional<TimeUs> parse_duration(std::string_view text) {
  const std::optional<double> duration_us = parse_with_unit(text, kDurationUnits);
  if (!duration_us) return std::nullopt;
  return static_cast<TimeUs>(std::llround(*duration_us));
}

Section::Section(std::shared_ptr<Table> table) : table_(std::move(table)) {}

Section Section::parse(std::string_view text, const std::string& file) {
  auto root = std::make_shared<Table>();
  root->file = file;
  try {
    root->document = std::make_shared<toml::table>(toml::parse(text, file));
  } catch (const toml::parse_error& e) {
    throw ConfigError(position_of(file, e.source()) + ": " + std::string(e.description()));
  }
  root->contents = root->document.get();
  root->position = root->document->source();
  return Section(std::move(root));
}

bool Section::has(std::string_view key) const { return table_->find(key) != nullptr; }

bool Section::has_table(std::string_view key) const {
  const toml::node* const node = table_->find(key);
  return node != nullptr && node->is_table();
}

void Section::fail(std::string_view key, const std::string& problem) const {
  const toml::node* const node = table_->find(key);
  const toml::source_region& position = node == nullptr ? table_->position : node->source();
  throw ConfigError(position_of(table_->file, position) + ": " + table_->path + std::string(key) + ": " +
                    problem);
}

std::string Section::string(std::string_view key, std::optional<std::string> fallback) {
  const toml::node* const node = table_->read(key);
  if (node == nullptr && fallback) return *std::move(fallback);
  if (node == nullptr) fail(key, "is missing");
  if (!node->is_string()) fail(key, "must be a string, not " + type_name(*node));
  return node->as_string()->get();
}

int64_t Section::integer(std::string_view key, int64_t low, int64_t high, std::optional<int64_t> fallback) {
  const toml::node* const node = table_->read(key);
  if (node == nullptr && fallback) return *fallback;
  if (node == nullptr) fail(key, "is missing");
  if (!node->is_integer()) fail(key, "must be an integer, not " + type_name(*node));
  const int64_t value = node->as_integer()->get();
  if (value < low || value > high) {
    fail(key, std::to_string(value) + " is not from " + std::to_string(low) + " to " + std::to_string(high));
  }
  return value;
}

double Section::number(std::string_view key, double low, double high, std::optional<double> fallback) {
  const toml::node* const node = table_->read(key);
  if (node == nullptr && fallback) return *fallback;
  if (node == nullptr) fail(key, "is missing");
  if (!node->is_number()) fail(key, "must be a number, not " + type_name(*node));
  const double value = *node->value<double>();
  const bool in_range = value >= low && value <= high;  // false for NaN
  if (!in_range) {
    fail(key, short_decimal(value) + " is not from " + short_decimal(low) + " to " + short_decimal(high));
  }
  return value;
}

bool Section::boolean(std::string_view key, std::optional<bool> fallback) {
  const toml::node* const node = table_->read(key);
  if (node == nullptr && fallback) return *fallback;
  if (node == nullptr) fail(key, "is missing");
  if (!node->is_boolean()) fail(key, "must be true or false, not " + type_name(*node));
  return node->as_boolean()->get();
}

TimeUs Section::duration(std::string_view key, std::optional<TimeUs> fallback) {
  const toml::node* const node = table_->read(key);
  if (node == nullptr && fallback) return *fallback;
  if (node == nullptr) fail(key, "is missing");
  std::optional<TimeUs> duration_us;
  if (node->is_string()) duration_us = parse_duration(node->as_string()->get());
  if (!duration_us) fail(key, R"(must be a time such as "250ms" or "1.5s")");
  return *duration_us;
}

size_t Section::byte_size(std::string_view key, std::optional<size_t> fallback) {
  const toml::node* const node = table_->read(key);
  if (node == nullptr && fallback) return *fallback;
  if (node == nullptr) fail(key, "is missing");
  std::optional<double> bytes;
  if (node->is_integer()) {
    bytes = static_cast<double>(node->as_integer()->get());
  } else if (node->is_string()) {
    bytes = parse_with_unit(node->as_string()->get(), kByteUnits);
  }
  if (!bytes || *bytes < 0 || *bytes > kMaxScaledValue) {
    fail(key, "must be a size such as 4096 or \"64KiB\"");
  }
  return static_cast<size_t>(*bytes);
}

std::vector<std::string> Section::strings(std::string_view key) {
  const toml::node* const node = table_->read(key);
  std::vector<std::string> items;
  if (node == nullptr) return items;
  if (!node->is_array()) fail(key, "must be an array of strings, not " + type_name(*node));
  for (const toml::node& item : *node->as_array()) {
    if (!item.is_string()) fail(key, "holds " + type_name(item) + " among its strings");
    items.push_back(item.as_string()->get());
  }
  return items;
}

std::map<std::string, std::string> Section::string_map(std::string_view key) {
  const toml::node* const node = table_->read(key);
  std::map<std::string, std::string> items;
  if (node == nullptr) return items;
  if (!node->is_table()) fail(key, "must be a table of strings, not " + type_name(*node));
  for (const auto& [name, item] : *node->as_table()) {
    if (!item.is_string()) fail(key, std::string(name.str()) + " must be a string, not " + type_name(item));
    items[std::string(name.str())] = item.as_string()->get();
  }
  return items;
}

Section Section::table(std::string_view key) {
  const toml::node* const node = table_->read(key);
  if (node != nullptr && !node->is_table()) fail(key, "must be a table, not " + type_name(*node));
  return Section(table_->child(std::string(key), node));
}

std::vector<Section> Section::tables(std::string_view key) {
  const toml::node* const node = table_->read(key);
  std::vector<Section> sections;
  if (node == nullptr) return sections;
  const std::string name(key);
  if (!node->is_array()) fail(key, "must be written as [[" + name + "]]");
  for (const toml::node& item : *node->as_array()) {
    if (!item.is_table()) fail(key, "must be written as [[" + name + "]]");
    const std::string index = "[" + std::to_string(sections.size()) + "]";
    sections.push_back(Section(table_->child(name + index, &item)));
  }
  return sections;
}

void Section::reject_unknown_keys() const {
  if (table_->contents == nullptr) return;
  for (const auto& [key, node] : *table_->contents) {
    if (!table_->read_keys.contains(key.str())) fail(key.str(), "is not a known key");
  }
}

}  // namespace sablelink::config
