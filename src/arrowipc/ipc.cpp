#include "arrowipc/ipc.h"

#include <flatbuffers/flatbuffers.h>

#include <cstring>
#include <utility>

#include "arrow_message_generated.h"

namespace sablelink::arrowipc {
namespace {

namespace fb = org::apache::arrow::flatbuf;

constexpr int kMostDepth = 16;  // of nested fields; deeper ones aren't meant well

[[noreturn]] void refuse(const std::string& what) { throw FormatError("arrow ipc: " + what); }

// ---- Schemas

std::pair<fb::Type, flatbuffers::Offset<void>> encode_type(flatbuffers::FlatBufferBuilder& b,
                                                           const Field& f) {
  const auto integer = [&](int bits, bool is_signed) {
    return std::pair(fb::Type_Int, fb::CreateInt(b, bits, is_signed).Union());
  };
  switch (f.type) {
    case Type::kNull:
      return {fb::Type_Null, fb::CreateNull(b).Union()};
    case Type::kBool:
      return {fb::Type_Bool, fb::CreateBool(b).Union()};
    case Type::kInt32:
      return integer(32, true);
    case Type::kInt64:
      return integer(64, true);
    case Type::kUint8:
      return integer(8, false);
    case Type::kUint32:
      return integer(32, false);
    case Type::kDouble:
      return {fb::Type_FloatingPoint, fb::CreateFloatingPoint(b, fb::Precision_DOUBLE).Union()};
    case Type::kUtf8:
      return {fb::Type_Utf8, fb::CreateUtf8(b).Union()};
    case Type::kBinary:
      return {fb::Type_Binary, fb::CreateBinary(b).Union()};
    case Type::kTimestamp: {
      const auto zone = f.timezone.empty() ? 0 : b.CreateString(f.timezone);
      return {fb::Type_Timestamp, fb::CreateTimestamp(b, static_cast<fb::TimeUnit>(f.unit), zone).Union()};
    }
    case Type::kList:
      return {fb::Type_List, fb::CreateList(b).Union()};
    case Type::kStruct:
      return {fb::Type_Struct_, fb::CreateStruct_(b).Union()};
    case Type::kMap:
      return {fb::Type_Map, fb::CreateMap(b, false).Union()};
    case Type::kDenseUnion: {
      std::vector<int32_t> ids;
      for (size_t i = 0; i < f.children.size(); ++i) ids.push_back(static_cast<int32_t>(i));
      return {fb::Type_Union, fb::CreateUnion(b, fb::UnionMode_Dense, b.CreateVector(ids)).Union()};
    }
  }
  refuse("unknown type in a schema");
}

flatbuffers::Offset<fb::Field> encode_field(flatbuffers::FlatBufferBuilder& b, const Field& f) {
  std::vector<flatbuffers::Offset<fb::Field>> children;
  for (const Field& child : f.children) children.push_back(encode_field(b, child));
  const auto [kind, type] = encode_type(b, f);
  const auto name = b.CreateString(f.name);
  return fb::CreateField(b, name, f.nullable, kind, type, 0, b.CreateVector(children));
}

Type integer_type(const fb::Int& type, const std::string& name) {
  const int bits = type.bit_width();
  if (type.is_signed() && bits == 32) return Type::kInt32;
  if (type.is_signed() && bits == 64) return Type::kInt64;
  if (!type.is_signed() && bits == 8) return Type::kUint8;
  if (!type.is_signed() && bits == 32) return Type::kUint32;
  refuse("field '" + name + "': integers of " + std::to_string(bits) +
         (type.is_signed() ? " bits aren't supported" : " unsigned bits aren't supported"));
}

Field decode_field(const fb::Field* in, int depth) {
  if (in == nullptr) refuse("a schema with an empty field");
  Field f;
  if (in->name() != nullptr) f.name = in->name()->str();
  if (depth > kMostDepth) refuse("field '" + f.name + "' is nested too deep");
  if (in->dictionary() != nullptr) refuse("field '" + f.name + "': dictionaries aren't supported");
  f.nullable = in->nullable();
  if (in->children() != nullptr)
    for (const fb::Field* child : *in->children()) f.children.push_back(decode_field(child, depth + 1));
  const auto children = [&](bool fits) {
    if (!fits) refuse("field '" + f.name + "' has the wrong number of children");
  };
  // The verifier lets a union pass that tells its kind and has no table.
  if (in->type() == nullptr) refuse("field '" + f.name + "' has no type");
  switch (in->type_type()) {
    case fb::Type_Null:
      f.type = Type::kNull;
      break;
    case fb::Type_Bool:
      f.type = Type::kBool;
      break;
    case fb::Type_Int:
      f.type = integer_type(*in->type_as_Int(), f.name);
      break;
    case fb::Type_FloatingPoint:
      if (in->type_as_FloatingPoint()->precision() != fb::Precision_DOUBLE)
        refuse("field '" + f.name + "': only doubles are supported of all floating point types");
      f.type = Type::kDouble;
      break;
    case fb::Type_Utf8:
      f.type = Type::kUtf8;
      break;
    case fb::Type_Binary:
      f.type = Type::kBinary;
      break;
    case fb::Type_Timestamp: {
      const fb::Timestamp* type = in->type_as_Timestamp();
      f.type = Type::kTimestamp;
      if (type->unit() < fb::TimeUnit_MIN || type->unit() > fb::TimeUnit_MAX)
        refuse("field '" + f.name + "': unknown unit of time");
      f.unit = static_cast<TimeUnit>(type->unit());
      if (type->timezone() != nullptr) f.timezone = type->timezone()->str();
      break;
    }
    case fb::Type_List:
      f.type = Type::kList;
      children(f.children.size() == 1);
      return f;
    case fb::Type_Struct_:
      f.type = Type::kStruct;
      return f;
    case fb::Type_Map:
      f.type = Type::kMap;
      children(f.children.size() == 1 && f.children[0].type == Type::kStruct &&
               f.children[0].children.size() == 2);
      return f;
    case fb::Type_Union: {
      const fb::Union* type = in->type_as_Union();
      if (type->mode() != fb::UnionMode_Dense)
        refuse("field '" + f.name + "': only dense unions are supported");
      if (type->type_ids() != nullptr) {
        for (flatbuffers::uoffset_t i = 0; i < type->type_ids()->size(); ++i)
          if (type->type_ids()->Get(i) != static_cast<int32_t>(i))
            refuse("field '" + f.name + "': a union's type ids must be its children's positions");
      }
      children(!f.children.empty() && f.children.size() <= 127);
      f.type = Type::kDenseUnion;
      return f;
    }
    default:
      refuse("field '" + f.name + "': type " + fb::EnumNameType(in->type_type()) + " isn't supported");
  }
  children(f.children.empty());
  return f;
}

// ---- Messages

const fb::Message* checked_message(std::string_view header, flatbuffers::FlatBufferBuilder& aligned) {
  // The verifier wants alignment, which bytes out of a protobuf don't have.
  aligned.ForceVectorAlignment(header.size(), 1, 8);
  if (header.size() < 8 || header.size() > (size_t{1} << 30))
    refuse("a header of " + std::to_string(header.size()) + " bytes");
  aligned.CreateVector(reinterpret_cast<const uint8_t*>(header.data()), header.size());
  const uint8_t* bytes = aligned.GetCurrentBufferPointer() + sizeof(flatbuffers::uoffset_t);
  flatbuffers::Verifier verifier(bytes, header.size(), /*max_depth=*/64, /*max_tables=*/100'000);
  if (!verifier.VerifyBuffer<fb::Message>(nullptr)) refuse("the header is no valid message");
  return flatbuffers::GetRoot<fb::Message>(bytes);
}

Message finish_message(flatbuffers::FlatBufferBuilder& b, fb::MessageHeader kind,
                       flatbuffers::Offset<void> header, std::string body) {
  b.Finish(fb::CreateMessage(b, fb::MetadataVersion_V5, kind, header, static_cast<int64_t>(body.size())));
  std::string bytes(reinterpret_cast<const char*>(b.GetBufferPointer()), b.GetSize());
  bytes.resize((bytes.size() + 7) / 8 * 8, '\0');  // bodies are aligned only if headers are padded
  return {std::move(bytes), std::move(body)};
}

// ---- Batches

struct BodyWriter {
  std::vector<fb::FieldNode> nodes;
  std::vector<fb::Buffer> buffers;
  std::string body;

  void buffer(const std::string& bytes) {
    buffers.emplace_back(static_cast<int64_t>(body.size()), static_cast<int64_t>(bytes.size()));
    body += bytes;
    body.resize((body.size() + 7) / 8 * 8, '\0');
  }

  void array(const Field& field, const Array& a) {
    if (field.type != a.type) refuse("column '" + field.name + "' isn't of its field's type");
    nodes.emplace_back(a.length, a.null_count);
    if (a.type == Type::kNull) return;
    if (a.type != Type::kDenseUnion) buffer(a.validity);
    switch (a.type) {
      case Type::kUtf8:
      case Type::kBinary:
        buffer(a.offsets);
        buffer(a.data);
        break;
      case Type::kList:
      case Type::kMap:
        buffer(a.offsets);
        break;
      case Type::kStruct:
        break;
      case Type::kDenseUnion:
        buffer(a.data);
        buffer(a.offsets);
        break;
      default:
        buffer(a.data);
    }
    for (size_t i = 0; i < a.children.size(); ++i) array(field.children[i], a.children[i]);
  }
};

class BodyReader {
 public:
  BodyReader(const fb::RecordBatch& batch, std::string_view body) : batch_(batch), body_(body) {}

  Array array(const Field& field) {
    Array a;
    a.type = field.type;
    if (batch_.nodes() == nullptr || node_ >= batch_.nodes()->size())
      refuse("column '" + field.name + "': the batch has too few columns");
    const fb::FieldNode* node = batch_.nodes()->Get(node_++);
    a.length = node->length();
    a.null_count = node->null_count();
    // A row takes a bit at the least, but for columns of nulls; those are bounded like the others.
    if (a.length < 0 || a.length > kMostRows || a.null_count < 0 || a.null_count > a.length)
      refuse("column '" + field.name + "': " + std::to_string(a.length) + " rows with " +
             std::to_string(a.null_count) + " nulls");
    if (a.type == Type::kNull) return a;
    if (a.type != Type::kDenseUnion) {
      a.validity = buffer(field);
      if (a.null_count == 0)
        a.validity.clear();
      else
        want(field, a.validity, (a.length + 7) / 8);
    }
    switch (a.type) {
      case Type::kBool:
        a.data = sized(field, (a.length + 7) / 8);
        break;
      case Type::kUint8:
        a.data = sized(field, a.length);
        break;
      case Type::kInt32:
      case Type::kUint32:
        a.data = sized(field, a.length * 4);
        break;
      case Type::kInt64:
      case Type::kTimestamp:
      case Type::kDouble:
        a.data = sized(field, a.length * 8);
        break;
      case Type::kUtf8:
      case Type::kBinary:
        a.offsets = list_offsets(field, a.length);
        a.data = buffer(field);
        check_offsets(field, a, static_cast<int64_t>(a.data.size()));
        break;
      case Type::kList:
      case Type::kMap:
        a.offsets = list_offsets(field, a.length);
        a.children.push_back(array(field.children[0]));
        check_offsets(field, a, a.children[0].length);
        break;
      case Type::kStruct:
        for (const Field& child : field.children) {
          a.children.push_back(array(child));
          if (a.children.back().length < a.length) refuse("column '" + child.name + "' is too short");
        }
        break;
      case Type::kDenseUnion:
        a.data = sized(field, a.length);
        a.offsets = sized(field, a.length * 4);
        for (const Field& child : field.children) a.children.push_back(array(child));
        check_union(field, a);
        break;
      case Type::kNull:
        break;
    }
    return a;
  }

  void finish() const {
    if (batch_.nodes() != nullptr && node_ != batch_.nodes()->size())
      refuse("the batch has too many columns");
  }

  static constexpr int64_t kMostRows = int64_t{1} << 31;

 private:
  std::string buffer(const Field& field) {
    if (batch_.buffers() == nullptr || buffer_ >= batch_.buffers()->size())
      refuse("column '" + field.name + "': the batch has too few buffers");
    const fb::Buffer* b = batch_.buffers()->Get(buffer_++);
    const auto size = static_cast<int64_t>(body_.size());
    if (b->offset() < 0 || b->length() < 0 || b->offset() > size || b->length() > size - b->offset())
      refuse("column '" + field.name + "': buffer " + std::to_string(buffer_ - 1) +
             " lies outside the body of " + std::to_string(size) + " bytes");
    // Buffers may share bytes; read often enough, they would still fill memory.
    taken_ += b->length();
    if (taken_ > 2 * size) refuse("column '" + field.name + "': the buffers overlap");
    return std::string(body_.substr(b->offset(), b->length()));
  }

  std::string sized(const Field& field, int64_t bytes) {
    std::string b = buffer(field);
    want(field, b, bytes);
    return b;
  }

  // Offsets of no rows may be left out altogether.
  std::string list_offsets(const Field& field, int64_t length) {
    std::string b = buffer(field);
    if (length == 0 && b.empty()) return std::string(4, '\0');
    want(field, b, (length + 1) * 4);
    return b;
  }

  static void want(const Field& field, std::string& buffer, int64_t bytes) {
    if (static_cast<int64_t>(buffer.size()) < bytes)
      refuse("column '" + field.name + "': a buffer of " + std::to_string(buffer.size()) + " bytes where " +
             std::to_string(bytes) + " are needed");
    buffer.resize(bytes);
  }

  static int32_t offset_at(const Array& a, int64_t i) {
    int32_t value;
    std::memcpy(&value, a.offsets.data() + i * 4, 4);
    return value;
  }

  static void check_offsets(const Field& field, const Array& a, int64_t most) {
    int32_t last = offset_at(a, 0);
    if (last < 0) refuse("column '" + field.name + "': a negative offset");
    for (int64_t i = 1; i <= a.length; ++i) {
      const int32_t next = offset_at(a, i);
      if (next < last)
        refuse("column '" + field.name + "': offsets that fall at row " + std::to_string(i - 1));
      last = next;
    }
    if (last > most)
      refuse("column '" + field.name + "': offsets past the " + std::to_string(most) + " there are");
  }

  static void check_union(const Field& field, const Array& a) {
    for (int64_t i = 0; i < a.length; ++i) {
      const int child = a.data[i];  // NOLINT(bugprone-signed-char-misuse): a type id is a signed byte
      if (child < 0 || child >= static_cast<int>(a.children.size()))
        refuse("column '" + field.name + "': unknown type id at row " + std::to_string(i));
      const int32_t at = offset_at(a, i);
      if (at < 0 || at >= a.children[child].length)
        refuse("column '" + field.name + "': offset outside its child at row " + std::to_string(i));
    }
  }

  const fb::RecordBatch& batch_;
  std::string_view body_;
  flatbuffers::uoffset_t node_ = 0, buffer_ = 0;
  int64_t taken_ = 0;
};

}  // namespace

MessageKind message_kind(std::string_view header) {
  flatbuffers::FlatBufferBuilder aligned;
  switch (checked_message(header, aligned)->header_type()) {
    case fb::MessageHeader_Schema:
      return MessageKind::kSchema;
    case fb::MessageHeader_RecordBatch:
      return MessageKind::kBatch;
    default:
      return MessageKind::kOther;
  }
}

Message encode_schema(const Schema& schema) {
  flatbuffers::FlatBufferBuilder b;
  std::vector<flatbuffers::Offset<fb::Field>> fields;
  for (const Field& f : schema.fields) fields.push_back(encode_field(b, f));
  const auto offset = fb::CreateSchema(b, fb::Endianness_Little, b.CreateVector(fields));
  return finish_message(b, fb::MessageHeader_Schema, offset.Union(), "");
}

Message encode_batch(const Schema& schema, const Batch& batch) {
  if (schema.fields.size() != batch.columns.size())
    refuse("a batch with more or fewer columns than its schema");
  BodyWriter w;
  for (size_t i = 0; i < batch.columns.size(); ++i) w.array(schema.fields[i], batch.columns[i]);
  flatbuffers::FlatBufferBuilder b;
  const auto nodes = b.CreateVectorOfStructs(w.nodes);
  const auto buffers = b.CreateVectorOfStructs(w.buffers);
  const auto offset = fb::CreateRecordBatch(b, batch.rows, nodes, buffers);
  return finish_message(b, fb::MessageHeader_RecordBatch, offset.Union(), std::move(w.body));
}

Schema decode_schema(std::string_view header) {
  flatbuffers::FlatBufferBuilder aligned;
  const fb::Message* message = checked_message(header, aligned);
  const fb::Schema* in = message->header_as_Schema();
  if (in == nullptr) refuse("a schema was expected");
  if (in->endianness() != fb::Endianness_Little) refuse("big-endian data isn't supported");
  Schema schema;
  if (in->fields() != nullptr)
    for (const fb::Field* f : *in->fields()) schema.fields.push_back(decode_field(f, 0));
  return schema;
}

Batch decode_batch(const Schema& schema, std::string_view header, std::string_view body) {
  flatbuffers::FlatBufferBuilder aligned;
  const fb::Message* message = checked_message(header, aligned);
  const fb::RecordBatch* in = message->header_as_RecordBatch();
  if (in == nullptr) refuse("a record batch was expected");
  if (in->compression() != nullptr) refuse("compressed bodies aren't supported");
  if (message->body_length() != static_cast<int64_t>(body.size()))
    refuse("a body of " + std::to_string(body.size()) + " bytes where the header tells " +
           std::to_string(message->body_length()));
  Batch batch;
  batch.rows = in->length();
  if (batch.rows < 0 || batch.rows > BodyReader::kMostRows)
    refuse("a batch of " + std::to_string(batch.rows) + " rows");
  BodyReader reader(*in, body);
  for (const Field& f : schema.fields) {
    batch.columns.push_back(reader.array(f));
    if (batch.columns.back().length != batch.rows)
      refuse("column '" + f.name + "' has " + std::to_string(batch.columns.back().length) + " rows of " +
             std::to_string(batch.rows));
  }
  reader.finish();
  return batch;
}

std::string encapsulate(const Message& message) {
  const auto size = static_cast<uint32_t>(message.header.size());
  std::string bytes(8, '\xff');
  std::memcpy(bytes.data() + 4, &size, 4);
  return bytes + message.header + message.body;
}

Schema decode_encapsulated_schema(std::string_view bytes) {
  uint32_t marker = 0;
  uint32_t size = 0;
  if (bytes.size() < 8) refuse("an encapsulated message of " + std::to_string(bytes.size()) + " bytes");
  std::memcpy(&marker, bytes.data(), 4);
  std::memcpy(&size, bytes.data() + 4, 4);
  if (marker != 0xffffffff) refuse("an encapsulated message without its marker");
  if (size > bytes.size() - 8) refuse("an encapsulated header longer than its message");
  return decode_schema(bytes.substr(8, size));
}

}  // namespace sablelink::arrowipc
