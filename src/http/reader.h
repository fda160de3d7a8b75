// Reads HTTP/1.1 from bytes that come in pieces, either direction. No I/O. Every length is bounded, and what
// can be read in two ways is not read at all: framing by Content-Length and Transfer-Encoding together,
// lengths that differ, line ends other than CRLF, white space before a colon, folded lines.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "http/message.h"

namespace sablelink::http {

struct MessageLimits {
  size_t max_header_bytes = 8 << 10;  // first line and fields, trailers the same again
  size_t max_fields = 64;
  size_t max_body_bytes = 256 << 10;
  int max_interim_responses = 8;  // 1xx answers before the real one
};

enum class ParseStatus { kNeedMore, kComplete, kMalformed };

class Reader {
 public:
  // What is wrong, as the status that a server would answer with.
  int error_status() const { return error_status_; }
  const char* error() const { return error_; }
  // Bytes that came after the message that has been read.
  bool has_buffered_bytes() const { return at_ < buffer_.size(); }
  // Nothing of a message has come.
  bool is_at_message_start() const { return stage_ == Stage::kFirstLine && at_ >= buffer_.size(); }
  size_t buffered_bytes() const { return buffer_.size() - at_; }
  // Bytes of the message read so far, its first line among them.
  bool head_complete() const { return stage_ >= Stage::kBody; }

 protected:
  Reader(bool requests, const MessageLimits& limits) : requests_(requests), limits_(limits) {}

  // Reads on with what has come. kDone and kBad stay until start_over().
  ParseStatus feed(std::string_view bytes);
  ParseStatus state() const { return state_; }
  // The connection has ended: that ends a body without a length.
  ParseStatus finish();
  void start_over();

  Request request_;
  Response response_;

 private:
  enum class Stage { kFirstLine, kFields, kBody, kChunkSize, kChunkData, kChunkEnd, kTrailers, kUntilClose };

  ParseStatus bad(int status, const char* why);
  ParseStatus done();
  ParseStatus step();
  // The next line without its CRLF; kMore where it hasn't come whole.
  ParseStatus line(std::string_view& out);
  ParseStatus first_line(std::string_view text);
  ParseStatus field(std::string_view text);
  ParseStatus head_over();
  ParseStatus chunk_size(std::string_view text);
  Fields& fields() { return requests_ ? request_.fields : response_.fields; }
  std::string& body() { return requests_ ? request_.body : response_.body; }

  const bool requests_;
  const MessageLimits limits_;
  std::string buffer_;
  size_t at_ = 0;       // of the buffer, read up to here
  size_t scanned_ = 0;  // ... and looked through for a line's end up to here
  Stage stage_ = Stage::kFirstLine;
  ParseStatus state_ = ParseStatus::kNeedMore;
  size_t head_left_ = 0;
  size_t left_ = 0;  // of the body or chunk
  int interim_ = 0;
  bool old_version_ = false;
  int error_status_ = 0;
  const char* error_ = "";
  bool begun_ = false;
};

class RequestReader : public Reader {
 public:
  explicit RequestReader(const MessageLimits& limits) : Reader(true, limits) {}
  ParseStatus feed(std::string_view bytes) { return Reader::feed(bytes); }
  const Request& request() const { return request_; }  // after kDone; its head once head_complete()
  // The message, after kDone; the reader goes on with the next, which may be there already: feed({}).
  Request take();
};

class ResponseReader : public Reader {
 public:
  explicit ResponseReader(const MessageLimits& limits) : Reader(false, limits) {}
  ParseStatus feed(std::string_view bytes) { return Reader::feed(bytes); }
  ParseStatus finish() { return Reader::finish(); }
  const Response& response() const { return response_; }
  Response take();
};

}  // namespace sablelink::http
