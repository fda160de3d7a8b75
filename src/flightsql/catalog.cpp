#include "flightsql/catalog.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string_view>
#include <variant>

#include "arrowipc/ipc.h"

namespace sablelink::flightsql {
namespace {

namespace fsql = arrow::flight::protocol::sql;
using arrowipc::ArrayBuilder;
using arrowipc::Field;
using arrowipc::Schema;
using arrowipc::Type;

Field column(std::string name, Type type, bool nullable) {
  Field f;
  f.name = std::move(name);
  f.type = type;
  f.nullable = nullable;
  return f;
}

Field nested(std::string name, Type type, bool nullable, std::vector<Field> children) {
  Field f = column(std::move(name), type, nullable);
  f.children = std::move(children);
  return f;
}

ResultTable finish(Schema schema, std::vector<ArrayBuilder>& builders) {
  ResultTable out;
  out.schema = std::move(schema);
  out.batch.rows = builders.empty() ? 0 : builders[0].length();
  for (ArrayBuilder& b : builders) out.batch.columns.push_back(b.finish());
  return out;
}

// SqlInfo values by the code that FlightSql.proto gives them.
using InfoValue = std::variant<std::string, bool, int64_t, int32_t>;
const std::vector<std::pair<uint32_t, InfoValue>>& infos() {
  static const std::vector<std::pair<uint32_t, InfoValue>> kInfos = {
      {0, std::string("sablelink")},  // server name
      {1, std::string("0.2.0")},      // server version
      {2, std::string("1.4")},        // version of the Arrow format
      {3, false},                     // read only
      {4, true},                      // takes SQL
      {5, false},                     // takes Substrait
      {8, int32_t{0}},                // transactions: none
      {9, true},                      // cancels
      {10, false},                    // bulk ingestion
      {100, int32_t{0}},              // statement time-out: none of its own
      {101, int32_t{0}},              // transaction time-out
      {500, false},                   // DDL for catalogs
      {501, false},                   // DDL for schemas
      {504, std::string("\"")},       // quote of identifiers
  };
  return kInfos;
}

}  // namespace

ResultTable sql_info(const fsql::CommandGetSqlInfo& command) {
  const Field key_value = nested("entries", Type::kStruct, false,
                                 {column("key", Type::kInt32, false),
                                  nested("value", Type::kList, true, {column("item", Type::kInt32, true)})});
  const Field value =
      nested("value", Type::kDenseUnion, false,
             {column("string_value", Type::kUtf8, true), column("bool_value", Type::kBool, true),
              column("bigint_value", Type::kInt64, true), column("int32_bitmask", Type::kInt32, true),
              nested("string_list", Type::kList, true, {column("item", Type::kUtf8, true)}),
              nested("int32_to_int32_list_map", Type::kMap, true, {key_value})});
  Schema schema{{column("info_name", Type::kUint32, false), value}};
  std::vector<ArrayBuilder> b;
  for (const Field& f : schema.fields) b.emplace_back(f);
  for (const auto& [code, info] : infos()) {
    if (command.info_size() > 0 &&
        std::find(command.info().begin(), command.info().end(), code) == command.info().end())
      continue;
    b[0].integer(code);
    const int child = static_cast<int>(info.index());
    if (const auto* text = std::get_if<std::string>(&info))
      b[1].child(child).bytes(*text);
    else if (const auto* flag = std::get_if<bool>(&info))
      b[1].child(child).boolean(*flag);
    else if (const auto* big = std::get_if<int64_t>(&info))
      b[1].child(child).integer(*big);
    else
      b[1].child(child).integer(std::get<int32_t>(info));
    b[1].end_union(child);
  }
  return finish(std::move(schema), b);
}

ResultTable catalogs(const std::vector<config::Table>& tables) {
  Schema schema{{column("catalog_name", Type::kUtf8, false)}};
  std::vector<ArrayBuilder> b{ArrayBuilder(schema.fields[0])};
  std::set<std::string> names;
  for (const config::Table& t : tables) names.insert(t.catalog);
  for (const std::string& name : names) b[0].bytes(name);
  return finish(std::move(schema), b);
}

ResultTable db_schemas(const std::vector<config::Table>& tables, const fsql::CommandGetDbSchemas& command) {
  Schema schema{{column("catalog_name", Type::kUtf8, true), column("db_schema_name", Type::kUtf8, false)}};
  std::vector<ArrayBuilder> b{ArrayBuilder(schema.fields[0]), ArrayBuilder(schema.fields[1])};
  std::set<std::pair<std::string, std::string>> names;
  for (const config::Table& t : tables) {
    if (command.has_catalog() && command.catalog() != t.catalog) continue;
    if (command.has_db_schema_filter_pattern() && !like(t.schema, command.db_schema_filter_pattern()))
      continue;
    names.emplace(t.catalog, t.schema);
  }
  for (const auto& [catalog, name] : names) {
    b[0].bytes(catalog);
    b[1].bytes(name);
  }
  return finish(std::move(schema), b);
}

ResultTable tables(const std::vector<config::Table>& all, const fsql::CommandGetTables& command) {
  Schema schema{{column("catalog_name", Type::kUtf8, true), column("db_schema_name", Type::kUtf8, true),
                 column("table_name", Type::kUtf8, false), column("table_type", Type::kUtf8, false)}};
  if (command.include_schema()) schema.fields.push_back(column("table_schema", Type::kBinary, false));
  std::vector<ArrayBuilder> b;
  for (const Field& f : schema.fields) b.emplace_back(f);
  const auto& types = command.table_types();
  if (types.size() > 0 && std::find(types.begin(), types.end(), "TABLE") == types.end())
    return finish(std::move(schema), b);
  std::vector<const config::Table*> found;
  for (const config::Table& t : all) {
    if (command.has_catalog() && command.catalog() != t.catalog) continue;
    if (command.has_db_schema_filter_pattern() && !like(t.schema, command.db_schema_filter_pattern()))
      continue;
    if (command.has_table_name_filter_pattern() && !like(t.name, command.table_name_filter_pattern()))
      continue;
    found.push_back(&t);
  }
  std::sort(found.begin(), found.end(), [](const config::Table* x, const config::Table* y) {
    return std::tie(x->catalog, x->schema, x->name) < std::tie(y->catalog, y->schema, y->name);
  });
  // The gateway knows which tables there are, not their columns: those are the nodes' to tell.
  const std::string unknown = arrowipc::encapsulate(arrowipc::encode_schema({}));
  for (const config::Table* t : found) {
    b[0].bytes(t->catalog);
    b[1].bytes(t->schema);
    b[2].bytes(t->name);
    b[3].bytes("TABLE");
    if (command.include_schema()) b[4].bytes(unknown);
  }
  return finish(std::move(schema), b);
}

ResultTable table_types() {
  Schema schema{{column("table_type", Type::kUtf8, false)}};
  std::vector<ArrayBuilder> b{ArrayBuilder(schema.fields[0])};
  b[0].bytes("TABLE");
  return finish(std::move(schema), b);
}

bool like(std::string_view text, std::string_view pattern) {
  size_t t = 0, p = 0, star = std::string_view::npos, from = 0;
  while (t < text.size()) {
    if (p < pattern.size() && pattern[p] == '%') {
      star = p++;
      from = t;
    } else if (p < pattern.size() && (pattern[p] == '_' || pattern[p] == text[t])) {
      ++p;
      ++t;
    } else if (star != std::string_view::npos) {
      p = star + 1;
      t = ++from;
    } else {
      return false;
    }
  }
  while (p < pattern.size() && pattern[p] == '%') ++p;
  return p == pattern.size();
}

}  // namespace sablelink::flightsql
