// Prepared statements of all clients, with the values bound to them. Bounded in number and bytes: the one
// unused for longest makes room once it has been idle long enough, else a new one is refused.
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
    size_t count = 10'000;
    size_t bytes = 64u << 20;
    TimeUs idle_us = 600'000'000;
  };
  // handle_seed makes handles of one life differ from those of another.
  PreparedStatements(const Limits& limits, uint64_t handle_seed)
      : limits_(limits), handle_seed_(handle_seed) {}

  // The new statement's handle; none where there is no room.
  std::optional<std::string> create(TimeUs now, std::string_view statement);
  // Binds a row of literals; false: no such handle, or no room.
  bool bind(TimeUs now, std::string_view handle, std::vector<std::string> literals);
  bool close(std::string_view handle);

  struct Found {
    std::string statement;
    std::vector<std::string> literals;  // as bound last
  };
  std::optional<Found> find(TimeUs now, std::string_view handle);

  size_t size() const { return entries_.size(); }
  size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    std::string handle;
    Found value;
    size_t bytes = 0;
    TimeUs used_at = 0;
  };
  using Order = std::list<Entry>;  // least recently used first

  Order::iterator* touch(TimeUs now, std::string_view handle);
  bool make_room(TimeUs now, size_t count, size_t bytes, const Entry* keep);
  void erase(Order::iterator it);

  const Limits limits_;
  const uint64_t handle_seed_;
  uint64_t last_ = 0;
  size_t bytes_ = 0;
  Order order_;
  std::unordered_map<std::string, Order::iterator> entries_;
};

// A value of a parameter batch as SQL literal. Throws FormatError for types that have none.
std::string literal_of(const arrowipc::Field& field, const arrowipc::Array& column, int64_t row);

}  // namespace sablelink::flightsql
