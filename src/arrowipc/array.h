// Columns and record batches in the Arrow columnar layout, and schemas that describe them. Source: the public
// columnar format specification, versions V4 and V5.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "workload/error.h"

namespace sablelink::arrowipc {

// Thrown for bytes that aren't what the format allows, and for types that aren't supported; names the place.
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
  kTimestamp,   // int64 since 1970, in the field's unit
  kList,        // one child: the items
  kStruct,      // its children
  kMap,         // one child: a struct of key and value
  kDenseUnion,  // its children; type ids are their positions
};
std::string_view type_name(Type type);

enum class TimeUnit { kSecond, kMillisecond, kMicrosecond, kNanosecond };

struct Field {
  std::string name;
  Type type = Type::kInt32;
  bool nullable = true;
  TimeUnit unit = TimeUnit::kMicrosecond;  // timestamps alone
  std::string timezone;                    // timestamps alone; empty: local time
  std::vector<Field> children;
  bool operator==(const Field&) const = default;
};

struct Schema {
  std::vector<Field> fields;
  bool operator==(const Schema&) const = default;
};

// One column in the format's own layout: which buffers are filled depends on the type. Numbers are
// little-endian; a bit map holds the lowest row in the lowest bit.
struct Array {
  Type type = Type::kInt32;
  int64_t length = 0;
  int64_t null_count = 0;
  std::string validity;  // a bit for each row, 1 where it has a value; empty: no nulls
  std::string offsets;   // utf8, binary, list, map: length + 1 int32; dense union: length int32
  std::string data;      // values, bytes of strings, or type ids of a union
  std::vector<Array> children;

  bool is_null(int64_t row) const;
  // Values of rows that aren't null. The type must match; rows are from 0 to length - 1.
  bool bool_at(int64_t row) const;
  int64_t integer_at(int64_t row) const;  // any integer type and timestamps
  double double_at(int64_t row) const;
  std::string_view bytes_at(int64_t row) const;  // utf8 and binary
};

struct Batch {
  int64_t rows = 0;
  std::vector<Array> columns;
};

// Appends rows to a column. Calls that don't fit the type throw FormatError.
class ArrayBuilder {
 public:
  explicit ArrayBuilder(const Field& field);

  void null();
  void boolean(bool value);
  void integer(int64_t value);  // throws where the type can't hold it
  void number(double value);
  void bytes(std::string_view value);
  // Lists and maps: ends the row whose items have been appended to child(0) since the last end.
  void end_list();
  // Structs: ends the row whose parts have been appended to the children.
  void end_struct();
  // Dense unions: the row is what has just been appended to the child.
  void end_union(int child);
  ArrayBuilder& child(size_t index) { return children_.at(index); }
  int64_t length() const { return array_.length; }
  Array finish();

 private:
  void row(bool valid);
  void want(bool fits, const char* what) const;

  Array array_;
  std::vector<ArrayBuilder> children_;
};

// One value of a row, as text formats and parameters need it.
using Value = std::variant<std::monostate, bool, int64_t, double, std::string>;
// The value of a flat column's row; nested types are written out as text.
Value value_at(const Array& array, const Field& field, int64_t row);

}  // namespace sablelink::arrowipc
