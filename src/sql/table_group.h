// The group of tables that a statement reads or writes, by the platform's way of naming schemas.
#pragma once

#include <cstdint>
#include <string_view>

namespace sablelink::sql {

// The number after the last underscore in the name of the statement's schema (17 in sales_17.orders), -1
// where there is none. Strings, comments and the schema staging don't count.
int64_t table_group(std::string_view statement);

}  // namespace sablelink::sql
