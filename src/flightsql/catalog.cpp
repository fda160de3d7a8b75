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

Field make_field(std::string name, Type type, bool nullable) {
  Field field;
  field.name = std::move(name);
  field.type = type;
  field.nullable = nullable;
  return field;
}

Field make_nested_field(std::string name, Type type, bool nullable, std::vector<Field> children) {
  Field field = make_field(std::move(name), type, nullable);
  field.children = std::move(children);
  return field;
}

ResultTable build_table(Schema schema, std::vector<ArrayBuilder>& builders) {
  ResultTable table;
  table.schema = std::move(schema);
  table.batch.rows = builders.empty() ? 0 : builders[0].length();
  for (ArrayBuilder& builder : builders) table.batch.columns.push_back(builder.finish());
  return table;
}

// The gateway's SqlInfo values; the codes are those of FlightSql.proto.
using InfoValue = std::variant<std::string, bool, int64_t, int32_t>;
const std::vector<std::pair<uint32_t, InfoValue>>& sql_info_values() {
  static const std::vector<std::pair<uint32_t, InfoValue>> kValues = {
      {0, std::string("sablelink")},  // FLIGHT_SQL_SERVER_NAME
      {1, std::string("0.2.0")},      // FLIGHT_SQL_SERVER_VERSION
      {2, std::string("1.4")},        // FLIGHT_SQL_SERVER_ARROW_VERSION
      {3, false},                     // FLIGHT_SQL_SERVER_READ_ONLY
      {4, true},                      // FLIGHT_SQL_SERVER_SQL
      {5, false},                     // FLIGHT_SQL_SERVER_SUBSTRAIT
      {8, int32_t{0}},                // FLIGHT_SQL_SERVER_TRANSACTION: not supported
      {9, true},                      // FLIGHT_SQL_SERVER_CANCEL
      {10, false},                    // FLIGHT_SQL_SERVER_BULK_INGESTION
      {100, int32_t{0}},              // FLIGHT_SQL_SERVER_STATEMENT_TIMEOUT: none
      {101, int32_t{0}},              // FLIGHT_SQL_SERVER_TRANSACTION_TIMEOUT: none
      {500, false},                   // SQL_DDL_CATALOG
      {501, false},                   // SQL_DDL_SCHEMA
      {504, std::string("\"")},       // SQL_IDENTIFIER_QUOTE_CHAR
  };
  return kValues;
}

}  // namespace

ResultTable sql_info(const fsql::CommandGetSqlInfo& command) {
  const Field key_value = make_nested_field(
      "entries", Type::kStruct, false,
      {make_field("key", Type::kInt32, false),
       make_nested_field("value", Type::kList, true, {make_field("item", Type::kInt32, true)})});
  const Field value = make_nested_field(
      "value", Type::kDenseUnion, false,
      {make_field("string_value", Type::kUtf8, true), make_field("bool_value", Type::kBool, true),
       make_field("bigint_value", Type::kInt64, true), make_field("int32_bitmask", Type::kInt32, true),
       make_nested_field("string_list", Type::kList, true, {make_field("item", Type::kUtf8, true)}),
       make_nested_field("int32_to_int32_list_map", Type::kMap, true, {key_value})});
  Schema schema{{make_field("info_name", Type::kUint32, false), value}};
  std::vector<ArrayBuilder> builders;
  for (const Field& field : schema.fields) builders.emplace_back(field);
  for (const auto& [code, info] : sql_info_values()) {
    if (command.info_size() > 0 &&
        std::find(command.info().begin(), command.info().end(), code) == command.info().end())
      continue;
    builders[0].integer(code);
    const int child = static_cast<int>(info.index());
    if (const auto* text = std::get_if<std::string>(&info))
      builders[1].child(child).bytes(*text);
    else if (const auto* flag = std::get_if<bool>(&info))
      builders[1].child(child).boolean(*flag);
    else if (const auto* big = std::get_if<int64_t>(&info))
      builders[1].child(child).integer(*big);
    else
      builders[1].child(child).integer(std::get<int32_t>(info));
    builders[1].end_union(child);
  }
  return build_table(std::move(schema), builders);
}

ResultTable catalogs(const std::vector<config::Table>& tables) {
  Schema schema{{make_field("catalog_name", Type::kUtf8, false)}};
  std::vector<ArrayBuilder> builders{ArrayBuilder(schema.fields[0])};
  std::set<std::string> names;
  for (const config::Table& t : tables) names.insert(t.catalog);
  for (const std::string& name : names) builders[0].bytes(name);
  return build_table(std::move(schema), builders);
}

ResultTable db_schemas(const std::vector<config::Table>& tables, const fsql::CommandGetDbSchemas& command) {
  Schema schema{
      {make_field("catalog_name", Type::kUtf8, true), make_field("db_schema_name", Type::kUtf8, false)}};
  std::vector<ArrayBuilder> builders{ArrayBuilder(schema.fields[0]), ArrayBuilder(schema.fields[1])};
  std::set<std::pair<std::string, std::string>> names;
  for (const config::Table& t : tables) {
    if (command.has_catalog() && command.catalog() != t.catalog) continue;
    if (command.has_db_schema_filter_pattern() && !matches_like(t.schema, command.db_schema_filter_pattern()))
      continue;
    names.emplace(t.catalog, t.schema);
  }
  for (const auto& [catalog, name] : names) {
    builders[0].bytes(catalog);
    builders[1].bytes(name);
  }
  return build_table(std::move(schema), builders);
}

namespace {

// The tables that the command selects, sorted by catalog, schema and name.
std::vector<const config::Table*> matching_tables(const std::vector<config::Table>& all,
                                                  const fsql::CommandGetTables& command) {
  std::vector<const config::Table*> matching;
  const auto& types = command.table_types();
  if (types.size() > 0 && std::find(types.begin(), types.end(), "TABLE") == types.end()) return matching;
  for (const config::Table& t : all) {
    if (command.has_catalog() && command.catalog() != t.catalog) continue;
    if (command.has_db_schema_filter_pattern() && !matches_like(t.schema, command.db_schema_filter_pattern()))
      continue;
    if (command.has_table_name_filter_pattern() && !matches_like(t.name, command.table_name_filter_pattern()))
      continue;
    matching.push_back(&t);
  }
  std::sort(matching.begin(), matching.end(), [](const config::Table* x, const config::Table* y) {
    return std::tie(x->catalog, x->schema, x->name) < std::tie(y->catalog, y->schema, y->name);
  });
  return matching;
}

std::string quote_identifier(const std::string& name) {
  std::string out = "\"";
  for (const char c : name) {
    if (c == '"') out += c;
    out += c;
  }
  return out + "\"";
}

}  // namespace

std::vector<std::string> table_statements(const std::vector<config::Table>& all,
                                          const fsql::CommandGetTables& command) {
  std::vector<std::string> out;
  for (const config::Table* t : matching_tables(all, command))
    out.push_back("SELECT * FROM " + quote_identifier(t->schema) + "." + quote_identifier(t->name));
  return out;
}

ResultTable tables(const std::vector<config::Table>& all, const fsql::CommandGetTables& command,
                   const std::vector<std::string>& schemas) {
  Schema schema{{make_field("catalog_name", Type::kUtf8, true),
                 make_field("db_schema_name", Type::kUtf8, true),
                 make_field("table_name", Type::kUtf8, false), make_field("table_type", Type::kUtf8, false)}};
  if (command.include_schema()) schema.fields.push_back(make_field("table_schema", Type::kBinary, false));
  std::vector<ArrayBuilder> builders;
  for (const Field& field : schema.fields) builders.emplace_back(field);
  // The configuration names the tables; their columns are known only from nodes.
  const std::string empty_schema = arrowipc::encapsulate(arrowipc::encode_schema({}));
  size_t index = 0;
  for (const config::Table* t : matching_tables(all, command)) {
    const std::string& encoded = index < schemas.size() ? schemas[index] : empty_schema;
    ++index;
    builders[0].bytes(t->catalog);
    builders[1].bytes(t->schema);
    builders[2].bytes(t->name);
    builders[3].bytes("TABLE");
    if (command.include_schema()) builders[4].bytes(encoded.empty() ? empty_schema : encoded);
  }
  return build_table(std::move(schema), builders);
}

ResultTable table_types() {
  Schema schema{{make_field("table_type", Type::kUtf8, false)}};
  std::vector<ArrayBuilder> builders{ArrayBuilder(schema.fields[0])};
  builders[0].bytes("TABLE");
  return build_table(std::move(schema), builders);
}

ResultTable xdbc_type_info(const fsql::CommandGetXdbcTypeInfo& command) {
  Field params =
      make_nested_field("create_params", Type::kList, true, {make_field("item", Type::kUtf8, false)});
  Schema schema{
      {make_field("type_name", Type::kUtf8, false), make_field("data_type", Type::kInt32, false),
       make_field("column_size", Type::kInt32, true), make_field("literal_prefix", Type::kUtf8, true),
       make_field("literal_suffix", Type::kUtf8, true), std::move(params),
       make_field("nullable", Type::kInt32, false), make_field("case_sensitive", Type::kBool, false),
       make_field("searchable", Type::kInt32, false), make_field("unsigned_attribute", Type::kBool, true),
       make_field("fixed_prec_scale", Type::kBool, false), make_field("auto_increment", Type::kBool, true),
       make_field("local_type_name", Type::kUtf8, true), make_field("minimum_scale", Type::kInt32, true),
       make_field("maximum_scale", Type::kInt32, true), make_field("sql_data_type", Type::kInt32, false),
       make_field("datetime_subcode", Type::kInt32, true), make_field("num_prec_radix", Type::kInt32, true),
       make_field("interval_precision", Type::kInt32, true)}};
  // The types that the gateway can write as literals and therefore accepts as parameters, with their XDBC
  // codes.
  struct TypeInfo {
    const char* name;
    int32_t code;
    int32_t size;
    const char *prefix, *suffix;
    int32_t radix;
  };
  static constexpr TypeInfo kTypes[] = {
      {"VARBINARY", -3, 0, "X'", "'", 0},          {"BIGINT", -5, 19, nullptr, nullptr, 10},
      {"BIT", -7, 1, nullptr, nullptr, 0},         {"INTEGER", 4, 10, nullptr, nullptr, 10},
      {"DOUBLE", 8, 53, nullptr, nullptr, 2},      {"VARCHAR", 12, 0, "'", "'", 0},
      {"TIMESTAMP", 93, 29, "TIMESTAMP '", "'", 0}};
  std::vector<ArrayBuilder> builders;
  for (const Field& field : schema.fields) builders.emplace_back(field);
  for (const TypeInfo& type : kTypes) {
    if (command.has_data_type() && command.data_type() != type.code) continue;
    const auto text = [&](size_t column_index, const char* value) {
      if (value == nullptr)
        builders[column_index].null();
      else
        builders[column_index].bytes(value);
    };
    const auto number = [&](size_t column_index, int32_t value) {
      if (value == 0)
        builders[column_index].null();
      else
        builders[column_index].integer(value);
    };
    const bool numeric = type.radix != 0;
    builders[0].bytes(type.name);
    builders[1].integer(type.code);
    number(2, type.size);
    text(3, type.prefix);
    text(4, type.suffix);
    builders[5].null();
    builders[6].integer(1);  // NULLABILITY_NULLABLE
    builders[7].boolean(type.code == 12);
    builders[8].integer(3);  // SEARCHABLE_FULL: in any WHERE clause
    if (numeric)
      builders[9].boolean(false);
    else
      builders[9].null();
    builders[10].boolean(false);
    builders[11].null();
    builders[12].null();
    builders[13].null();
    builders[14].null();
    builders[15].integer(type.code == 93 ? 9 : type.code);
    number(16, type.code == 93 ? 3 : 0);
    number(17, type.radix);
    builders[18].null();
  }
  return build_table(std::move(schema), builders);
}

namespace {

ResultTable empty_table(Schema schema) {
  std::vector<ArrayBuilder> builders;
  for (const Field& field : schema.fields) builders.emplace_back(field);
  return build_table(std::move(schema), builders);
}

}  // namespace

ResultTable empty_primary_keys() {
  return empty_table(
      {{make_field("catalog_name", Type::kUtf8, true), make_field("db_schema_name", Type::kUtf8, true),
        make_field("table_name", Type::kUtf8, false), make_field("column_name", Type::kUtf8, false),
        make_field("key_name", Type::kUtf8, true), make_field("key_sequence", Type::kInt32, false)}});
}

ResultTable empty_foreign_keys() {
  return empty_table(
      {{make_field("pk_catalog_name", Type::kUtf8, true), make_field("pk_db_schema_name", Type::kUtf8, true),
        make_field("pk_table_name", Type::kUtf8, false), make_field("pk_column_name", Type::kUtf8, false),
        make_field("fk_catalog_name", Type::kUtf8, true), make_field("fk_db_schema_name", Type::kUtf8, true),
        make_field("fk_table_name", Type::kUtf8, false), make_field("fk_column_name", Type::kUtf8, false),
        make_field("key_sequence", Type::kInt32, false), make_field("fk_key_name", Type::kUtf8, true),
        make_field("pk_key_name", Type::kUtf8, true), make_field("update_rule", Type::kUint8, false),
        make_field("delete_rule", Type::kUint8, false)}});
}

bool matches_like(std::string_view text, std::string_view pattern) {
  size_t t = 0;
  size_t p = 0;
  size_t last_percent = std::string_view::npos;
  size_t match_start = 0;
  while (t < text.size()) {
    if (p < pattern.size() && pattern[p] == '%') {
      last_percent = p++;
      match_start = t;
    } else if (p < pattern.size() && (pattern[p] == '_' || pattern[p] == text[t])) {
      ++p;
      ++t;
    } else if (last_percent != std::string_view::npos) {
      p = last_percent + 1;
      t = ++match_start;
    } else {
      return false;
    }
  }
  while (p < pattern.size() && pattern[p] == '%') ++p;
  return p == pattern.size();
}

}  // namespace sablelink::flightsql
