// Caches the result columns of statements. All statements of the same shape (sql/shape.h) have the same key;
// two statements share an entry only where their keys are equal byte by byte.
//
// An entry is valid until it reaches the maximum age, until the gateway executes a statement that may change
// its tables, or until a response has other columns. Changes made through other gateways are detected only by
// the age limit and by responses. The number and the total size of entries are limited; the least recently
// used entry is evicted.
//
// No I/O; single-threaded. Times are microseconds of a monotonic clock.
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

/// A statement whose columns can be cached.
struct CachedStatement {
  std::string key;
  /// A change of any of these invalidates the entry. The names may omit catalog and schema.
  std::vector<std::string> tables;
};

class SchemaCache {
 public:
  /// The number of table changes so far. Read it before the columns are requested from an engine and pass it
  /// to put() with the result, so that columns from before a change aren't cached as those after it.
  using ChangeCount = uint64_t;

  explicit SchemaCache(const SchemaCacheLimits& limits) : limits_(limits) {}

  /// Returns the columns as an Arrow IPC schema message; nullopt where no valid entry is cached.
  std::optional<std::string> find(TimeUs now, std::string_view key);

  ChangeCount change_count() const { return change_count_; }
  /// Adds or refreshes an entry. changes_at_request: change_count() when the columns were requested. Returns
  /// false and caches nothing where the tables may have changed since then or the entry is too large.
  bool put(TimeUs now, const CachedStatement& statement, std::string schema, ChangeCount changes_at_request);
  /// Called before and after the execution of a statement that changes these tables. Removes the entries of
  /// all tables of the same names, in any schema; all entries where the list is empty.
  void invalidate_tables(const std::vector<std::string>& tables);
  void remove(std::string_view key);
  void clear();

  /// Totals since the start.
  struct Counts {
    uint64_t hits = 0;
    uint64_t misses = 0;
    uint64_t inserted = 0;
    /// Entries that reached the maximum age, and columns that weren't cached as their tables had changed.
    uint64_t stale = 0;
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

  bool may_have_changed(const std::vector<std::string>& tables, ChangeCount changes_at_request) const;
  void record_change(std::string table);
  void evict_until_fits(size_t bytes);
  void insert(Entry entry);
  void erase(EntryList::iterator entry);

  const SchemaCacheLimits limits_;
  EntryList entries_;
  // The keys are views of the entries' key strings.
  std::unordered_map<std::string_view, EntryList::iterator> entries_by_key_;
  std::unordered_map<std::string, std::set<std::string_view>> keys_by_table_;
  size_t bytes_ = 0;
  ChangeCount change_count_ = 0;
  // The latest changes, each with the change count after it and its table.
  std::deque<std::pair<ChangeCount, std::string>> recent_changes_;
  // Every change with a greater count than this is in recent_changes_.
  ChangeCount recent_changes_begin_ = 0;
  Counts counts_;
};

}  // namespace sablelink::schemas
