// Typed reading of TOML tables. Every key must be read: what is left over at the end is an error, as are
// missing keys and values of the wrong type or range. Errors name file, line and the key's whole path.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "workload/error.h"
#include "workload/types.h"

namespace sablelink::config {

struct ConfigError : Error {
  using Error::Error;
};

class Section {
 public:
  // Parses a whole document. Throws ConfigError where it is no TOML.
  static Section parse(std::string_view text, const std::string& file);

  bool has(std::string_view key) const;
  bool has_table(std::string_view key) const;  // [key], and not [[key]]

  // Each returns fallback where the key is missing; without a fallback that is an error.
  std::string text(std::string_view key, std::optional<std::string> fallback = std::nullopt);
  int64_t integer(std::string_view key, int64_t low, int64_t high,
                  std::optional<int64_t> fallback = std::nullopt);
  double number(std::string_view key, double low, double high, std::optional<double> fallback = std::nullopt);
  bool flag(std::string_view key, std::optional<bool> fallback = std::nullopt);
  // A time written as "250ms", "1.5s", "20us", "2m" or "1h".
  TimeUs time(std::string_view key, std::optional<TimeUs> fallback = std::nullopt);
  // A size written as a number of bytes, "64KiB", "4MiB" or "1GiB".
  size_t bytes(std::string_view key, std::optional<size_t> fallback = std::nullopt);
  std::vector<std::string> texts(std::string_view key);
  std::map<std::string, std::string> pairs(std::string_view key);  // a table of texts

  template <typename T>
  T word(std::string_view key, const std::vector<std::pair<std::string, T>>& words,
         std::optional<T> fallback) {
    if (!has(key) && fallback) return *fallback;
    const std::string value = text(key);
    std::string known;
    for (const auto& [name, meaning] : words) {
      if (name == value) return meaning;
      known += (known.empty() ? "" : ", ") + name;
    }
    fail(key, "'" + value + "' is none of: " + known);
  }

  Section table(std::string_view key);                // an empty one where it is missing
  std::vector<Section> tables(std::string_view key);  // [[key]]; none where it is missing

  // Throws for the first key that nothing has read.
  void finish();

  // Throws ConfigError with the place of the key, or of the section where the key isn't there.
  [[noreturn]] void fail(std::string_view key, const std::string& what) const;

 private:
  struct Node;
  Section(std::shared_ptr<Node> node, std::string path);
  const void* find(std::string_view key);

  std::shared_ptr<Node> node_;
  std::string path_;
  std::set<std::string, std::less<>> used_;
};

// "1.5s" to microseconds; none where it isn't a time.
std::optional<TimeUs> parse_time(std::string_view text);

}  // namespace sablelink::config
