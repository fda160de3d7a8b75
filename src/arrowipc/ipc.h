// Schemas and record batches to and from the messages of Arrow IPC: a flatbuffer (the header) and a body of
// buffers. Flight carries the two apart. Source: the public columnar format specification.
//
// Decoding checks every length and offset against the bytes given before it is used, and copies what it
// keeps; it never reads past them and never allocates more than a small multiple of their size.
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

// Throws FormatError where the header isn't a message of the format.
MessageKind message_kind(std::string_view header);

Message encode_schema(const Schema& schema);
Message encode_batch(const Schema& schema, const Batch& batch);

// Throws FormatError on a wrong header and on types that aren't supported (dictionaries, decimals, ...).
Schema decode_schema(std::string_view header);
// The batch must belong to the schema. Throws FormatError; compressed bodies aren't supported.
Batch decode_batch(const Schema& schema, std::string_view header, std::string_view body);

// A schema as FlightInfo and prepared statements carry it: an encapsulated message, that is a marker, the
// header's length, the header, and padding to 8 bytes.
std::string encapsulate(const Message& message);
Schema decode_encapsulated_schema(std::string_view bytes);

}  // namespace sablelink::arrowipc
