// Stores the prepared statements of all clients and the values bound to them. Number and memory are limited:
// where a limit is reached, the least recently used statement is removed if it has been idle for long enough;
// otherwise the new statement is rejected.
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "arrowipc/array.h"
#include "workload/types.h"

namespace sablelink::flightsql {

class PreparedStatements {
 public:
  struct Limits {
    size_t max_count = 10'000;
    size_t max_bytes = 64u << 20;      // estimated memory of all statements
    TimeUs min_idle_us = 600'000'000;  // a statement is removed only after this time without use
  };
  // handle_seed makes the handles differ from those issued before a restart.
  PreparedStatements(const Limits& limits, uint64_t handle_seed)
      : limits_(limits), handle_seed_(handle_seed) {}

  // Returns the new statement's handle; nullopt where a limit is reached.
  std::optional<std::string> create(TimeUs now, std::string_view statement);
  // Binds a row of literals. False where the handle is unknown or a limit is reached.
  bool bind(TimeUs now, std::string_view handle, std::vector<std::string> literals);
  bool close(std::string_view handle);

  struct BoundStatement {
    std::string statement;
    std::vector<std::string> literals;  // bound most recently
  };
  std::optional<BoundStatement> find(TimeUs now, std::string_view handle);

  size_t size() const { return entries_by_handle_.size(); }
  size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    std::string handle;
    BoundStatement bound;
    size_t bytes = 0;
    TimeUs last_used_at = 0;
  };
  using EntryList = std::list<Entry>;  // least recently used first

  EntryList::iterator* find_and_mark_used(TimeUs now, std::string_view handle);
  bool ensure_capacity(TimeUs now, size_t added_count, size_t added_bytes, const Entry* protected_entry);
  void erase(EntryList::iterator it);

  const Limits limits_;
  const uint64_t handle_seed_;
  uint64_t last_id_ = 0;
  size_t bytes_ = 0;
  EntryList entries_;
  std::unordered_map<std::string, EntryList::iterator> entries_by_handle_;
};

// Returns a value of a parameter batch as an SQL literal. Throws FormatError for types that have no literals.
std::string to_sql_literal(const arrowipc::Field& field, const arrowipc::Array& column, int64_t row);

}  // namespace sablelink::flightsql
