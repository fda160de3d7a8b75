// Generates a stand-in node's response to a statement, and checks that a response received is complete and
// correct. The content depends only on the statement's text: every row's values are computed from the text
// and the row's number, and the last row contains the number of rows. A reader that knows only the statement
// can thus detect rows that are missing, duplicated, out of order or from the response to another statement.
//
// The columns follow the select list. "*" stands for id, label, weight, taken_at and the columns that were
// added to the table ("added_1", ...). A string literal becomes a text column and any other expression an
// integer column.
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

// The tables that all stand-in nodes of a fleet share. Thread-safe. Tables are identified by their
// unqualified names; a schema or catalog in front of the name is ignored.
class TableCatalog {
 public:
  // The number of columns that the table has beyond the initial ones.
  int added_column_count(std::string_view table) const;
  // Applies a data definition statement: every ADD in it adds a column and every DROP removes one. Ignores
  // all other statements.
  void apply_definition(std::string_view statement);

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int, std::less<>> added_columns_;
};

class Content {
 public:
  // added_columns: see TableCatalog::added_column_count() for the statement's table.
  Content(std::string_view statement, int added_columns);

  const arrowipc::Schema& schema() const { return schema_; }
  int64_t rows() const { return rows_; }
  size_t min_text_bytes() const { return min_text_bytes_; }
  arrowipc::Batch batch(int64_t first, int64_t count) const;
  // Whether the row at batch_row of a received batch equals the row with this number. The batch must have the
  // columns of schema().
  bool row_matches(const arrowipc::Batch& batch, int64_t batch_row, int64_t row) const;

 private:
  enum class ColumnKind { kId, kLabel, kWeight, kTakenAt, kAdded, kNumber, kText };

  void add_column(ColumnKind column, std::string name, int number);
  uint32_t row_checksum(int64_t row) const;
  std::string label(int64_t row) const;
  int64_t integer_value(size_t column, int64_t row) const;

  arrowipc::Schema schema_;
  // The kind of each column and a number that distinguishes the values of columns of the same kind.
  std::vector<std::pair<ColumnKind, int>> columns_;
  int64_t rows_ = 0;
  size_t min_text_bytes_ = 0;
  boost::crc_32_type statement_crc_;  // over the statement and "#", the common beginning of all row checksums
};

// Checks one response, batch by batch.
class ResponseCheck {
 public:
  explicit ResponseCheck(std::string statement) : statement_(std::move(statement)) {}

  void on_batch(const arrowipc::Schema& schema, const arrowipc::Batch& batch);
  // Describes the first error found in the response after its end; empty if there is none. A response that
  // was not served completely must be the beginning of a correct one.
  std::string error(bool served) const;
  // The same for the number of rows that an update reports.
  static std::string update_error(std::string_view statement, int64_t updated);

  int64_t rows() const { return next_row_; }

 private:
  const std::string statement_;
  std::vector<Content> content_;  // empty until the first batch gives the schema, then one element
  int64_t next_row_ = 0;
  std::string error_;
};

}  // namespace sablelink::nodes
