// What a stand-in node answers to a statement, and the check that an answer read is that, whole. Both follow
// from the statement's text alone: every row's values are drawn from it and the row's number, and the last
// row says how many there are. So a reader that knows only what it asked can tell a row that is missing,
// doubled, out of order or of another statement.
//
// The columns: the select list's, as far as it is understood. "*" stands for id, label, weight, taken_at and
// whatever columns the table was given since ("added_1", ...); a literal or another expression for a column
// of its own, whose type is the literal's.
#pragma once

#include <boost/crc.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "arrowipc/array.h"
#include "nodes/node_config.h"

namespace sablelink::nodes {

// The tables of a fleet of stand-ins, as one catalogue that all of them read; from any thread. A table goes
// by its own name, whatever schema is named with it.
class Tables {
 public:
  // Columns added to the table so far.
  int added(std::string_view table) const;
  // Carries out ALTER TABLE ... ADD or ... DROP, and passes over all else.
  void define(std::string_view statement);

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int, std::less<>> added_;
};

class Content {
 public:
  // added: columns that its table has been given.
  Content(std::string_view statement, int added);

  const arrowipc::Schema& schema() const { return schema_; }
  int64_t rows() const { return rows_; }
  size_t row_bytes() const { return row_bytes_; }  // of a row's text, at least
  arrowipc::Batch batch(int64_t first, int64_t count) const;
  // Whether a row of a batch, as read, is the row of the number. Columns are those of the schema.
  bool holds(const arrowipc::Batch& batch, int64_t at, int64_t number) const;

 private:
  enum class Column { kId, kLabel, kWeight, kTakenAt, kAdded, kNumber, kText };

  void add(Column column, std::string name, int number);
  uint32_t mark(int64_t row) const;
  std::string label(int64_t row) const;
  int64_t integer(size_t column, int64_t row) const;

  arrowipc::Schema schema_;
  std::vector<std::pair<Column, int>> columns_;  // and a number within its kind
  int64_t rows_ = 0;
  size_t row_bytes_ = 0;
  boost::crc_32_type begun_;  // a mark's sum, over the statement so far
};

// Reads one answer, batch by batch.
class AnswerCheck {
 public:
  explicit AnswerCheck(std::string statement) : statement_(std::move(statement)) {}

  void on_batch(const arrowipc::Schema& schema, const arrowipc::Batch& batch);
  // What is wrong with the answer that has ended so; empty where nothing is. One that wasn't served must be
  // the beginning of one that would have been.
  std::string fault(bool served) const;
  // The same for an update's count.
  static std::string update_fault(std::string_view statement, int64_t updated);

  int64_t rows() const { return next_; }

 private:
  const std::string statement_;
  std::vector<Content> content_;  // one, once the schema is known
  int64_t next_ = 0;
  std::string fault_;
};

}  // namespace sablelink::nodes
