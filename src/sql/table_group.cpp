#include "sql/table_group.h"

#include <string>

#include "sql/statement.h"

namespace sablelink::sql {
namespace {

// Returns the group of a table named "schema.table" or "catalogue.schema.table", or -1.
int64_t group_of(std::string_view table) {
  const size_t dot = table.rfind('.');
  if (dot == std::string_view::npos) return -1;
  std::string_view schema = table.substr(0, dot);
  schema = schema.substr(schema.rfind('.') + 1);
  const size_t underscore = schema.rfind('_');
  if (underscore == std::string_view::npos || underscore == 0) return -1;
  const std::string_view digits = schema.substr(underscore + 1);
  if (digits.empty() || digits.size() > 9) return -1;
  int64_t group = 0;
  for (const char c : digits) {
    if (c < '0' || c > '9') return -1;
    group = group * 10 + (c - '0');
  }
  return group;
}

}  // namespace

int64_t table_group(std::string_view statement) {
  for (const std::string& table : analyze_statement(statement).tables)
    if (const int64_t group = group_of(table); group >= 0) return group;
  return -1;
}

}  // namespace sablelink::sql
