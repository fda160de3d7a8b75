// The columns of answers, by statement. Keys are texts that stand for one statement each (sql/shape.h): two
// statements share an entry only where one key is the other, byte by byte.
//
// An entry is believed until it is too old, until a statement that may change its tables passes, or until an
// answer shows other columns. What other gateways pass isn't seen: there age and answers have to do. Bounded
// in number and bytes; the entry unused for longest makes room. No I/O, one thread; times are microseconds.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "workload/types.h"

namespace sablelink::schemas {

struct StoreLimits {
  size_t entries = 10'000;
  size_t bytes = 16u << 20;
  TimeUs age_us = 600'000'000;
};

// What a statement is known by, and what may change its columns.
struct Subject {
  std::string key;
  std::vector<std::string> tables;
};

class Store {
 public:
  // How much had been told of changes when something was asked; see learn().
  using Moment = uint64_t;

  explicit Store(const StoreLimits& limits) : limits_(limits) {}

  // The columns as an Arrow IPC schema message; none where they aren't known.
  std::optional<std::string> find(TimeUs now, std::string_view key);

  Moment moment() const { return moment_; }
  // Takes columns over that were asked for at the moment given: unless their tables may have changed since
  // then, or that can't be told any more. True where they are kept.
  bool learn(TimeUs now, const Subject& subject, std::string schema, Moment asked);
  // A statement that defines something passes, or is over. What names one of its tables is forgotten, by the
  // table's own name alone, and everything where it names none.
  void defined(const std::vector<std::string>& tables);
  void forget(std::string_view key);
  void clear();

  struct Counts {
    uint64_t hits = 0, misses = 0, learned = 0, stale = 0, crowded = 0, defined = 0;
  };
  const Counts& counts() const { return counts_; }
  size_t size() const { return entries_.size(); }
  size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    std::string key, schema;
    std::vector<std::string> tables;  // their own names, in lower case
    TimeUs learned_at = 0;
    size_t bytes() const;
  };
  using Order = std::list<Entry>;  // least recently used first

  bool changed_since(const std::vector<std::string>& tables, Moment asked) const;
  void erase(Order::iterator it);

  const StoreLimits limits_;
  Order order_;
  std::unordered_map<std::string_view, Order::iterator> entries_;         // keys are the entries' own
  std::unordered_map<std::string, std::set<std::string_view>> by_table_;  // keys of entries
  size_t bytes_ = 0;
  Moment moment_ = 0;
  std::deque<std::pair<Moment, std::string>> changes_;  // the last ones; an empty name stands for all
  Moment all_told_since_ = 0;                           // changes after this are all in the list
  Counts counts_;
};

}  // namespace sablelink::schemas
