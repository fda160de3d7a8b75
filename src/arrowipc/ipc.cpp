#include "arrowipc/ipc.h"

#include <flatbuffers/flatbuffers.h>

#include <cstring>
#include <utility>

#include "arrow_message_generated.h"

namespace sablelink::arrowipc {
namespace {

namespace fb = org::apache::arrow::flatbuf;

constexpr int kMaxFieldDepth = 16;  // bounds the recursion for malicious schemas

[[noreturn]] void reject(const std::string& what) { throw FormatError("arrow ipc: " + what); }

// ---- Schemas

std::pair<fb::Type, flatbuffers::Offset<void>> encode_type(flatbuffers::FlatBufferBuilder& builder,
                                                           const Field& f) {
  const auto integer = [&](int bits, bool is_signed) {
    return std::pair(fb::Type_Int, fb::CreateInt(builder, bits, is_signed).Union());
  };
  switch (f.type) {
    case Type::kNull:
      return {fb::Type_Null, fb::CreateNull(builder).Union()};
    case Type::kBool:
      return {fb::Type_Bool, fb::CreateBool(builder).Union()};
    case Type::kInt32:
      return integer(32, true);
    case Type::kInt64:
      return integer(64, true);
    case Type::kUint8:
      return integer(8, false);
    case Type::kUint32:
      return integer(32, false);
    case Type::kDouble:
      return {fb::Type_FloatingPoint, fb::CreateFloatingPoint(builder, fb::Precision_DOUBLE).Union()};
    case Type::kUtf8:
      return {fb::Type_Utf8, fb::CreateUtf8(builder).Union()};
    case Type::kBinary:
      return {fb::Type_Binary, fb::CreateBinary(builder).Union()};
    case Type::kTimestamp: {
      const auto zone = f.timezone.empty() ? 0 : builder.CreateString(f.timezone);
      return {fb::Type_Timestamp,
              fb::CreateTimestamp(builder, static_cast<fb::TimeUnit>(f.unit), zone).Union()};
    }
    case Type::kList:
      return {fb::Type_List, fb::CreateList(builder).Union()};
    case Type::kStruct:
      return {fb::Type_Struct_, fb::CreateStruct_(builder).Union()};
    case Type::kMap:
      return {fb::Type_Map, fb::CreateMap(builder, false).Union()};
    case Type::kDenseUnion: {
      std::vector<int32_t> ids;
      for (size_t i = 0; i < f.children.size(); ++i) ids.push_back(static_cast<int32_t>(i));
      return {fb::Type_Union,
              fb::CreateUnion(builder, fb::UnionMode_Dense, builder.CreateVector(ids)).Union()};
    }
  }
  reject("unknown type in a schema");
}

flatbuffers::Offset<fb::Field> encode_field(flatbuffers::FlatBufferBuilder& builder, const Field& f) {
  std::vector<flatbuffers::Offset<fb::Field>> children;
  for (const Field& child : f.children) children.push_back(encode_field(builder, child));
  const auto [kind, type] = encode_type(builder, f);
  const auto name = builder.CreateString(f.name);
  return fb::CreateField(builder, name, f.nullable, kind, type, 0, builder.CreateVector(children));
}

Type integer_type(const fb::Int& type, const std::string& name) {
  const int bits = type.bit_width();
  if (type.is_signed() && bits == 32) return Type::kInt32;
  if (type.is_signed() && bits == 64) return Type::kInt64;
  if (!type.is_signed() && bits == 8) return Type::kUint8;
  if (!type.is_signed() && bits == 32) return Type::kUint32;
  reject("field '" + name + "': integers of " + std::to_string(bits) +
         (type.is_signed() ? " bits aren't supported" : " unsigned bits aren't supported"));
}

Field decode_field(const fb::Field* encoded, int depth) {
  if (encoded == nullptr) reject("a schema with an empty field");
  Field f;
  if (encoded->name() != nullptr) f.name = encoded->name()->str();
  if (depth > kMaxFieldDepth) reject("field '" + f.name + "' is nested too deep");
  if (encoded->dictionary() != nullptr) reject("field '" + f.name + "': dictionaries aren't supported");
  f.nullable = encoded->nullable();
  if (encoded->children() != nullptr)
    for (const fb::Field* child : *encoded->children()) f.children.push_back(decode_field(child, depth + 1));
  const auto require_children = [&](bool valid) {
    if (!valid) reject("field '" + f.name + "' has the wrong number of children");
  };
  // The verifier accepts a union that has a type tag but no table.
  if (encoded->type() == nullptr) reject("field '" + f.name + "' has no type");
  switch (encoded->type_type()) {
    case fb::Type_Null:
      f.type = Type::kNull;
      break;
    case fb::Type_Bool:
      f.type = Type::kBool;
      break;
    case fb::Type_Int:
      f.type = integer_type(*encoded->type_as_Int(), f.name);
      break;
    case fb::Type_FloatingPoint:
      if (encoded->type_as_FloatingPoint()->precision() != fb::Precision_DOUBLE)
        reject("field '" + f.name + "': only doubles are supported of all floating point types");
      f.type = Type::kDouble;
      break;
    case fb::Type_Utf8:
      f.type = Type::kUtf8;
      break;
    case fb::Type_Binary:
      f.type = Type::kBinary;
      break;
    case fb::Type_Timestamp: {
      const fb::Timestamp* type = encoded->type_as_Timestamp();
      f.type = Type::kTimestamp;
      if (type->unit() < fb::TimeUnit_MIN || type->unit() > fb::TimeUnit_MAX)
        reject("field '" + f.name + "': unknown unit of time");
      f.unit = static_cast<TimeUnit>(type->unit());
      if (type->timezone() != nullptr) f.timezone = type->timezone()->str();
      break;
    }
    case fb::Type_List:
      f.type = Type::kList;
      require_children(f.children.size() == 1);
      return f;
    case fb::Type_Struct_:
      f.type = Type::kStruct;
      return f;
    case fb::Type_Map:
      f.type = Type::kMap;
      require_children(f.children.size() == 1 && f.children[0].type == Type::kStruct &&
                       f.children[0].children.size() == 2);
      return f;
    case fb::Type_Union: {
      const fb::Union* type = encoded->type_as_Union();
      if (type->mode() != fb::UnionMode_Dense)
        reject("field '" + f.name + "': only dense unions are supported");
      if (type->type_ids() != nullptr) {
        for (flatbuffers::uoffset_t i = 0; i < type->type_ids()->size(); ++i)
          if (type->type_ids()->Get(i) != static_cast<int32_t>(i))
            reject("field '" + f.name + "': a union's type ids must be its children's positions");
      }
      require_children(!f.children.empty() && f.children.size() <= 127);
      f.type = Type::kDenseUnion;
      return f;
    }
    default:
      reject("field '" + f.name + "': type " + fb::EnumNameType(encoded->type_type()) + " isn't supported");
  }
  require_children(f.children.empty());
  return f;
}

// ---- Messages

const fb::Message* checked_message(std::string_view header, flatbuffers::FlatBufferBuilder& aligned) {
  // The verifier requires alignment, which the bytes of a protobuf field don't have.
  aligned.ForceVectorAlignment(header.size(), 1, 8);
  if (header.size() < 8 || header.size() > (size_t{1} << 30))
    reject("a header of " + std::to_string(header.size()) + " bytes");
  aligned.CreateVector(reinterpret_cast<const uint8_t*>(header.data()), header.size());
  const uint8_t* bytes = aligned.GetCurrentBufferPointer() + sizeof(flatbuffers::uoffset_t);
  flatbuffers::Verifier verifier(bytes, header.size(), /*max_depth=*/64, /*max_tables=*/100'000);
  if (!verifier.VerifyBuffer<fb::Message>(nullptr)) reject("the header is no valid message");
  return flatbuffers::GetRoot<fb::Message>(bytes);
}

Message finish_message(flatbuffers::FlatBufferBuilder& builder, fb::MessageHeader kind,
                       flatbuffers::Offset<void> header, std::string body) {
  builder.Finish(
      fb::CreateMessage(builder, fb::MetadataVersion_V5, kind, header, static_cast<int64_t>(body.size())));
  std::string bytes(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
  bytes.resize((bytes.size() + 7) / 8 * 8, '\0');  // a body is aligned only if its header is padded
  return {std::move(bytes), std::move(body)};
}

// ---- Batches

struct BodyWriter {
  std::vector<fb::FieldNode> nodes;
  std::vector<fb::Buffer> buffers;
  std::string body;

  void add_buffer(const std::string& bytes) {
    buffers.emplace_back(static_cast<int64_t>(body.size()), static_cast<int64_t>(bytes.size()));
    body += bytes;
    body.resize((body.size() + 7) / 8 * 8, '\0');
  }

  void add_array(const Field& field, const Array& a) {
    if (field.type != a.type) reject("column '" + field.name + "' isn't of its field's type");
    nodes.emplace_back(a.length, a.null_count);
    if (a.type == Type::kNull) return;
    if (a.type != Type::kDenseUnion) add_buffer(a.validity);
    switch (a.type) {
      case Type::kUtf8:
      case Type::kBinary:
        add_buffer(a.offsets);
        add_buffer(a.data);
        break;
      case Type::kList:
      case Type::kMap:
        add_buffer(a.offsets);
        break;
      case Type::kStruct:
        break;
      case Type::kDenseUnion:
        add_buffer(a.data);
        add_buffer(a.offsets);
        break;
      default:
        add_buffer(a.data);
    }
    for (size_t i = 0; i < a.children.size(); ++i) add_array(field.children[i], a.children[i]);
  }
};

class BodyReader {
 public:
  BodyReader(const fb::RecordBatch& batch, std::string_view body) : batch_(batch), body_(body) {}

  Array read_array(const Field& field) {
    Array a;
    a.type = field.type;
    if (batch_.nodes() == nullptr || next_node_ >= batch_.nodes()->size())
      reject("column '" + field.name + "': the batch has too few columns");
    const fb::FieldNode* node = batch_.nodes()->Get(next_node_++);
    a.length = node->length();
    a.null_count = node->null_count();
    // The body limits the rows of most types, which take at least one bit each. Columns of type null take no
    // bytes there, so the number of rows has a limit of its own.
    if (a.length < 0 || a.length > kMaxRows || a.null_count < 0 || a.null_count > a.length)
      reject("column '" + field.name + "': " + std::to_string(a.length) + " rows with " +
             std::to_string(a.null_count) + " nulls");
    if (a.type == Type::kNull) return a;
    if (a.type != Type::kDenseUnion) {
      a.validity = read_buffer(field);
      if (a.null_count == 0)
        a.validity.clear();
      else
        trim_to_size(field, a.validity, (a.length + 7) / 8);
    }
    switch (a.type) {
      case Type::kBool:
        a.data = read_sized_buffer(field, (a.length + 7) / 8);
        break;
      case Type::kUint8:
        a.data = read_sized_buffer(field, a.length);
        break;
      case Type::kInt32:
      case Type::kUint32:
        a.data = read_sized_buffer(field, a.length * 4);
        break;
      case Type::kInt64:
      case Type::kTimestamp:
      case Type::kDouble:
        a.data = read_sized_buffer(field, a.length * 8);
        break;
      case Type::kUtf8:
      case Type::kBinary:
        a.offsets = read_offsets(field, a.length);
        a.data = read_buffer(field);
        check_offsets(field, a, static_cast<int64_t>(a.data.size()));
        break;
      case Type::kList:
      case Type::kMap:
        a.offsets = read_offsets(field, a.length);
        a.children.push_back(read_array(field.children[0]));
        check_offsets(field, a, a.children[0].length);
        break;
      case Type::kStruct:
        for (const Field& child : field.children) {
          a.children.push_back(read_array(child));
          if (a.children.back().length < a.length) reject("column '" + child.name + "' is too short");
        }
        break;
      case Type::kDenseUnion:
        a.data = read_sized_buffer(field, a.length);
        a.offsets = read_sized_buffer(field, a.length * 4);
        for (const Field& child : field.children) a.children.push_back(read_array(child));
        check_union(field, a);
        break;
      case Type::kNull:
        break;
    }
    return a;
  }

  void check_all_nodes_read() const {
    if (batch_.nodes() != nullptr && next_node_ != batch_.nodes()->size())
      reject("the batch has too many columns");
  }

  static constexpr int64_t kMaxRows = int64_t{1} << 31;

 private:
  std::string read_buffer(const Field& field) {
    if (batch_.buffers() == nullptr || next_buffer_ >= batch_.buffers()->size())
      reject("column '" + field.name + "': the batch has too few buffers");
    const fb::Buffer* buffer = batch_.buffers()->Get(next_buffer_++);
    const auto size = static_cast<int64_t>(body_.size());
    if (buffer->offset() < 0 || buffer->length() < 0 || buffer->offset() > size ||
        buffer->length() > size - buffer->offset())
      reject("column '" + field.name + "': buffer " + std::to_string(next_buffer_ - 1) +
             " lies outside the body of " + std::to_string(size) + " bytes");
    // Buffers may overlap. As each of them is copied, their total size is limited, too: otherwise a small
    // body could exhaust memory.
    total_buffer_bytes_ += buffer->length();
    if (total_buffer_bytes_ > 2 * size) reject("column '" + field.name + "': the buffers overlap");
    return std::string(body_.substr(buffer->offset(), buffer->length()));
  }

  std::string read_sized_buffer(const Field& field, int64_t bytes) {
    std::string buffer = read_buffer(field);
    trim_to_size(field, buffer, bytes);
    return buffer;
  }

  // The offsets buffer of a column without rows may be empty.
  std::string read_offsets(const Field& field, int64_t length) {
    std::string buffer = read_buffer(field);
    if (length == 0 && buffer.empty()) return std::string(4, '\0');
    trim_to_size(field, buffer, (length + 1) * 4);
    return buffer;
  }

  static void trim_to_size(const Field& field, std::string& buffer, int64_t bytes) {
    if (static_cast<int64_t>(buffer.size()) < bytes)
      reject("column '" + field.name + "': a buffer of " + std::to_string(buffer.size()) + " bytes where " +
             std::to_string(bytes) + " are needed");
    buffer.resize(bytes);
  }

  static int32_t offset_at(const Array& a, int64_t i) {
    int32_t value;
    std::memcpy(&value, a.offsets.data() + i * 4, 4);
    return value;
  }

  static void check_offsets(const Field& field, const Array& a, int64_t max_offset) {
    int32_t previous = offset_at(a, 0);
    if (previous < 0) reject("column '" + field.name + "': a negative offset");
    for (int64_t i = 1; i <= a.length; ++i) {
      const int32_t offset = offset_at(a, i);
      if (offset < previous)
        reject("column '" + field.name + "': offsets that fall at row " + std::to_string(i - 1));
      previous = offset;
    }
    if (previous > max_offset)
      reject("column '" + field.name + "': offsets past the " + std::to_string(max_offset) + " there are");
  }

  static void check_union(const Field& field, const Array& a) {
    for (int64_t i = 0; i < a.length; ++i) {
      const int child = a.data[i];  // NOLINT(bugprone-signed-char-misuse): a type id is a signed byte
      if (child < 0 || child >= static_cast<int>(a.children.size()))
        reject("column '" + field.name + "': unknown type id at row " + std::to_string(i));
      const int32_t at = offset_at(a, i);
      if (at < 0 || at >= a.children[child].length)
        reject("column '" + field.name + "': offset outside its child at row " + std::to_string(i));
    }
  }

  const fb::RecordBatch& batch_;
  std::string_view body_;
  flatbuffers::uoffset_t next_node_ = 0, next_buffer_ = 0;
  int64_t total_buffer_bytes_ = 0;
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
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<fb::Field>> fields;
  for (const Field& f : schema.fields) fields.push_back(encode_field(builder, f));
  const auto offset = fb::CreateSchema(builder, fb::Endianness_Little, builder.CreateVector(fields));
  return finish_message(builder, fb::MessageHeader_Schema, offset.Union(), "");
}

Message encode_batch(const Schema& schema, const Batch& batch) {
  if (schema.fields.size() != batch.columns.size())
    reject("a batch with more or fewer columns than its schema");
  BodyWriter writer;
  for (size_t i = 0; i < batch.columns.size(); ++i) writer.add_array(schema.fields[i], batch.columns[i]);
  flatbuffers::FlatBufferBuilder builder;
  const auto nodes = builder.CreateVectorOfStructs(writer.nodes);
  const auto buffers = builder.CreateVectorOfStructs(writer.buffers);
  const auto offset = fb::CreateRecordBatch(builder, batch.rows, nodes, buffers);
  return finish_message(builder, fb::MessageHeader_RecordBatch, offset.Union(), std::move(writer.body));
}

Schema decode_schema(std::string_view header) {
  flatbuffers::FlatBufferBuilder aligned;
  const fb::Message* message = checked_message(header, aligned);
  const fb::Schema* encoded = message->header_as_Schema();
  if (encoded == nullptr) reject("a schema was expected");
  if (encoded->endianness() != fb::Endianness_Little) reject("big-endian data isn't supported");
  Schema schema;
  if (encoded->fields() != nullptr)
    for (const fb::Field* f : *encoded->fields()) schema.fields.push_back(decode_field(f, 0));
  return schema;
}

Batch decode_batch(const Schema& schema, std::string_view header, std::string_view body) {
  flatbuffers::FlatBufferBuilder aligned;
  const fb::Message* message = checked_message(header, aligned);
  const fb::RecordBatch* encoded = message->header_as_RecordBatch();
  if (encoded == nullptr) reject("a record batch was expected");
  if (encoded->compression() != nullptr) reject("compressed bodies aren't supported");
  if (message->body_length() != static_cast<int64_t>(body.size()))
    reject("a body of " + std::to_string(body.size()) + " bytes where the header tells " +
           std::to_string(message->body_length()));
  Batch batch;
  batch.rows = encoded->length();
  if (batch.rows < 0 || batch.rows > BodyReader::kMaxRows)
    reject("a batch of " + std::to_string(batch.rows) + " rows");
  BodyReader reader(*encoded, body);
  for (const Field& f : schema.fields) {
    batch.columns.push_back(reader.read_array(f));
    if (batch.columns.back().length != batch.rows)
      reject("column '" + f.name + "' has " + std::to_string(batch.columns.back().length) + " rows of " +
             std::to_string(batch.rows));
  }
  reader.check_all_nodes_read();
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
  if (bytes.size() < 8) reject("an encapsulated message of " + std::to_string(bytes.size()) + " bytes");
  std::memcpy(&marker, bytes.data(), 4);
  std::memcpy(&size, bytes.data() + 4, 4);
  if (marker != 0xffffffff) reject("an encapsulated message without its marker");
  if (size > bytes.size() - 8) reject("an encapsulated header longer than its message");
  return decode_schema(bytes.substr(8, size));
}

}  // namespace sablelink::arrowipc
