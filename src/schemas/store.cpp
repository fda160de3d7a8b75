#include "schemas/store.h"

#include <algorithm>
#include <utility>

namespace sablelink::schemas {
namespace {

constexpr size_t kEntryBytes = 400;     // what an entry takes beside its texts, about
constexpr size_t kTableBytes = 160;     // and for each table that it names
constexpr size_t kChangesKept = 1'024;  // what was asked before the last so many isn't believed any more

// "Main.Photo" to "photo": statements may name a table with or without its schema.
std::string own_name(std::string_view table) {
  std::string out(table.substr(table.rfind('.') + 1));
  for (char& c : out)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return out;
}

std::vector<std::string> own_names(const std::vector<std::string>& tables) {
  std::vector<std::string> out;
  for (const std::string& t : tables) out.push_back(own_name(t));
  return out;
}

}  // namespace

size_t Store::Entry::bytes() const {
  size_t n = kEntryBytes + key.size() + schema.size();
  for (const std::string& t : tables) n += kTableBytes + t.size();
  return n;
}

std::optional<std::string> Store::find(TimeUs now, std::string_view key) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) {
    ++counts_.misses;
    return std::nullopt;
  }
  const Order::iterator entry = it->second;
  if (now - entry->learned_at > limits_.age_us) {
    ++counts_.stale;
    ++counts_.misses;
    erase(entry);
    return std::nullopt;
  }
  ++counts_.hits;
  order_.splice(order_.end(), order_, entry);
  return entry->schema;
}

bool Store::changed_since(const std::vector<std::string>& tables, Moment asked) const {
  if (asked < all_told_since_) return true;
  return std::any_of(changes_.begin(), changes_.end(), [&](const auto& change) {
    return change.first > asked &&
           (change.second.empty() || std::find(tables.begin(), tables.end(), change.second) != tables.end());
  });
}

bool Store::learn(TimeUs now, const Subject& subject, std::string schema, Moment asked) {
  std::vector<std::string> tables = own_names(subject.tables);
  if (changed_since(tables, asked)) {
    ++counts_.stale;
    return false;
  }
  if (const auto known = entries_.find(subject.key); known != entries_.end()) {
    Entry& entry = *known->second;
    if (entry.schema == schema) {  // the common case: an answer confirms it
      entry.learned_at = now;
      return true;
    }
    erase(known->second);
  }
  Entry entry{subject.key, std::move(schema), std::move(tables), now};
  const size_t bytes = entry.bytes();
  if (bytes > limits_.bytes || limits_.entries == 0) return false;
  while (entries_.size() >= limits_.entries || bytes_ + bytes > limits_.bytes) {
    ++counts_.crowded;
    erase(order_.begin());
  }
  bytes_ += bytes;
  order_.push_back(std::move(entry));
  const Order::iterator it = std::prev(order_.end());
  entries_[it->key] = it;
  for (const std::string& t : it->tables) by_table_[t].insert(it->key);
  ++counts_.learned;
  return true;
}

void Store::defined(const std::vector<std::string>& tables) {
  ++counts_.defined;
  ++moment_;
  const auto note = [&](std::string name) {
    changes_.emplace_back(moment_, std::move(name));
    if (changes_.size() <= kChangesKept) return;
    all_told_since_ = changes_.front().first;
    changes_.pop_front();
  };
  if (tables.empty()) {
    clear();
    return;
  }
  for (std::string& name : own_names(tables)) {
    if (const auto it = by_table_.find(name); it != by_table_.end()) {
      const std::set<std::string_view> keys = it->second;
      for (const std::string_view key : keys) forget(key);
    }
    note(std::move(name));
  }
}

void Store::forget(std::string_view key) {
  const auto it = entries_.find(key);
  if (it != entries_.end()) erase(it->second);
}

void Store::clear() {
  ++moment_;
  all_told_since_ = moment_;  // whatever was asked before isn't believed
  changes_.clear();
  entries_.clear();
  by_table_.clear();
  order_.clear();
  bytes_ = 0;
}

void Store::erase(Order::iterator it) {
  bytes_ -= it->bytes();
  for (const std::string& t : it->tables) {
    const auto at = by_table_.find(t);
    if (at == by_table_.end()) continue;
    at->second.erase(it->key);
    if (at->second.empty()) by_table_.erase(at);
  }
  entries_.erase(it->key);
  order_.erase(it);
}

}  // namespace sablelink::schemas
