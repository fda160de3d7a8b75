#include "nodes/content.h"

#include <algorithm>
#include <charconv>

#include "sql/statement.h"

namespace sablelink::nodes {
namespace {

using arrowipc::Field;
using arrowipc::Type;

constexpr int64_t kTakenFrom = 1'700'000'000'000'000;
constexpr int64_t kNoWeightEach = 7;  // each seventh row has none

bool same_word(std::string_view text, std::string_view lower) {
  return std::equal(text.begin(), text.end(), lower.begin(), lower.end(), [](char a, char b) {
    return (a >= 'A' && a <= 'Z' ? static_cast<char>(a - 'A' + 'a') : a) == b;
  });
}

std::string_view own_name(std::string_view table) { return table.substr(table.rfind('.') + 1); }

// The items between SELECT and FROM, at depth 0.
std::vector<std::vector<sql::Token>> select_list(std::string_view statement) {
  std::vector<std::vector<sql::Token>> items;
  int depth = 0;
  bool inside = false;
  for (const sql::Token& t : sql::tokenize(statement)) {
    if (t.text == ")") --depth;
    if (inside && depth == 0 && t.kind == sql::TokenKind::kWord && same_word(t.text, "from")) break;
    if (inside && depth == 0 && t.text == ",")
      items.emplace_back();
    else if (inside)
      items.back().push_back(t);
    if (!inside && depth == 0 && t.kind == sql::TokenKind::kWord && same_word(t.text, "select")) {
      inside = true;
      items.emplace_back();
    }
    if (t.text == "(") ++depth;
  }
  return items;
}

}  // namespace

int Tables::added(std::string_view table) const {
  const std::lock_guard lock(mutex_);
  const auto it = added_.find(own_name(table));
  return it == added_.end() ? 0 : it->second;
}

void Tables::define(std::string_view statement) {
  const sql::StatementInfo info = sql::inspect(statement);
  if (info.kind != sql::StatementKind::kDefinition || info.tables.empty()) return;
  const std::lock_guard lock(mutex_);
  int& added = added_[std::string(own_name(info.tables[0]))];
  for (const sql::Token& t : sql::tokenize(statement)) {
    if (t.kind != sql::TokenKind::kWord) continue;
    if (same_word(t.text, "add")) ++added;
    if (same_word(t.text, "drop")) added = std::max(added - 1, 0);
  }
}

Content::Content(std::string_view statement, int added) {
  const StatementHint hint = read_hint(statement);
  rows_ = hint.rows;
  row_bytes_ = hint.row_bytes;
  begun_.process_bytes(statement.data(), statement.size());
  begun_.process_byte('#');
  const std::vector<std::vector<sql::Token>> items = select_list(statement);
  int number = 0;
  const auto all = [&] {
    add(Column::kId, "id", 0);
    add(Column::kLabel, "label", 0);
    add(Column::kWeight, "weight", 0);
    add(Column::kTakenAt, "taken_at", 0);
    for (int i = 1; i <= added; ++i) add(Column::kAdded, "added_" + std::to_string(i), i);
  };
  for (const std::vector<sql::Token>& item : items) {
    ++number;
    if (item.empty()) continue;
    const std::string_view word = item[0].text;
    const std::string name = "column_" + std::to_string(number);
    if (item.size() == 1 && word == "*")
      all();
    else if (item.size() == 1 && same_word(word, "id"))
      add(Column::kId, std::string(word), 0);
    else if (item.size() == 1 && same_word(word, "label"))
      add(Column::kLabel, std::string(word), 0);
    else if (item.size() == 1 && same_word(word, "weight"))
      add(Column::kWeight, std::string(word), 0);
    else if (item.size() == 1 && same_word(word, "taken_at"))
      add(Column::kTakenAt, std::string(word), 0);
    else if (item[0].kind == sql::TokenKind::kString)
      add(Column::kText, name, number);
    else
      add(Column::kNumber, name, number);
  }
  if (columns_.empty()) all();
}

void Content::add(Column column, std::string name, int number) {
  Field f;
  f.name = std::move(name);
  f.nullable = column != Column::kId;
  switch (column) {
    case Column::kLabel:
    case Column::kText:
      f.type = Type::kUtf8;
      break;
    case Column::kWeight:
      f.type = Type::kDouble;
      break;
    case Column::kTakenAt:
      f.type = Type::kTimestamp;
      f.timezone = "UTC";
      break;
    case Column::kId:
    case Column::kAdded:
    case Column::kNumber:
      f.type = Type::kInt64;
      break;
  }
  schema_.fields.push_back(std::move(f));
  columns_.emplace_back(column, number);
}

// The CRC-32 that zlib also computes, over the statement, "#" and the row's number.
uint32_t Content::mark(int64_t row) const {
  char digits[24];
  const char* const end = std::to_chars(digits, digits + sizeof(digits), row).ptr;
  boost::crc_32_type sum = begun_;
  sum.process_bytes(digits, static_cast<size_t>(end - digits));
  return sum.checksum();
}

// "gallery ROW MARK", and of the last row " last of ROWS". Made for every row of every simulated answer, so
// it is put together by hand.
std::string Content::label(int64_t row) const {
  static constexpr char kHex[] = "0123456789abcdef";
  char text[96] = "gallery ";
  char* at = std::to_chars(text + 8, text + 40, row).ptr;
  *at++ = ' ';
  const uint32_t sum = mark(row);
  for (int shift = 28; shift >= 0; shift -= 4) *at++ = kHex[sum >> shift & 15];
  if (row + 1 == rows_) {
    constexpr std::string_view kLast = " last of ";
    at = std::copy(kLast.begin(), kLast.end(), at);
    at = std::to_chars(at, text + sizeof(text), rows_).ptr;
  }
  std::string out(text, static_cast<size_t>(at - text));
  if (out.size() < row_bytes_) out.resize(row_bytes_, '.');
  return out;
}

int64_t Content::integer(size_t column, int64_t row) const {
  const auto& [kind, number] = columns_[column];
  switch (kind) {
    case Column::kId:
      return row;
    case Column::kTakenAt:
      return kTakenFrom + row;
    case Column::kAdded:
      return 1000 * row + number;
    default:
      return static_cast<int64_t>(mark(row)) + number;
  }
}

arrowipc::Batch Content::batch(int64_t first, int64_t count) const {
  std::vector<arrowipc::ArrayBuilder> builders;
  for (const Field& f : schema_.fields) builders.emplace_back(f);
  for (int64_t row = first; row < first + count; ++row) {
    for (size_t c = 0; c < columns_.size(); ++c) {
      const Column kind = columns_[c].first;
      if (kind == Column::kLabel || kind == Column::kText)
        builders[c].bytes(label(row));
      else if (kind != Column::kWeight)
        builders[c].integer(integer(c, row));
      else if (row % kNoWeightEach == kNoWeightEach - 1)
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

bool Content::holds(const arrowipc::Batch& batch, int64_t at, int64_t number) const {
  if (batch.columns.size() != columns_.size()) return false;
  for (size_t c = 0; c < columns_.size(); ++c) {
    const arrowipc::Array& column = batch.columns[c];
    const Column kind = columns_[c].first;
    const bool empty = kind == Column::kWeight && number % kNoWeightEach == kNoWeightEach - 1;
    if (column.is_null(at) != empty) return false;
    if (empty) continue;
    if (kind == Column::kLabel || kind == Column::kText) {
      if (column.bytes_at(at) != label(number)) return false;
    } else if (kind == Column::kWeight) {
      if (column.double_at(at) != 0.5 * static_cast<double>(number)) return false;
    } else if (column.integer_at(at) != integer(c, number)) {
      return false;
    }
  }
  return true;
}

void AnswerCheck::on_batch(const arrowipc::Schema& schema, const arrowipc::Batch& batch) {
  if (!fault_.empty()) return;
  if (content_.empty()) {
    // How often its table was altered is not the statement's to tell: the schema says it.
    const auto added = std::count_if(schema.fields.begin(), schema.fields.end(), [](const Field& f) {
      return std::string_view(f.name).starts_with("added_");
    });
    content_.emplace_back(statement_, static_cast<int>(added));
    if (content_[0].schema() != schema) {
      fault_ = "its columns are those of another statement";
      return;
    }
  }
  const Content& content = content_[0];
  for (int64_t at = 0; at < batch.rows; ++at, ++next_) {
    if (next_ >= content.rows()) {
      fault_ = "it goes on after its last row, " + std::to_string(content.rows());
      return;
    }
    if (!content.holds(batch, at, next_)) {
      fault_ = "row " + std::to_string(next_) + " is another row, or another statement's";
      return;
    }
  }
}

std::string AnswerCheck::fault(bool served) const {
  if (!fault_.empty() || !served) return fault_;
  const int64_t rows = read_hint(statement_).rows;
  if (content_.empty()) return "it holds no batch";
  if (next_ != rows)
    return "it ends after " + std::to_string(next_) + " of " + std::to_string(rows) + " rows";
  return "";
}

std::string AnswerCheck::update_fault(std::string_view statement, int64_t updated) {
  const int64_t rows = read_hint(statement).rows;
  if (updated == rows) return "";
  return "it counts " + std::to_string(updated) + " rows, not " + std::to_string(rows);
}

}  // namespace sablelink::nodes
