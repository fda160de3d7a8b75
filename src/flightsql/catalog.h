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
ResultTable tables(const std::vector<config::Table>& tables,
                   const arrow::flight::protocol::sql::CommandGetTables& command);
ResultTable table_types();

// SQL LIKE: % is any run of characters, _ any one.
bool like(std::string_view text, std::string_view pattern);

}  // namespace sablelink::flightsql
