#include "nodes/content.h"

#include <algorithm>
#include <charconv>

#include "sql/statement.h"

namespace sablelink::nodes {
namespace {

using arrowipc::Field;
using arrowipc::Type;

constexpr int64_t kFirstTakenAtUs = 1'700'000'000'000'000;
constexpr int64_t kNullWeightInterval = 7;  // every seventh row has a null weight

bool equals_ignoring_case(std::string_view text, std::string_view lower) {
  return std::equal(text.begin(), text.end(), lower.begin(), lower.end(), [](char a, char b) {
    return (a >= 'A' && a <= 'Z' ? static_cast<char>(a - 'A' + 'a') : a) == b;
  });
}

std::string_view unqualified_name(std::string_view table) { return table.substr(table.rfind('.') + 1); }

// The items between SELECT and FROM, outside any parentheses.
std::vector<std::vector<sql::Token>> select_list(std::string_view statement) {
  std::vector<std::vector<sql::Token>> items;
  int depth = 0;
  bool in_select_list = false;
  for (const sql::Token& t : sql::tokenize(statement)) {
    if (t.text == ")") --depth;
    if (in_select_list && depth == 0 && t.kind == sql::TokenKind::kWord &&
        equals_ignoring_case(t.text, "from"))
      break;
    if (in_select_list && depth == 0 && t.text == ",")
      items.emplace_back();
    else if (in_select_list)
      items.back().push_back(t);
    if (!in_select_list && depth == 0 && t.kind == sql::TokenKind::kWord &&
        equals_ignoring_case(t.text, "select")) {
      in_select_list = true;
      items.emplace_back();
    }
    if (t.text == "(") ++depth;
  }
  return items;
}

}  // namespace

int TableCatalog::added_column_count(std::string_view table) const {
  const std::lock_guard lock(mutex_);
  const auto it = added_columns_.find(unqualified_name(table));
  return it == added_columns_.end() ? 0 : it->second;
}

void TableCatalog::apply_definition(std::string_view statement) {
  const sql::StatementInfo info = sql::analyze_statement(statement);
  if (info.kind != sql::StatementKind::kDefinition || info.tables.empty()) return;
  const std::lock_guard lock(mutex_);
  int& count = added_columns_[std::string(unqualified_name(info.tables[0]))];
  for (const sql::Token& t : sql::tokenize(statement)) {
    if (t.kind != sql::TokenKind::kWord) continue;
    if (equals_ignoring_case(t.text, "add")) ++count;
    if (equals_ignoring_case(t.text, "drop")) count = std::max(count - 1, 0);
  }
}

Content::Content(std::string_view statement, int added_columns) {
  const StatementHint hint = read_hint(statement);
  rows_ = hint.rows;
  min_text_bytes_ = hint.min_text_bytes;
  statement_crc_.process_bytes(statement.data(), statement.size());
  statement_crc_.process_byte('#');
  const std::vector<std::vector<sql::Token>> items = select_list(statement);
  int number = 0;
  const auto add_all_columns = [&] {
    add_column(ColumnKind::kId, "id", 0);
    add_column(ColumnKind::kLabel, "label", 0);
    add_column(ColumnKind::kWeight, "weight", 0);
    add_column(ColumnKind::kTakenAt, "taken_at", 0);
    for (int i = 1; i <= added_columns; ++i) add_column(ColumnKind::kAdded, "added_" + std::to_string(i), i);
  };
  for (const std::vector<sql::Token>& item : items) {
    ++number;
    if (item.empty()) continue;
    const std::string_view first_text = item[0].text;
    const std::string name = "column_" + std::to_string(number);
    if (item.size() == 1 && first_text == "*")
      add_all_columns();
    else if (item.size() == 1 && equals_ignoring_case(first_text, "id"))
      add_column(ColumnKind::kId, std::string(first_text), 0);
    else if (item.size() == 1 && equals_ignoring_case(first_text, "label"))
      add_column(ColumnKind::kLabel, std::string(first_text), 0);
    else if (item.size() == 1 && equals_ignoring_case(first_text, "weight"))
      add_column(ColumnKind::kWeight, std::string(first_text), 0);
    else if (item.size() == 1 && equals_ignoring_case(first_text, "taken_at"))
      add_column(ColumnKind::kTakenAt, std::string(first_text), 0);
    else if (item[0].kind == sql::TokenKind::kString)
      add_column(ColumnKind::kText, name, number);
    else
      add_column(ColumnKind::kNumber, name, number);
  }
  if (columns_.empty()) add_all_columns();
}

void Content::add_column(ColumnKind column, std::string name, int number) {
  Field f;
  f.name = std::move(name);
  f.nullable = column != ColumnKind::kId;
  switch (column) {
    case ColumnKind::kLabel:
    case ColumnKind::kText:
      f.type = Type::kUtf8;
      break;
    case ColumnKind::kWeight:
      f.type = Type::kDouble;
      break;
    case ColumnKind::kTakenAt:
      f.type = Type::kTimestamp;
      f.timezone = "UTC";
      break;
    case ColumnKind::kId:
    case ColumnKind::kAdded:
    case ColumnKind::kNumber:
      f.type = Type::kInt64;
      break;
  }
  schema_.fields.push_back(std::move(f));
  columns_.emplace_back(column, number);
}

// The CRC-32 of zlib over the statement, "#" and the row's number.
uint32_t Content::row_checksum(int64_t row) const {
  char digits[24];
  const char* const end = std::to_chars(digits, digits + sizeof(digits), row).ptr;
  boost::crc_32_type sum = statement_crc_;
  sum.process_bytes(digits, static_cast<size_t>(end - digits));
  return sum.checksum();
}

// "gallery ROW CHECKSUM", followed by " last of ROWS" in the last row, and padded with dots to the minimum
// length. Formatted without streams, as it runs for every row of every simulated response.
std::string Content::label(int64_t row) const {
  static constexpr char kHex[] = "0123456789abcdef";
  char text[96] = "gallery ";
  char* at = std::to_chars(text + 8, text + 40, row).ptr;
  *at++ = ' ';
  const uint32_t sum = row_checksum(row);
  for (int shift = 28; shift >= 0; shift -= 4) *at++ = kHex[sum >> shift & 15];
  if (row + 1 == rows_) {
    constexpr std::string_view kLast = " last of ";
    at = std::copy(kLast.begin(), kLast.end(), at);
    at = std::to_chars(at, text + sizeof(text), rows_).ptr;
  }
  std::string out(text, static_cast<size_t>(at - text));
  if (out.size() < min_text_bytes_) out.resize(min_text_bytes_, '.');
  return out;
}

int64_t Content::integer_value(size_t column, int64_t row) const {
  const auto& [kind, number] = columns_[column];
  switch (kind) {
    case ColumnKind::kId:
      return row;
    case ColumnKind::kTakenAt:
      return kFirstTakenAtUs + row;
    case ColumnKind::kAdded:
      return 1000 * row + number;
    default:
      return static_cast<int64_t>(row_checksum(row)) + number;
  }
}

arrowipc::Batch Content::batch(int64_t first, int64_t count) const {
  std::vector<arrowipc::ArrayBuilder> builders;
  for (const Field& f : schema_.fields) builders.emplace_back(f);
  for (int64_t row = first; row < first + count; ++row) {
    for (size_t c = 0; c < columns_.size(); ++c) {
      const ColumnKind kind = columns_[c].first;
      if (kind == ColumnKind::kLabel || kind == ColumnKind::kText)
        builders[c].bytes(label(row));
      else if (kind != ColumnKind::kWeight)
        builders[c].integer(integer_value(c, row));
      else if (row % kNullWeightInterval == kNullWeightInterval - 1)
        builders[c].null();
      else
        builders[c].number(0.5 * static_cast<double>(row));
    }
  }
  arrowipc::Batch out;
  out.rows = count;
  for (arrowipc::ArrayBuilder& b : builders) out.columns.push_back(b.finish());
  return out;
}

bool Content::row_matches(const arrowipc::Batch& batch, int64_t batch_row, int64_t row) const {
  if (batch.columns.size() != columns_.size()) return false;
  for (size_t c = 0; c < columns_.size(); ++c) {
    const arrowipc::Array& column = batch.columns[c];
    const ColumnKind kind = columns_[c].first;
    const bool expect_null =
        kind == ColumnKind::kWeight && row % kNullWeightInterval == kNullWeightInterval - 1;
    if (column.is_null(batch_row) != expect_null) return false;
    if (expect_null) continue;
    if (kind == ColumnKind::kLabel || kind == ColumnKind::kText) {
      if (column.bytes_at(batch_row) != label(row)) return false;
    } else if (kind == ColumnKind::kWeight) {
      if (column.double_at(batch_row) != 0.5 * static_cast<double>(row)) return false;
    } else if (column.integer_at(batch_row) != integer_value(c, row)) {
      return false;
    }
  }
  return true;
}

void ResponseCheck::on_batch(const arrowipc::Schema& schema, const arrowipc::Batch& batch) {
  if (!error_.empty()) return;
  if (content_.empty()) {
    // The statement doesn't determine how many columns were added to its table, so take that from the schema.
    const auto added_columns = std::count_if(schema.fields.begin(), schema.fields.end(), [](const Field& f) {
      return std::string_view(f.name).starts_with("added_");
    });
    content_.emplace_back(statement_, static_cast<int>(added_columns));
    if (content_[0].schema() != schema) {
      error_ = "its columns are those of another statement";
      return;
    }
  }
  const Content& content = content_[0];
  for (int64_t batch_row = 0; batch_row < batch.rows; ++batch_row, ++next_row_) {
    if (next_row_ >= content.rows()) {
      error_ = "it goes on after its last row, " + std::to_string(content.rows());
      return;
    }
    if (!content.row_matches(batch, batch_row, next_row_)) {
      error_ = "row " + std::to_string(next_row_) + " is another row, or another statement's";
      return;
    }
  }
}

std::string ResponseCheck::error(bool served) const {
  if (!error_.empty() || !served) return error_;
  const int64_t rows = read_hint(statement_).rows;
  if (content_.empty()) return "it holds no batch";
  if (next_row_ != rows)
    return "it ends after " + std::to_string(next_row_) + " of " + std::to_string(rows) + " rows";
  return "";
}

std::string ResponseCheck::update_error(std::string_view statement, int64_t updated) {
  const int64_t rows = read_hint(statement).rows;
  if (updated == rows) return "";
  return "it counts " + std::to_string(updated) + " rows, not " + std::to_string(rows);
}

}  // namespace sablelink::nodes
