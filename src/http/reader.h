// Incremental parsers of HTTP/1.1 messages (RFC 9112). No I/O.
//
// All lengths are limited. A message with ambiguous framing is malformed: both Content-Length and
// Transfer-Encoding, several Content-Length fields, line breaks other than CRLF, folded lines, white space
// before a colon.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"

namespace sablelink::http {

struct MessageLimits {
  size_t max_header_bytes = 8 << 10;  // of start line and header fields, and again of trailer fields
  size_t max_fields = 64;
  size_t max_body_bytes = 256 << 10;
  int max_interim_responses = 8;  // responses with status 1xx before the final response
};

enum class ParseStatus { kNeedMore, kComplete, kMalformed };

/// Base class of RequestReader and ResponseReader. A reader parses the consecutive messages of one
/// connection. kMalformed is final, because the boundaries of further messages are unknown.
class MessageReader {
 public:
  /// After kMalformed: status and text of a server's error response.
  int error_status() const { return error_status_; }
  const char* error() const { return error_; }

  /// Whether any received bytes have not been parsed.
  bool has_buffered_bytes() const { return parsed_bytes_ < buffer_.size(); }
  /// The number of received bytes that have not been parsed.
  size_t buffered_bytes() const { return buffer_.size() - parsed_bytes_; }
  /// The number of bytes that this reader stores: received ones and those of the message's parsed part.
  size_t stored_bytes() const;
  /// Whether no byte of the next message has been received.
  bool is_at_message_start() const { return part_ == Part::kStartLine && !has_buffered_bytes(); }

 protected:
  enum class MessageKind { kRequest, kResponse };

  MessageReader(MessageKind kind, const MessageLimits& limits)
      : kind_(kind), limits_(limits), remaining_header_bytes_(limits.max_header_bytes) {}

  ParseStatus feed(std::string_view bytes);
  ParseStatus finish();
  void start_next_message();
  void discard();

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

  // Each of these functions parses one element of the message. They return true if parsing continues with the
  // next element, and false if the message is complete or malformed or more bytes are needed.
  bool parse_element();
  bool parse_header_line();
  bool parse_request_line(std::string_view line);
  bool parse_status_line(std::string_view line);
  bool parse_field(std::string_view line);
  bool parse_content();
  void append_to_body(std::string_view content);
  bool parse_chunk_size();
  bool parse_chunk_end();
  bool parse_content_until_close();
  bool on_header_complete();
  bool skip_interim_response();
  bool start_chunked_content();
  bool start_sized_content();
  bool complete();
  bool fail(int status, const char* error);

  // Consumes the next line and returns it without its CRLF, valid until the buffer changes. Empty if the line
  // is incomplete or malformed.
  std::optional<std::string_view> read_line();
  std::string_view unparsed() const { return std::string_view(buffer_).substr(parsed_bytes_); }
  void consume(size_t bytes);
  void discard_parsed_bytes();

  bool is_request() const { return kind_ == MessageKind::kRequest; }
  const Fields& fields() const { return is_request() ? request_.fields : response_.fields; }
  const std::string& body() const { return is_request() ? request_.body : response_.body; }
  Fields& fields() { return is_request() ? request_.fields : response_.fields; }
  std::string& body() { return is_request() ? request_.body : response_.body; }

  const MessageKind kind_;
  const MessageLimits limits_;
  std::string buffer_;
  size_t parsed_bytes_ = 0;    // at the start of the buffer
  size_t searched_bytes_ = 0;  // at the start of the buffer, searched for a line feed
  Part part_ = Part::kStartLine;
  ParseStatus status_ = ParseStatus::kNeedMore;
  size_t remaining_header_bytes_;
  size_t remaining_content_bytes_ = 0;  // of the content or the current chunk
  int interim_responses_ = 0;
  bool is_http_1_0_ = false;
  int error_status_ = 0;
  const char* error_ = "";
};

class RequestReader : public MessageReader {
 public:
  explicit RequestReader(const MessageLimits& limits) : MessageReader(MessageKind::kRequest, limits) {}

  /// Parses the buffered bytes and then `bytes`. Bytes after the end of a message are buffered.
  ParseStatus feed(std::string_view bytes) { return MessageReader::feed(bytes); }
  /// After kComplete: returns the message and starts the next one. feed({}) parses the bytes buffered for it.
  Request take_message();
  /// Frees all stored bytes. From then on, feed() ignores its bytes and returns kMalformed.
  void discard() { MessageReader::discard(); }
};

class ResponseReader : public MessageReader {
 public:
  explicit ResponseReader(const MessageLimits& limits) : MessageReader(MessageKind::kResponse, limits) {}

  /// Like RequestReader::feed(). Interim responses are skipped.
  ParseStatus feed(std::string_view bytes) { return MessageReader::feed(bytes); }
  /// Must be called at the end of the connection. Completes content without a length; an incomplete message
  /// of any other kind is malformed.
  ParseStatus finish() { return MessageReader::finish(); }
  /// After kComplete: the message.
  const Response& response() const { return response_; }
  /// Like RequestReader::take_message().
  Response take_message();
};

}  // namespace sablelink::http
