// The table group that a statement reads or writes, derived from the platform's names for schemas.
#pragma once

#include <cstdint>
#include <string_view>

namespace sablelink::sql {

// Returns the number after the last underscore in the schema of the statement's first table that has one (17
// for sales_17.orders), or -1 if no table has one. Tables of the schema staging have none; strings and
// comments are ignored.
int64_t table_group(std::string_view statement);

}  // namespace sablelink::sql
