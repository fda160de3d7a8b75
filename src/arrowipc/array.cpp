#include "arrowipc/array.h"

#include <array>
#include <bit>
#include <cstring>
#include <limits>
#include <utility>

namespace sablelink::arrowipc {
namespace {

static_assert(std::endian::native == std::endian::little,
              "values are copied to and from buffers without conversion");

template <typename T>
T load(const std::string& buffer, int64_t index) {
  T value;
  std::memcpy(&value, buffer.data() + index * sizeof(T), sizeof(T));
  return value;
}

template <typename T>
void store(std::string& buffer, T value) {
  buffer.append(reinterpret_cast<const char*>(&value), sizeof(T));
}

bool bit_at(const std::string& bits, int64_t index) { return (bits[index / 8] >> (index % 8)) & 1; }

void append_bit(std::string& bits, int64_t index, bool value) {
  if (index % 8 == 0) bits.push_back('\0');
  if (value) bits.back() = static_cast<char>(bits.back() | (1 << (index % 8)));
}

bool has_offsets(Type type) {
  return type == Type::kUtf8 || type == Type::kBinary || type == Type::kList || type == Type::kMap;
}

}  // namespace

std::string_view type_name(Type type) {
  static constexpr std::array<std::string_view, 14> kNames = {
      "null", "bool",   "int32",     "int64", "uint8",  "uint32", "double",
      "utf8", "binary", "timestamp", "list",  "struct", "map",    "dense union"};
  return kNames[static_cast<size_t>(type)];
}

bool Array::is_null(int64_t row) const {
  if (type == Type::kNull) return true;
  return !validity.empty() && !bit_at(validity, row);
}

bool Array::bool_at(int64_t row) const { return bit_at(data, row); }

int64_t Array::integer_at(int64_t row) const {
  switch (type) {
    case Type::kInt32:
      return load<int32_t>(data, row);
    case Type::kUint8:
      return load<uint8_t>(data, row);
    case Type::kUint32:
      return load<uint32_t>(data, row);
    default:
      return load<int64_t>(data, row);
  }
}

double Array::double_at(int64_t row) const { return load<double>(data, row); }

std::string_view Array::bytes_at(int64_t row) const {
  const auto begin = load<int32_t>(offsets, row);
  const auto end = load<int32_t>(offsets, row + 1);
  return std::string_view(data).substr(begin, end - begin);
}

ArrayBuilder::ArrayBuilder(const Field& field) {
  array_.type = field.type;
  if (has_offsets(field.type)) store<int32_t>(array_.offsets, 0);
  for (const Field& child : field.children) children_.emplace_back(child);
}

void ArrayBuilder::require(bool condition, const char* what) const {
  if (!condition)
    throw FormatError(std::string("a ") + what + " can't go into a column of " +
                      std::string(type_name(array_.type)));
}

void ArrayBuilder::append_row(bool valid) {
  if (!valid && array_.null_count == 0) {  // the bit map is created at the first null
    for (int64_t i = 0; i < array_.length; ++i) append_bit(array_.validity, i, true);
  }
  if (!valid) ++array_.null_count;
  if (array_.null_count > 0) append_bit(array_.validity, array_.length, valid);
  ++array_.length;
}

void ArrayBuilder::null() {
  require(array_.type != Type::kDenseUnion, "null");
  switch (array_.type) {
    case Type::kBool:
      append_bit(array_.data, array_.length, false);
      break;
    case Type::kInt32:
    case Type::kUint32:
      store<int32_t>(array_.data, 0);
      break;
    case Type::kUint8:
      store<uint8_t>(array_.data, 0);
      break;
    case Type::kInt64:
    case Type::kTimestamp:
      store<int64_t>(array_.data, 0);
      break;
    case Type::kDouble:
      store<double>(array_.data, 0);
      break;
    case Type::kStruct:
      for (ArrayBuilder& child : children_) child.null();
      break;
    case Type::kNull:
      ++array_.length;
      array_.null_count = array_.length;
      return;
    default:
      store<int32_t>(array_.offsets, load<int32_t>(array_.offsets, array_.length));
  }
  append_row(false);
}

void ArrayBuilder::boolean(bool value) {
  require(array_.type == Type::kBool, "bool");
  append_bit(array_.data, array_.length, value);
  append_row(true);
}

void ArrayBuilder::integer(int64_t value) {
  const auto in_range = [value](int64_t min, int64_t max) { return value >= min && value <= max; };
  switch (array_.type) {
    case Type::kInt32:
      require(in_range(std::numeric_limits<int32_t>::min(), std::numeric_limits<int32_t>::max()),
              "larger integer");
      store(array_.data, static_cast<int32_t>(value));
      break;
    case Type::kUint32:
      require(in_range(0, std::numeric_limits<uint32_t>::max()), "negative or larger integer");
      store(array_.data, static_cast<uint32_t>(value));
      break;
    case Type::kUint8:
      require(in_range(0, std::numeric_limits<uint8_t>::max()), "negative or larger integer");
      store(array_.data, static_cast<uint8_t>(value));
      break;
    case Type::kInt64:
    case Type::kTimestamp:
      store(array_.data, value);
      break;
    default:
      require(false, "integer");
  }
  append_row(true);
}

void ArrayBuilder::number(double value) {
  require(array_.type == Type::kDouble, "double");
  store(array_.data, value);
  append_row(true);
}

void ArrayBuilder::bytes(std::string_view value) {
  require(array_.type == Type::kUtf8 || array_.type == Type::kBinary, "string");
  require(array_.data.size() + value.size() <= size_t{std::numeric_limits<int32_t>::max()},
          "string past 2 GiB in all");
  array_.data.append(value);
  store(array_.offsets, static_cast<int32_t>(array_.data.size()));
  append_row(true);
}

void ArrayBuilder::end_list() {
  require(array_.type == Type::kList || array_.type == Type::kMap, "list");
  store(array_.offsets, static_cast<int32_t>(children_[0].length()));
  append_row(true);
}

void ArrayBuilder::end_struct() {
  require(array_.type == Type::kStruct, "struct");
  append_row(true);
}

void ArrayBuilder::end_union(int child) {
  require(array_.type == Type::kDenseUnion, "union");
  array_.data.push_back(static_cast<char>(child));
  store(array_.offsets, static_cast<int32_t>(children_.at(child).length() - 1));
  ++array_.length;
}

Array ArrayBuilder::finish() {
  for (ArrayBuilder& child : children_) array_.children.push_back(child.finish());
  return std::move(array_);
}

namespace {

std::string format_value(const Value& value, bool quote_strings) {
  if (std::holds_alternative<std::monostate>(value)) return "null";
  if (const auto* b = std::get_if<bool>(&value)) return *b ? "true" : "false";
  if (const auto* i = std::get_if<int64_t>(&value)) return std::to_string(*i);
  if (const auto* d = std::get_if<double>(&value)) return std::to_string(*d);
  const auto& s = std::get<std::string>(value);
  return quote_strings ? "\"" + s + "\"" : s;
}

std::string format_items(const Array& items, const Field& field, int64_t begin, int64_t end) {
  std::string text;
  for (int64_t i = begin; i < end; ++i) {
    if (i > begin) text += ", ";
    text += format_value(value_at(items, field, i), true);
  }
  return text;
}

}  // namespace

Value value_at(const Array& array, const Field& field, int64_t row) {
  if (array.is_null(row)) return {};
  switch (array.type) {
    case Type::kBool:
      return array.bool_at(row);
    case Type::kDouble:
      return array.double_at(row);
    case Type::kUtf8:
    case Type::kBinary:
      return std::string(array.bytes_at(row));
    case Type::kList:
    case Type::kMap:
      return "[" +
             format_items(array.children[0], field.children[0], load<int32_t>(array.offsets, row),
                          load<int32_t>(array.offsets, row + 1)) +
             "]";
    case Type::kStruct: {
      std::string text = "{";
      for (size_t i = 0; i < array.children.size(); ++i) {
        if (i > 0) text += ", ";
        text += field.children[i].name + ": ";
        text += format_value(value_at(array.children[i], field.children[i], row), true);
      }
      return text + "}";
    }
    case Type::kDenseUnion: {
      const int child = array.data[row];  // NOLINT(bugprone-signed-char-misuse): a type id is a signed byte
      return value_at(array.children[child], field.children[child], load<int32_t>(array.offsets, row));
    }
    default:
      return array.integer_at(row);
  }
}

}  // namespace sablelink::arrowipc
