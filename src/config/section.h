// Typed access to TOML tables. A table must be read completely: unknown keys are errors, as are missing keys
// and values of the wrong type or range. Error messages give the file, the line and the full path of the key.
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

/// A configuration can't be used: it isn't TOML, or a key is missing, unknown or has an unusable value.
struct ConfigError : Error {
  using Error::Error;
};

/// One table of a TOML document. The document lives as long as any section of it. A missing table is an empty
/// section, so that its keys take their defaults.
class Section {
 public:
  /// The root table of a document. file is only used in messages. Throws ConfigError for invalid TOML.
  static Section parse(std::string_view text, const std::string& file);

  bool has(std::string_view key) const;
  /// True for a table, [key]; false for an array of tables, [[key]].
  bool has_table(std::string_view key) const;

  // Each returns the fallback where the key is missing, and throws ConfigError where there is no fallback
  // either, or where the value has another type or is out of range.
  std::string string(std::string_view key, std::optional<std::string> fallback = std::nullopt);
  /// low and high belong to the range.
  int64_t integer(std::string_view key, int64_t low, int64_t high,
                  std::optional<int64_t> fallback = std::nullopt);
  double number(std::string_view key, double low, double high, std::optional<double> fallback = std::nullopt);
  bool boolean(std::string_view key, std::optional<bool> fallback = std::nullopt);
  /// In microseconds; written as a string, for example "250ms" (see parse_duration()).
  TimeUs duration(std::string_view key, std::optional<TimeUs> fallback = std::nullopt);
  /// Written as a number of bytes or as a string such as "64KiB", "4MiB" or "1GiB".
  size_t byte_size(std::string_view key, std::optional<size_t> fallback = std::nullopt);

  /// An array of strings; empty where the key is missing.
  std::vector<std::string> strings(std::string_view key);
  /// A table of strings; empty where the key is missing.
  std::map<std::string, std::string> string_map(std::string_view key);

  /// The value that one of the names stands for.
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

  /// [key]; an empty section where it is missing.
  Section table(std::string_view key);
  /// [[key]]; none where it is missing.
  std::vector<Section> tables(std::string_view key);

  /// To be called after the last key was read: throws ConfigError for the first key of the table that wasn't.
  void reject_unknown_keys() const;

  /// Throws ConfigError with the position of the key, or of the section where the key is missing.
  [[noreturn]] void fail(std::string_view key, const std::string& problem) const;

 private:
  struct Table;

  explicit Section(std::shared_ptr<Table> table);

  std::shared_ptr<Table> table_;
};

/// Microseconds from a number with a unit, for example "250ms", "1.5s", "20us", "2m" or "1h". None for
/// anything else.
std::optional<TimeUs> parse_duration(std::string_view text);

}  // namespace sablelink::config
