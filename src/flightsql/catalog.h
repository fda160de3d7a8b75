// The tables that Flight SQL's metadata commands answer with. Source: the public FlightSql.proto, which gives
// each command's schema. Pure.
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
// schemas: those of the tables that the command asks for, in their order, as encapsulated messages; one that
// is empty or missing isn't known, and is told as a schema without columns.
ResultTable tables(const std::vector<config::Table>& tables,
                   const arrow::flight::protocol::sql::CommandGetTables& command,
                   const std::vector<std::string>& schemas = {});
// Statements whose columns are those of the tables that the command asks for, in their order.
std::vector<std::string> table_statements(const std::vector<config::Table>& tables,
                                          const arrow::flight::protocol::sql::CommandGetTables& command);
// The types that parameters may have here; what else engines know is theirs to tell.
ResultTable xdbc_type_info(const arrow::flight::protocol::sql::CommandGetXdbcTypeInfo& command);
// Keys are the engines' to know: none are told.
ResultTable no_primary_keys();
ResultTable no_foreign_keys();
ResultTable table_types();

// SQL LIKE: % is any run of characters, _ any one.
bool like(std::string_view text, std::string_view pattern);

}  // namespace sablelink::flightsql
