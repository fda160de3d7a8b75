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

namespace {

// Those that the command asks for, in the order in which they are told.
std::vector<const config::Table*> wanted(const std::vector<config::Table>& all,
                                         const fsql::CommandGetTables& command) {
  std::vector<const config::Table*> found;
  const auto& types = command.table_types();
  if (types.size() > 0 && std::find(types.begin(), types.end(), "TABLE") == types.end()) return found;
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
  return found;
}

std::string quoted(const std::string& name) {
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
  for (const config::Table* t : wanted(all, command))
    out.push_back("SELECT * FROM " + quoted(t->schema) + "." + quoted(t->name));
  return out;
}

ResultTable tables(const std::vector<config::Table>& all, const fsql::CommandGetTables& command,
                   const std::vector<std::string>& schemas) {
  Schema schema{{column("catalog_name", Type::kUtf8, true), column("db_schema_name", Type::kUtf8, true),
                 column("table_name", Type::kUtf8, false), column("table_type", Type::kUtf8, false)}};
  if (command.include_schema()) schema.fields.push_back(column("table_schema", Type::kBinary, false));
  std::vector<ArrayBuilder> b;
  for (const Field& f : schema.fields) b.emplace_back(f);
  // The gateway knows which tables there are; their columns are the nodes' to tell.
  const std::string unknown = arrowipc::encapsulate(arrowipc::encode_schema({}));
  size_t at = 0;
  for (const config::Table* t : wanted(all, command)) {
    const std::string& known = at < schemas.size() ? schemas[at] : unknown;
    ++at;
    b[0].bytes(t->catalog);
    b[1].bytes(t->schema);
    b[2].bytes(t->name);
    b[3].bytes("TABLE");
    if (command.include_schema()) b[4].bytes(known.empty() ? unknown : known);
  }
  return finish(std::move(schema), b);
}

ResultTable table_types() {
  Schema schema{{column("table_type", Type::kUtf8, false)}};
  std::vector<ArrayBuilder> b{ArrayBuilder(schema.fields[0])};
  b[0].bytes("TABLE");
  return finish(std::move(schema), b);
}

ResultTable xdbc_type_info(const fsql::CommandGetXdbcTypeInfo& command) {
  Field params = nested("create_params", Type::kList, true, {column("item", Type::kUtf8, false)});
  Schema schema{{column("type_name", Type::kUtf8, false), column("data_type", Type::kInt32, false),
                 column("column_size", Type::kInt32, true), column("literal_prefix", Type::kUtf8, true),
                 column("literal_suffix", Type::kUtf8, true), std::move(params),
                 column("nullable", Type::kInt32, false), column("case_sensitive", Type::kBool, false),
                 column("searchable", Type::kInt32, false), column("unsigned_attribute", Type::kBool, true),
                 column("fixed_prec_scale", Type::kBool, false), column("auto_increment", Type::kBool, true),
                 column("local_type_name", Type::kUtf8, true), column("minimum_scale", Type::kInt32, true),
                 column("maximum_scale", Type::kInt32, true), column("sql_data_type", Type::kInt32, false),
                 column("datetime_subcode", Type::kInt32, true), column("num_prec_radix", Type::kInt32, true),
                 column("interval_precision", Type::kInt32, true)}};
  // What the gateway itself can write as a literal, and so takes as a parameter. Codes are XDBC's.
  struct Known {
    const char* name;
    int32_t code;
    int32_t size;
    const char *prefix, *suffix;
    int32_t radix;
  };
  static constexpr Known kKnown[] = {
      {"VARBINARY", -3, 0, "X'", "'", 0},          {"BIGINT", -5, 19, nullptr, nullptr, 10},
      {"BIT", -7, 1, nullptr, nullptr, 0},         {"INTEGER", 4, 10, nullptr, nullptr, 10},
      {"DOUBLE", 8, 53, nullptr, nullptr, 2},      {"VARCHAR", 12, 0, "'", "'", 0},
      {"TIMESTAMP", 93, 29, "TIMESTAMP '", "'", 0}};
  std::vector<ArrayBuilder> b;
  for (const Field& f : schema.fields) b.emplace_back(f);
  for (const Known& k : kKnown) {
    if (command.has_data_type() && command.data_type() != k.code) continue;
    const auto text = [&](size_t c, const char* value) {
      if (value == nullptr)
        b[c].null();
      else
        b[c].bytes(value);
    };
    const auto number = [&](size_t c, int32_t value) {
      if (value == 0)
        b[c].null();
      else
        b[c].integer(value);
    };
    const bool numeric = k.radix != 0;
    b[0].bytes(k.name);
    b[1].integer(k.code);
    number(2, k.size);
    text(3, k.prefix);
    text(4, k.suffix);
    b[5].null();
    b[6].integer(1);  // nullable
    b[7].boolean(k.code == 12);
    b[8].integer(3);  // in every WHERE
    if (numeric)
      b[9].boolean(false);
    else
      b[9].null();
    b[10].boolean(false);
    b[11].null();
    b[12].null();
    b[13].null();
    b[14].null();
    b[15].integer(k.code == 93 ? 9 : k.code);
    number(16, k.code == 93 ? 3 : 0);
    number(17, k.radix);
    b[18].null();
  }
  return finish(std::move(schema), b);
}

namespace {

ResultTable nothing(Schema schema) {
  std::vector<ArrayBuilder> b;
  for (const Field& f : schema.fields) b.emplace_back(f);
  return finish(std::move(schema), b);
}

}  // namespace

ResultTable no_primary_keys() {
  return nothing({{column("catalog_name", Type::kUtf8, true), column("db_schema_name", Type::kUtf8, true),
                   column("table_name", Type::kUtf8, false), column("column_name", Type::kUtf8, false),
                   column("key_name", Type::kUtf8, true), column("key_sequence", Type::kInt32, false)}});
}

ResultTable no_foreign_keys() {
  return nothing(
      {{column("pk_catalog_name", Type::kUtf8, true), column("pk_db_schema_name", Type::kUtf8, true),
        column("pk_table_name", Type::kUtf8, false), column("pk_column_name", Type::kUtf8, false),
        column("fk_catalog_name", Type::kUtf8, true), column("fk_db_schema_name", Type::kUtf8, true),
        column("fk_table_name", Type::kUtf8, false), column("fk_column_name", Type::kUtf8, false),
        column("key_sequence", Type::kInt32, false), column("fk_key_name", Type::kUtf8, true),
        column("pk_key_name", Type::kUtf8, true), column("update_rule", Type::kUint8, false),
        column("delete_rule", Type::kUint8, false)}});
}

bool like(std::string_view text, std::string_view pattern) {
  size_t t = 0;
  size_t p = 0;
  size_t star = std::string_view::npos;
  size_t from = 0;
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
