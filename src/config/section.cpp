#include "config/section.h"

#include <toml++/toml.h>

#include <charconv>
#include <cmath>
#include <utility>

namespace sablelink::config {

// The document, shared by all its sections, and this section's table in it; none where it is missing.
struct Section::Node {
  std::shared_ptr<toml::table> document;
  std::string file;
  const toml::table* table = nullptr;
  toml::source_region place;
};

namespace {

std::string place_of(const std::string& file, const toml::source_region& region) {
  return file + ":" + std::to_string(region.begin.line);
}

const char* type_of(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return "a text";
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

// A number and the unit after it.
bool split_unit(std::string_view text, double& value, std::string_view& unit) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc()) return false;
  unit = text.substr(end - text.data());
  return std::isfinite(value);
}

}  // namespace

std::optional<TimeUs> parse_time(std::string_view text) {
  double value = 0;
  std::string_view unit;
  if (!split_unit(text, value, unit) || value < 0) return std::nullopt;
  double scale = 0;
  if (unit == "us")
    scale = 1;
  else if (unit == "ms")
    scale = 1e3;
  else if (unit == "s")
    scale = 1e6;
  else if (unit == "m")
    scale = 60e6;
  else if (unit == "h")
    scale = 3600e6;
  if (scale == 0 || value * scale > 1e15) return std::nullopt;
  return static_cast<TimeUs>(std::llround(value * scale));
}

Section::Section(std::shared_ptr<Node> node, std::string path)
    : node_(std::move(node)), path_(std::move(path)) {}

Section Section::parse(std::string_view text, const std::string& file) {
  auto node = std::make_shared<Node>();
  node->file = file;
  try {
    node->document = std::make_shared<toml::table>(toml::parse(text, file));
  } catch (const toml::parse_error& e) {
    throw ConfigError(place_of(file, e.source()) + ": " + std::string(e.description()));
  }
  node->table = node->document.get();
  node->place = node->document->source();
  return Section(std::move(node), "");
}

bool Section::has(std::string_view key) const {
  return node_->table != nullptr && node_->table->contains(key);
}

bool Section::has_table(std::string_view key) const { return has(key) && node_->table->get(key)->is_table(); }

const void* Section::find(std::string_view key) {
  used_.emplace(key);
  return node_->table == nullptr ? nullptr : node_->table->get(key);
}

void Section::fail(std::string_view key, const std::string& what) const {
  const toml::node* const node = node_->table == nullptr ? nullptr : node_->table->get(key);
  throw ConfigError(place_of(node_->file, node == nullptr ? node_->place : node->source()) + ": " + path_ +
                    std::string(key) + ": " + what);
}

// The body of every typed getter: find, check the type, or fall back.
#define SABLELINK_FIND(key, fallback)                                 \
  const auto* const node = static_cast<const toml::node*>(find(key)); \
  if (node == nullptr) {                                              \
    if (fallback) return *fallback;                                   \
    fail(key, "is missing");                                          \
  }

std::string Section::text(std::string_view key, std::optional<std::string> fallback) {
  SABLELINK_FIND(key, fallback)
  if (!node->is_string()) fail(key, std::string("must be a text, not ") + type_of(*node));
  return node->as_string()->get();
}

int64_t Section::integer(std::string_view key, int64_t low, int64_t high, std::optional<int64_t> fallback) {
  SABLELINK_FIND(key, fallback)
  if (!node->is_integer()) fail(key, std::string("must be an integer, not ") + type_of(*node));
  const int64_t value = node->as_integer()->get();
  if (value < low || value > high)
    fail(key, std::to_string(value) + " is not from " + std::to_string(low) + " to " + std::to_string(high));
  return value;
}

double Section::number(std::string_view key, double low, double high, std::optional<double> fallback) {
  SABLELINK_FIND(key, fallback)
  if (!node->is_number()) fail(key, std::string("must be a number, not ") + type_of(*node));
  const double value = *node->value<double>();
  if (!(value >= low && value <= high)) {
    const auto brief = [](double v) {
      char buffer[32];
      std::snprintf(buffer, sizeof(buffer), "%g", v);
      return std::string(buffer);
    };
    fail(key, brief(value) + " is not from " + brief(low) + " to " + brief(high));
  }
  return value;
}

bool Section::flag(std::string_view key, std::optional<bool> fallback) {
  SABLELINK_FIND(key, fallback)
  if (!node->is_boolean()) fail(key, std::string("must be true or false, not ") + type_of(*node));
  return node->as_boolean()->get();
}

TimeUs Section::time(std::string_view key, std::optional<TimeUs> fallback) {
  SABLELINK_FIND(key, fallback)
  const std::optional<TimeUs> value = node->is_string() ? parse_time(node->as_string()->get()) : std::nullopt;
  if (!value) fail(key, "must be a time such as \"250ms\" or \"1.5s\"");
  return *value;
}

size_t Section::bytes(std::string_view key, std::optional<size_t> fallback) {
  SABLELINK_FIND(key, fallback)
  double value = -1;
  std::string_view unit;
  double scale = 0;
  if (node->is_integer()) {
    value = static_cast<double>(node->as_integer()->get());
    scale = 1;
  } else if (node->is_string() && split_unit(node->as_string()->get(), value, unit)) {
    if (unit == "KiB")
      scale = 1024;
    else if (unit == "MiB")
      scale = 1024.0 * 1024;
    else if (unit == "GiB")
      scale = 1024.0 * 1024 * 1024;
  }
  if (scale == 0 || value < 0 || value * scale > 1e15) fail(key, "must be a size such as 4096 or \"64KiB\"");
  return static_cast<size_t>(value * scale);
}

std::vector<std::string> Section::texts(std::string_view key) {
  const auto* const node = static_cast<const toml::node*>(find(key));
  std::vector<std::string> items;
  if (node == nullptr) return items;
  if (!node->is_array()) fail(key, std::string("must be an array of texts, not ") + type_of(*node));
  for (const toml::node& item : *node->as_array()) {
    if (!item.is_string()) fail(key, std::string("holds ") + type_of(item) + " among its texts");
    items.push_back(item.as_string()->get());
  }
  return items;
}

std::map<std::string, std::string> Section::pairs(std::string_view key) {
  const auto* const node = static_cast<const toml::node*>(find(key));
  std::map<std::string, std::string> items;
  if (node == nullptr) return items;
  if (!node->is_table()) fail(key, std::string("must be a table of texts, not ") + type_of(*node));
  for (const auto& [name, item] : *node->as_table()) {
    if (!item.is_string()) fail(key, std::string(name.str()) + " must be a text, not " + type_of(item));
    items[std::string(name.str())] = item.as_string()->get();
  }
  return items;
}

Section Section::table(std::string_view key) {
  const auto* const node = static_cast<const toml::node*>(find(key));
  if (node != nullptr && !node->is_table()) fail(key, std::string("must be a table, not ") + type_of(*node));
  auto inner = std::make_shared<Node>(*node_);
  inner->table = node == nullptr ? nullptr : node->as_table();
  if (node != nullptr) inner->place = node->source();
  return Section(std::move(inner), path_ + std::string(key) + ".");
}

std::vector<Section> Section::tables(std::string_view key) {
  const auto* const node = static_cast<const toml::node*>(find(key));
  std::vector<Section> sections;
  if (node == nullptr) return sections;
  if (!node->is_array()) fail(key, std::string("must be written as [[") + std::string(key) + "]]");
  for (const toml::node& item : *node->as_array()) {
    if (!item.is_table()) fail(key, std::string("must be written as [[") + std::string(key) + "]]");
    auto inner = std::make_shared<Node>(*node_);
    inner->table = item.as_table();
    inner->place = item.source();
    sections.push_back(
        Section(std::move(inner), path_ + std::string(key) + "[" + std::to_string(sections.size()) + "]."));
  }
  return sections;
}

void Section::finish() {
  if (node_->table == nullptr) return;
  for (const auto& [key, node] : *node_->table)
    if (!used_.contains(key.str())) fail(key.str(), "is not a known key");
}

}  // namespace sablelink::config
