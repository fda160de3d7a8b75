// Caches the result columns of statements. A key stands for all statements of one shape (sql/shape.h); two
// statements share an entry only where their keys are equal byte by byte.
//
// An entry is valid until it is too old, until a statement that may change its tables is seen, or until a
// response shows other columns. Changes made through other gateways aren't seen, so the age limit and the
// responses have to catch those. The number and the size of entries are bounded; the least recently used
// entry is evicted.
//
// No I/O; one thread. Times are microseconds on a clock that only advances.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "workload/types.h"

namespace sablelink::schemas {

struct SchemaCacheLimits {
  size_t max_entries = 10'000;
  size_t max_bytes = 16u << 20;  // estimated memory of all entries
  TimeUs max_age_us = 600'000'000;
};

/// A statement as the cache knows it.
struct CachedStatement {
  std::string key;
  std::vector<std::string> tables;  // whose changes invalidate the entry; with or without catalog and schema
};

class SchemaCache {
 public:
  /// A number of table changes. Whoever asks an engine for columns notes it and gives it to put() with the
  /// answer, so that columns from before a change aren't taken for those after it.
  using ChangeCount = uint64_t;

  explicit SchemaCache(const SchemaCacheLimits& limits) : limits_(limits) {}

  /// The columns as an Arrow IPC schema message; none where no valid entry is cached.
  std::optional<std::string> find(TimeUs now, std::string_view key);

  ChangeCount change_count() const { return change_count_; }
  /// Adds or refreshes an entry. changes_when_asked: change_count() when the engine was asked. False where
  /// the columns aren't cached: their tables have changed since then, or may have, or the entry is too large.
  bool put(TimeUs now, const CachedStatement& statement, std::string schema, ChangeCount changes_when_asked);
  /// A statement that changes these tables begins or has completed. Removes the entries of all tables of the
  /// same names, in whichever schema; all entries where no table is named.
  void invalidate_tables(const std::vector<std::string>& tables);
  void remove(std::string_view key);
  void clear();

  /// Totals since the start.
  struct Counts {
    uint64_t hits = 0;
    uint64_t misses = 0;
    uint64_t inserted = 0;
    uint64_t stale = 0;    // entries too old, and columns not cached as their tables had changed
    uint64_t evicted = 0;  // to stay within the limits
    uint64_t invalidations = 0;
  };
  const Counts& counts() const { return counts_; }
  size_t size() const { return entries_by_key_.size(); }
  /// Estimated memory of all entries.
  size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    std::string key;
    std::string schema;
    std::vector<std::string> tables;  // without catalog and schema, in lower case
    TimeUs updated_at = 0;
    size_t bytes() const;
  };
  using EntryList = std::list<Entry>;  // least recently used first

  bool may_have_changed(const std::vector<std::string>& tables, ChangeCount changes_when_asked) const;
  void record_change(std::string table);
  void evict_until_fits(size_t bytes);
  void insert(Entry entry);
  void erase(EntryList::iterator entry);

  const SchemaCacheLimits limits_;
  EntryList entries_;
  // The views are of the entries' own keys.
  std::unordered_map<std::string_view, EntryList::iterator> entries_by_key_;
  std::unordered_map<std::string, std::set<std::string_view>> keys_by_table_;
  size_t bytes_ = 0;
  ChangeCount change_count_ = 0;
  // The latest changes, each with its number and its table.
  std::deque<std::pair<ChangeCount, std::string>> recent_changes_;
  // Every change after this one is in recent_changes_.
  ChangeCount recent_changes_begin_ = 0;
  Counts counts_;
};

}  // namespace sablelink::schemas
