// Incremental parsing of HTTP/1.1 messages (RFC 9112). No I/O.
//
// Every length is bounded. A message whose framing could be understood in two ways is malformed: both
// Content-Length and Transfer-Encoding, several lengths, line ends other than CRLF, white space before a
// colon, folded lines.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"

namespace sablelink::http {

struct MessageLimits {
  size_t max_header_bytes = 8 << 10;  // start line and header fields; as much again for trailer fields
  size_t max_fields = 64;
  size_t max_body_bytes = 256 << 10;
  int max_interim_responses = 8;  // 1xx before the final response
};

enum class ParseStatus { kNeedMore, kComplete, kMalformed };

/// What the readers of requests and of responses have in common. A reader parses one message after the other
/// from the bytes of one connection. After kMalformed it stays malformed, since framing is lost.
class MessageReader {
 public:
  /// After kMalformed: the status of the response that a server gives, and its text.
  int error_status() const { return error_status_; }
  const char* error() const { return error_; }

  /// Whether bytes have arrived that follow the message parsed so far.
  bool has_buffered_bytes() const { return parsed_ < buffer_.size(); }
  /// How many bytes have arrived that have not been parsed.
  size_t buffered_bytes() const { return buffer_.size() - parsed_; }
  /// True where no byte of the next message has arrived.
  bool is_at_message_start() const { return part_ == Part::kStartLine && !has_buffered_bytes(); }

 protected:
  enum class MessageKind { kRequest, kResponse };

  MessageReader(MessageKind kind, const MessageLimits& limits)
      : kind_(kind), limits_(limits), header_bytes_left_(limits.max_header_bytes) {}

  ParseStatus feed(std::string_view bytes);
  ParseStatus finish();
  void start_next_message();

  Request request_;
  Response response_;

 private:
  /// The part of the message that is parsed next.
  enum class Part {
    kStartLine,
    kHeaderFields,
    kContent,
    kChunkSize,
    kChunkData,
    kChunkEnd,
    kTrailerFields,
    kContentUntilClose,
  };

  // The functions below that return bool parse one element. True: parsing goes on with the next one. False:
  // the message is complete or malformed, or more bytes are needed.
  bool parse_element();
  bool parse_line_of_header();
  bool parse_request_line(std::string_view line);
  bool parse_status_line(std::string_view line);
  bool parse_field(std::string_view line);
  bool parse_content();
  bool parse_chunk_size();
  bool parse_chunk_end();
  bool parse_content_until_close();
  bool on_header_complete();
  bool skip_interim_response();
  bool start_chunked_content();
  bool start_sized_content();
  bool complete();
  bool fail(int status, const char* error);

  // The next line without its CRLF, valid until the buffer changes; empty where it is incomplete or
  // malformed.
  std::optional<std::string_view> take_line();
  std::string_view unparsed() const { return std::string_view(buffer_).substr(parsed_); }
  void consume(size_t bytes);
  void discard_parsed_bytes();

  bool is_request() const { return kind_ == MessageKind::kRequest; }
  Fields& fields() { return is_request() ? request_.fields : response_.fields; }
  std::string& body() { return is_request() ? request_.body : response_.body; }

  const MessageKind kind_;
  const MessageLimits limits_;
  std::string buffer_;
  size_t parsed_ = 0;    // of the buffer
  size_t searched_ = 0;  // of the buffer, for the end of a line
  Part part_ = Part::kStartLine;
  ParseStatus status_ = ParseStatus::kNeedMore;
  size_t header_bytes_left_;
  size_t content_bytes_left_ = 0;  // of the content or of the chunk
  int interim_responses_ = 0;
  bool is_http_1_0_ = false;
  int error_status_ = 0;
  const char* error_ = "";
};

class RequestReader : public MessageReader {
 public:
  explicit RequestReader(const MessageLimits& limits) : MessageReader(MessageKind::kRequest, limits) {}

  /// Parses the bytes and what was buffered. Bytes that follow a complete message are buffered.
  ParseStatus feed(std::string_view bytes) { return MessageReader::feed(bytes); }
  /// After kComplete: takes the message and goes on to the next one, which may be buffered: feed({}).
  Request take();
};

class ResponseReader : public MessageReader {
 public:
  explicit ResponseReader(const MessageLimits& limits) : MessageReader(MessageKind::kResponse, limits) {}

  /// As of RequestReader. Interim responses are skipped.
  ParseStatus feed(std::string_view bytes) { return MessageReader::feed(bytes); }
  /// The connection has ended, which completes content without a length and cuts off any other.
  ParseStatus finish() { return MessageReader::finish(); }
  /// After kComplete.
  const Response& response() const { return response_; }
  /// As of RequestReader.
  Response take();
};

}  // namespace sablelink::http
