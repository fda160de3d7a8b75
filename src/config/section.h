// Typed access to TOML tables. Unknown keys, missing required keys and values of the wrong type or range are
// errors, whose messages give the file, the line and the full path of the key.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "workload/error.h"
#include "workload/types.h"

namespace sablelink::config {

/// Thrown for an invalid configuration: it isn't TOML, or a key is missing, unknown or has an invalid value.
struct ConfigError : Error {
  using Error::Error;
};

/// One table of a TOML document. Its sections share the ownership of the document. A missing table is
/// represented by an empty section, so that all its keys get their defaults.
class Section {
 public:
  /// Returns the root table of a document. `file` is used in error messages only. Throws ConfigError for
  /// invalid TOML.
  static Section parse(std::string_view text, const std::string& file);

  bool has(std::string_view key) const;
  /// Returns true for a table, [key], and false for an array of tables, [[key]].
  bool has_table(std::string_view key) const;

  // Each of these returns the fallback if the key is missing. They throw ConfigError if a key without
  // fallback is missing, and if the value has another type or is out of range.
  std::string string(std::string_view key, std::optional<std::string> fallback = std::nullopt);
  /// The range includes low and high.
  int64_t integer(std::string_view key, int64_t low, int64_t high,
                  std::optional<int64_t> fallback = std::nullopt);
  double number(std::string_view key, double low, double high, std::optional<double> fallback = std::nullopt);
  bool boolean(std::string_view key, std::optional<bool> fallback = std::nullopt);
  /// Returns microseconds. The value is a string such as "250ms" (see parse_duration()).
  TimeUs duration(std::string_view key, std::optional<TimeUs> fallback = std::nullopt);
  /// The value is a number of bytes or a string such as "64KiB", "4MiB" or "1GiB".
  size_t byte_size(std::string_view key, std::optional<size_t> fallback = std::nullopt);

  /// Returns an array of strings; empty if the key is missing.
  std::vector<std::string> strings(std::string_view key);
  /// Returns a table of strings; empty if the key is missing.
  std::map<std::string, std::string> string_map(std::string_view key);

  /// Reads the name at the key and returns its value in values_by_name; `fallback` if the key is missing.
  template <typename T>
  T one_of(std::string_view key, const std::vector<std::pair<std::string, T>>& values_by_name,
           std::optional<T> fallback) {
    if (!has(key) && fallback) return *fallback;
    const std::string chosen = string(key);
    std::string known_names;
    for (const auto& [name, value] : values_by_name) {
      if (name == chosen) return value;
      known_names += (known_names.empty() ? "" : ", ") + name;
    }
    fail(key, "'" + chosen + "' is not one of: " + known_names);
  }

  /// Returns the table [key]; an empty section if it is missing.
  Section table(std::string_view key);
  /// Returns the tables of the array [[key]]; empty if it is missing.
  std::vector<Section> tables(std::string_view key);

  /// Throws ConfigError for the first key of the table that hasn't been read. Call it after reading all keys.
  void reject_unknown_keys() const;

  /// Throws ConfigError with the position of the key, or that of the section if the key is missing.
  [[noreturn]] void fail(std::string_view key, const std::string& problem) const;

 private:
  struct Table;

  explicit Section(std::shared_ptr<Table> table);

  std::shared_ptr<Table> table_;
};

/// Parses a number with a unit, for example "250ms", "1.5s", "20us", "2m" or "1h", into microseconds. Returns
/// nothing for any other text.
std::optional<TimeUs> parse_duration(std::string_view text);

}  // namespace sablelink::config
