// Encodes and decodes schemas and record batches as Arrow IPC messages, according to the public columnar
// format specification. A message consists of a FlatBuffers header and a body of buffers, which Flight sends
// as separate fields.
//
// Decoding copies the data. It checks every length and offset against the size of the input before use, so it
// never reads out of bounds and never allocates more than a small multiple of the input's size.
#pragma once

#include <string>
#include <string_view>

#include "arrowipc/array.h"

namespace sablelink::arrowipc {

struct Message {
  std::string header;
  std::string body;
};

enum class MessageKind { kSchema, kBatch, kOther };

// Throws FormatError if the header isn't a valid message.
MessageKind message_kind(std::string_view header);

Message encode_schema(const Schema& schema);
Message encode_batch(const Schema& schema, const Batch& batch);

// Throws FormatError for an invalid header and for unsupported types (dictionaries, decimals, ...).
Schema decode_schema(std::string_view header);
// Throws FormatError for a batch that is invalid, compressed or not of the given schema.
Batch decode_batch(const Schema& schema, std::string_view header, std::string_view body);

// An encapsulated message, which is the form of schemas in FlightInfo and prepared statements: a marker, the
// header's length, the header padded to 8 bytes, and the body.
std::string encapsulate(const Message& message);
Schema decode_encapsulated_schema(std::string_view bytes);

}  // namespace sablelink::arrowipc
