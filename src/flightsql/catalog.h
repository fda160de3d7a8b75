// Builds the result tables of Flight SQL's metadata commands. The public FlightSql.proto defines the schema
// of each. Pure functions.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "arrowipc/array.h"
#include "config/selectors.h"
#include "flight_sql.pb.h"

namespace sablelink::flightsql {

struct ResultTable {
  arrowipc::Schema schema;
  arrowipc::Batch batch;
};

ResultTable sql_info(const arrow::flight::protocol::sql::CommandGetSqlInfo& command);
ResultTable catalogs(const std::vector<config::Table>& tables);
ResultTable db_schemas(const std::vector<config::Table>& tables,
                       const arrow::flight::protocol::sql::CommandGetDbSchemas& command);
// schemas: the schema of each table that the command selects, as encapsulated Arrow IPC messages, in the
// order of table_statements(). Where one is empty or missing, the table is reported with a schema without
// columns.
ResultTable tables(const std::vector<config::Table>& tables,
                   const arrow::flight::protocol::sql::CommandGetTables& command,
                   const std::vector<std::string>& schemas = {});
// One statement for each table that the command selects; its result has the table's columns.
std::vector<std::string> table_statements(const std::vector<config::Table>& tables,
                                          const arrow::flight::protocol::sql::CommandGetTables& command);
// Only the types that the gateway accepts as parameters: engines may support others.
ResultTable xdbc_type_info(const arrow::flight::protocol::sql::CommandGetXdbcTypeInfo& command);
// Only engines know the keys of tables, so these results have no rows.
ResultTable empty_primary_keys();
ResultTable empty_foreign_keys();
ResultTable table_types();

// Implements SQL's LIKE: % matches any sequence of characters, _ any single one.
bool matches_like(std::string_view text, std::string_view pattern);

}  // namespace sablelink::flightsql
