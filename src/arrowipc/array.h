// Columns and record batches in the Arrow columnar layout, and the schemas that describe them, implemented
// from the public columnar format specification, versions V4 and V5.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "workload/error.h"

namespace sablelink::arrowipc {

// Thrown for bytes that violate the format and for unsupported types; the message names the field or column.
struct FormatError : Error {
  using Error::Error;
};

enum class Type {
  kNull,
  kBool,
  kInt32,
  kInt64,
  kUint8,
  kUint32,
  kDouble,
  kUtf8,
  kBinary,
  kTimestamp,   // int64 since the Unix epoch, in the field's unit
  kList,        // one child: the items
  kStruct,      // the children are its fields
  kMap,         // one child: a struct of key and value
  kDenseUnion,  // the children are its alternatives; type ids are their positions
};
std::string_view type_name(Type type);

enum class TimeUnit { kSecond, kMillisecond, kMicrosecond, kNanosecond };

struct Field {
  std::string name;
  Type type = Type::kInt32;
  bool nullable = true;
  TimeUnit unit = TimeUnit::kMicrosecond;  // of timestamps
  std::string timezone;                    // of timestamps; empty: local time
  std::vector<Field> children;
  bool operator==(const Field&) const = default;
};

struct Schema {
  std::vector<Field> fields;
  bool operator==(const Schema&) const = default;
};

// One column in the format's memory layout. The type determines which buffers are used. Numbers are
// little-endian; bit maps store the lowest row in the least significant bit.
struct Array {
  Type type = Type::kInt32;
  int64_t length = 0;
  int64_t null_count = 0;
  std::string validity;  // one bit per row, 0 for a null; empty if there are no nulls
  std::string offsets;   // int32: length + 1 of utf8, binary, list and map; length of dense union
  std::string data;      // values, bytes of strings, or type ids of a union
  std::vector<Array> children;

  bool is_null(int64_t row) const;
  // The following require a row between 0 and length - 1 that isn't null, and a column of the matching type.
  bool bool_at(int64_t row) const;
  int64_t integer_at(int64_t row) const;  // integer types and timestamps
  double double_at(int64_t row) const;
  std::string_view bytes_at(int64_t row) const;  // utf8 and binary
};

struct Batch {
  int64_t rows = 0;
  std::vector<Array> columns;
};

// Appends rows to a column. Throws FormatError for values that don't fit the column's type.
class ArrayBuilder {
 public:
  explicit ArrayBuilder(const Field& field);

  void null();
  void boolean(bool value);
  void integer(int64_t value);  // throws if it is out of the type's range
  void number(double value);
  void bytes(std::string_view value);
  // Lists and maps: completes a row of the items appended to child(0) since the previous row.
  void end_list();
  // Structs: completes a row of the values appended to the children.
  void end_struct();
  // Dense unions: completes a row of the value appended last to the given child.
  void end_union(int child);
  ArrayBuilder& child(size_t index) { return children_.at(index); }
  int64_t length() const { return array_.length; }
  Array finish();

 private:
  void append_row(bool valid);
  void require(bool condition, const char* what) const;

  Array array_;
  std::vector<ArrayBuilder> children_;
};

// One value of a column, for text output and for statement parameters.
using Value = std::variant<std::monostate, bool, int64_t, double, std::string>;
// Returns the value at a row; values of nested types are formatted as text.
Value value_at(const Array& array, const Field& field, int64_t row);

}  // namespace sablelink::arrowipc
