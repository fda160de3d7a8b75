#include "schemas/schema_cache.h"

#include <algorithm>
#include <iterator>

namespace sablelink::schemas {
namespace {

// Estimated memory of an entry without its strings, and of each table name in an entry without its string.
constexpr size_t kEntryOverheadBytes = 400;
constexpr size_t kTableOverheadBytes = 160;

constexpr size_t kMaxRecentChanges = 1'024;

// Returns the last part of a table name in lower case, such as "photo" for "Main.Photo": statements may name
// a table with or without its schema.
std::string unqualified_name(std::string_view table) {
  std::string name(table.substr(table.rfind('.') + 1));
  for (char& c : name) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return name;
}

std::vector<std::string> unqualified_names(const std::vector<std::string>& tables) {
  std::vector<std::string> names;
  names.reserve(tables.size());
  for (const std::string& table : tables) names.push_back(unqualified_name(table));
  return names;
}

}  // namespace

size_t SchemaCache::Entry::bytes() const {
  size_t total = kEntryOverheadBytes + key.size() + schema.size();
  for (const std::string& table : tables) total += kTableOverheadBytes + table.size();
  return total;
}

std::optional<std::string> SchemaCache::find(TimeUs now, std::string_view key) {
  const auto it = entries_by_key_.find(key);
  if (it == entries_by_key_.end()) {
    ++counts_.misses;
    return std::nullopt;
  }
  const EntryList::iterator entry = it->second;
  if (now - entry->updated_at > limits_.max_age_us) {
    ++counts_.stale;
    ++counts_.misses;
    erase(entry);
    return std::nullopt;
  }
  ++counts_.hits;
  entries_.splice(entries_.end(), entries_, entry);
  return entry->schema;
}

bool SchemaCache::may_have_changed(const std::vector<std::string>& tables,
                                   ChangeCount changes_at_request) const {
  if (changes_at_request < recent_changes_begin_) return true;
  return std::any_of(recent_changes_.begin(), recent_changes_.end(), [&](const auto& change) {
    const auto& [number, table] = change;
    if (number <= changes_at_request) return false;
    // An empty name, the last part of a name such as "main.", may stand for any table.
    return table.empty() || std::find(tables.begin(), tables.end(), table) != tables.end();
  });
}

bool SchemaCache::put(TimeUs now, const CachedStatement& statement, std::string schema,
                      ChangeCount changes_at_request) {
  std::vector<std::string> tables = unqualified_names(statement.tables);
  if (may_have_changed(tables, changes_at_request)) {
    ++counts_.stale;
    return false;
  }
  if (const auto it = entries_by_key_.find(statement.key); it != entries_by_key_.end()) {
    const EntryList::iterator entry = it->second;
    if (entry->schema == schema) {
      entry->updated_at = now;
      return true;
    }
    erase(entry);
  }
  Entry entry{statement.key, std::move(schema), std::move(tables), now};
  const size_t bytes = entry.bytes();
  if (bytes > limits_.max_bytes || limits_.max_entries == 0) return false;
  evict_until_fits(bytes);
  insert(std::move(entry));
  return true;
}

void SchemaCache::evict_until_fits(size_t bytes) {
  while (entries_by_key_.size() >= limits_.max_entries || bytes_ + bytes > limits_.max_bytes) {
    ++counts_.evicted;
    erase(entries_.begin());
  }
}

void SchemaCache::insert(Entry entry) {
  ++counts_.inserted;
  bytes_ += entry.bytes();
  entries_.push_back(std::move(entry));
  const auto inserted = std::prev(entries_.end());
  entries_by_key_[inserted->key] = inserted;
  for (const std::string& table : inserted->tables) keys_by_table_[table].insert(inserted->key);
}

void SchemaCache::invalidate_tables(const std::vector<std::string>& tables) {
  ++counts_.invalidations;
  ++change_count_;
  if (tables.empty()) {
    clear();
    return;
  }
  for (std::string& table : unqualified_names(tables)) {
    if (const auto it = keys_by_table_.find(table); it != keys_by_table_.end()) {
      const std::set<std::string_view> keys = it->second;  // a copy, as remove() modifies the set
      for (const std::string_view key : keys) remove(key);
    }
    record_change(std::move(table));
  }
}

void SchemaCache::record_change(std::string table) {
  recent_changes_.emplace_back(change_count_, std::move(table));
  if (recent_changes_.size() <= kMaxRecentChanges) return;
  recent_changes_begin_ = recent_changes_.front().first;
  recent_changes_.pop_front();
}

void SchemaCache::remove(std::string_view key) {
  const auto it = entries_by_key_.find(key);
  if (it != entries_by_key_.end()) erase(it->second);
}

void SchemaCache::clear() {
  ++change_count_;
  recent_changes_begin_ = change_count_;  // columns requested earlier may be from before the change
  recent_changes_.clear();
  entries_by_key_.clear();
  keys_by_table_.clear();
  entries_.clear();
  bytes_ = 0;
}

void SchemaCache::erase(EntryList::iterator entry) {
  bytes_ -= entry->bytes();
  for (const std::string& table : entry->tables) {
    const auto it = keys_by_table_.find(table);
    if (it == keys_by_table_.end()) continue;
    it->second.erase(entry->key);
    if (it->second.empty()) keys_by_table_.erase(it);
  }
  entries_by_key_.erase(entry->key);
  entries_.erase(entry);
}

}  // namespace sablelink::schemas
