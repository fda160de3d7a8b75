// Arrow IPC: encoded schemas and batches decode to the same values, and invalid bytes are rejected.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "arrowipc/ipc.h"
#include "flightsql/catalog.h"

namespace sablelink::arrowipc {
namespace {

Field field(std::string name, Type type) {
  Field f;
  f.name = std::move(name);
  f.type = type;
  return f;
}

Schema flat_schema() {
  Schema s{{field("b", Type::kBool), field("i", Type::kInt32), field("l", Type::kInt64),
            field("d", Type::kDouble), field("u", Type::kUtf8), field("x", Type::kBinary),
            field("t", Type::kTimestamp), field("n", Type::kNull)}};
  s.fields[6].unit = TimeUnit::kNanosecond;
  s.fields[6].timezone = "Africa/Nairobi";
  return s;
}

Batch flat_batch(const Schema& schema, int64_t rows, uint64_t nulls) {
  std::vector<ArrayBuilder> b;
  for (const Field& f : schema.fields) b.emplace_back(f);
  for (int64_t r = 0; r < rows; ++r) {
    for (size_t c = 0; c < b.size(); ++c) {
      if (schema.fields[c].type == Type::kNull || (nulls >> ((r * 7 + c) % 64) & 1)) {
        b[c].null();
        continue;
      }
      switch (schema.fields[c].type) {
        case Type::kBool:
          b[c].boolean(r % 3 == 0);
          break;
        case Type::kDouble:
          b[c].number(r / 3.0);
          break;
        case Type::kUtf8:
        case Type::kBinary:
          b[c].bytes(std::string(r % 5, static_cast<char>('a' + r % 26)));
          break;
        default:
          b[c].integer(r * 1000 - 7);
      }
    }
  }
  Batch batch;
  batch.rows = rows;
  for (ArrayBuilder& column : b) batch.columns.push_back(column.finish());
  return batch;
}

void expect_equal(const Schema& schema, const Batch& a, const Batch& b) {
  ASSERT_EQ(a.rows, b.rows);
  for (size_t c = 0; c < schema.fields.size(); ++c)
    for (int64_t r = 0; r < a.rows; ++r)
      ASSERT_EQ(value_at(a.columns[c], schema.fields[c], r), value_at(b.columns[c], schema.fields[c], r))
          << schema.fields[c].name << " row " << r;
}

TEST(ArrowIpc, SchemasRoundTrip) {
  const Schema schema = flat_schema();
  EXPECT_EQ(decode_schema(encode_schema(schema).header), schema);
  EXPECT_EQ(decode_encapsulated_schema(encapsulate(encode_schema(schema))), schema);
  EXPECT_EQ(message_kind(encode_schema(schema).header), MessageKind::kSchema);
  EXPECT_EQ(encode_schema(schema).header.size() % 8, 0u);
}

TEST(ArrowIpc, NestedTypesRoundTrip) {
  const flightsql::ResultTable info = flightsql::sql_info({});
  const Message schema = encode_schema(info.schema);
  EXPECT_EQ(decode_schema(schema.header), info.schema);
  const Message batch = encode_batch(info.schema, info.batch);
  expect_equal(info.schema, decode_batch(info.schema, batch.header, batch.body), info.batch);
}

TEST(ArrowIpc, EmptyBatchRoundTrips) {
  const Schema schema = flat_schema();
  const Message m = encode_batch(schema, flat_batch(schema, 0, 0));
  EXPECT_EQ(decode_batch(schema, m.header, m.body).rows, 0);
}

RC_GTEST_PROP(ArrowIpc, BatchesRoundTrip, (uint64_t nulls)) {
  const Schema schema = flat_schema();
  const int64_t rows = *rc::gen::inRange<int64_t>(0, 70);
  const Batch batch = flat_batch(schema, rows, nulls);
  const Message m = encode_batch(schema, batch);
  RC_ASSERT(m.header.size() % 8 == 0u);
  expect_equal(schema, decode_batch(schema, m.header, m.body), batch);
}

// A changed byte either makes decoding fail or gives a batch whose values can be read. A build with
// sanitizers also verifies that no access is out of bounds.
RC_GTEST_PROP(ArrowIpc, ChangedBytesAreRejectedOrDecoded, (uint64_t nulls, uint32_t at, uint8_t value)) {
  const Schema schema = flat_schema();
  const Message m = encode_batch(schema, flat_batch(schema, 20, nulls));
  std::string header = m.header;
  std::string body = m.body;
  header[at % header.size()] = static_cast<char>(value);
  try {
    const Batch batch = decode_batch(schema, header, body);
    for (size_t c = 0; c < schema.fields.size(); ++c)
      for (int64_t r = 0; r < batch.rows; ++r) value_at(batch.columns[c], schema.fields[c], r);
  } catch (const FormatError&) {
  }
  try {
    decode_schema(
        std::string(encode_schema(schema).header).replace(at % 100, 1, 1, static_cast<char>(value)));
  } catch (const FormatError&) {
  }
  body[at % body.size()] = static_cast<char>(value);
  try {
    const Batch batch = decode_batch(schema, m.header, body);
    for (size_t c = 0; c < schema.fields.size(); ++c)
      for (int64_t r = 0; r < batch.rows; ++r) value_at(batch.columns[c], schema.fields[c], r);
  } catch (const FormatError&) {
  }
}

RC_GTEST_PROP(ArrowIpc, RandomBytesAreRejected, (const std::string& bytes)) {
  RC_ASSERT_THROWS_AS(decode_schema(bytes), FormatError);
  RC_ASSERT_THROWS_AS(decode_encapsulated_schema(bytes), FormatError);
}

std::string error_of(const std::function<void()>& fn) {
  try {
    fn();
  } catch (const FormatError& e) {
    return e.what();
  }
  return "";
}

TEST(ArrowIpc, ErrorsNameWrongLengths) {
  const Schema schema = flat_schema();
  const Message m = encode_batch(schema, flat_batch(schema, 9, 0));
  EXPECT_NE(
      error_of([&] { decode_batch(schema, m.header, m.body.substr(8)); }).find("where the header tells"),
      std::string::npos);
  Schema other = schema;
  other.fields.pop_back();
  EXPECT_NE(error_of([&] { decode_batch(other, m.header, m.body); }).find("too many columns"),
            std::string::npos);
  other = schema;
  other.fields.push_back(field("more", Type::kInt64));
  EXPECT_NE(error_of([&] { decode_batch(other, m.header, m.body); }).find("'more'"), std::string::npos);
  other = schema;
  other.fields[1].type = Type::kInt64;  // its buffer has half the required size
  EXPECT_NE(error_of([&] { decode_batch(other, m.header, m.body); }).find("'i'"), std::string::npos);
}

TEST(ArrowIpc, BuildersRejectValuesOfOtherTypes) {
  ArrayBuilder narrow(field("i", Type::kInt32));
  ArrayBuilder text(field("u", Type::kUtf8));
  EXPECT_THROW(narrow.integer(int64_t{1} << 40), FormatError);
  EXPECT_THROW(narrow.bytes("x"), FormatError);
  EXPECT_THROW(text.integer(1), FormatError);
}

// Found by sablelink_fuzz: the FlatBuffers verifier accepts a field whose type has a type tag but no table.
TEST(ArrowIpc, FieldWhoseTypeHasNoTableIsRejected) {
  const std::string hex =
      "ffffffff800100001000000000000a000c000600050008000a000000000104000c0000000800080000000400"
      "08000000040000000700000028010000e0000000b00000008000000058000000300000000400000004ffffff"
      "0000010a10000000140000000400000000000000010000007400000092ffffff000002002cffffff00000104"
      "1000000014000000040000000000000001000000780000001cffffff50ffffff000001051000000014000000"
      "0400000000000000010000007500000040ffffff74ffffff0000010310000000180000000400000000000000"
      "0100000064000600080006000600000000000200a0ffffff0000010210000000140000000400000000000000"
      "010000006c000000d4ffffff0000000140000000ccffffff00000102100000001c0000000400000000000000"
      "010000006900000008000c000800070008000000000000012000000010001400080006000700000000001000"
      "10000000000001061000000018000000040000000000000001000000620000000400040004000000";
  std::string bytes;
  for (size_t i = 0; i < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  EXPECT_THROW(decode_encapsulated_schema(bytes), FormatError);
}

}  // namespace
}  // namespace sablelink::arrowipc
