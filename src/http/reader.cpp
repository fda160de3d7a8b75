#include "http/reader.h"

#include <algorithm>
#include <utility>

#include "base/ascii.h"

namespace sablelink::http {
namespace {

constexpr size_t kChunkLineBytes = 256;

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
  });
}

bool is_plain(std::string_view text) {  // visible ASCII
  return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool names(std::string_view list, std::string_view wanted) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    if (ascii_to_lower(trimmed(list.substr(0, comma))) == wanted) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

ParseStatus Reader::bad(int status, const char* why) {
  error_status_ = status;
  error_ = why;
  buffer_.clear();
  buffer_.shrink_to_fit();
  at_ = scanned_ = 0;
  return state_ = ParseStatus::kMalformed;
}

ParseStatus Reader::done() { return state_ = ParseStatus::kComplete; }

void Reader::start_over() {
  buffer_.erase(0, at_);
  if (buffer_.empty()) buffer_.shrink_to_fit();
  at_ = scanned_ = 0;
  request_ = {};
  response_ = {};
  stage_ = Stage::kFirstLine;
  state_ = ParseStatus::kNeedMore;
  interim_ = 0;
  begun_ = false;
}

ParseStatus Reader::feed(std::string_view bytes) {
  if (state_ == ParseStatus::kMalformed) return state_;
  buffer_ += bytes;
  if (state_ == ParseStatus::kComplete) return state_;
  while (state_ == ParseStatus::kNeedMore && step() == ParseStatus::kComplete) {
  }
  // What is read needn't stay, but moving it for every piece would cost the square of a body's length.
  if (at_ > 16 << 10) {
    buffer_.erase(0, at_);
    scanned_ -= std::min(scanned_, at_);
    at_ = 0;
  }
  return state_;
}

// One step further. kDone: go on; kMore: not enough has come.
ParseStatus Reader::step() {
  if (!begun_) {
    begun_ = true;
    head_left_ = limits_.max_header_bytes;
  }
  std::string_view text;
  const std::string_view rest = std::string_view(buffer_).substr(at_);
  switch (stage_) {
    case Stage::kFirstLine:
    case Stage::kFields:
    case Stage::kTrailers: {
      if (line(text) != ParseStatus::kComplete) return state_;
      if (stage_ == Stage::kFirstLine) return first_line(text);
      if (!text.empty()) return field(text);
      if (stage_ == Stage::kFields) return head_over();
      return done();
    }
    case Stage::kBody:
    case Stage::kChunkData: {
      const size_t n = std::min(left_, rest.size());
      body() += rest.substr(0, n);
      at_ += n;
      scanned_ = at_;
      left_ -= n;
      if (left_ > 0) return ParseStatus::kNeedMore;
      if (stage_ == Stage::kBody) return done();
      stage_ = Stage::kChunkEnd;
      return ParseStatus::kComplete;
    }
    case Stage::kChunkEnd:
      if (rest.size() < 2) return ParseStatus::kNeedMore;
      if (!rest.starts_with("\r\n")) return bad(400, "a chunk is longer than told");
      at_ += 2;
      scanned_ = at_;
      stage_ = Stage::kChunkSize;
      return ParseStatus::kComplete;
    case Stage::kChunkSize: {
      head_left_ = kChunkLineBytes;
      if (line(text) != ParseStatus::kComplete) return state_;
      return chunk_size(text);
    }
    case Stage::kUntilClose:
      if (body().size() + rest.size() > limits_.max_body_bytes) return bad(413, "the body is too long");
      body() += rest;
      at_ = scanned_ = buffer_.size();
      return ParseStatus::kNeedMore;
  }
  return state_;
}

ParseStatus Reader::line(std::string_view& out) {
  const size_t end = buffer_.find('\n', std::max(at_, scanned_));
  const size_t length = (end == std::string::npos ? buffer_.size() : end + 1) - at_;
  if (length > head_left_) return bad(requests_ ? 431 : 400, "the head is too long");
  if (end == std::string::npos) {
    scanned_ = buffer_.size();
    return ParseStatus::kNeedMore;
  }
  if (length < 2 || buffer_[end - 1] != '\r') return bad(400, "a line doesn't end in CRLF");
  out = std::string_view(buffer_).substr(at_, length - 2);
  at_ = scanned_ = end + 1;
  head_left_ -= length;
  return ParseStatus::kComplete;
}

ParseStatus Reader::first_line(std::string_view text) {
  if (requests_) {
    const size_t a = text.find(' '), b = text.rfind(' ');
    if (a == std::string_view::npos || a == b) return bad(400, "the first line is no request");
    const std::string_view method = text.substr(0, a), target = text.substr(a + 1, b - a - 1),
                           version = text.substr(b + 1);
    if (!is_token(method) || target.empty() || !is_plain(target))
      return bad(400, "the first line is no request");
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
      return version.starts_with("HTTP/") ? bad(505, "the version is not HTTP/1.1")
                                          : bad(400, "the first line is no request");
    }
    request_.method = method;
    request_.target = target;
    old_version_ = version == "HTTP/1.0";
  } else {
    if (text.size() < 12 || !(text.starts_with("HTTP/1.1 ") || text.starts_with("HTTP/1.0 ")) ||
        (text.size() > 12 && text[12] != ' '))
      return bad(400, "the first line is no answer");
    const long long status = parse_decimal(text.substr(9, 3), 999);
    if (status < 100 || status > 599) return bad(400, "the first line is no answer");
    response_.status = static_cast<int>(status);
    old_version_ = text.starts_with("HTTP/1.0");
  }
  stage_ = Stage::kFields;
  return ParseStatus::kComplete;
}

ParseStatus Reader::field(std::string_view text) {
  const size_t colon = text.find(':');
  if (colon == std::string_view::npos || !is_token(text.substr(0, colon)))
    return bad(400, "a field can't be read");
  const std::string_view value = trimmed(text.substr(colon + 1));
  for (const unsigned char c : value)
    if ((c < 0x20 && c != '\t') || c == 0x7f) return bad(400, "a field's value can't be read");
  if (stage_ == Stage::kTrailers) return ParseStatus::kComplete;  // nothing of ours stands in trailers
  if (fields().size() >= limits_.max_fields) return bad(431, "too many fields");
  fields().emplace_back(ascii_to_lower(text.substr(0, colon)), value);
  return ParseStatus::kComplete;
}

ParseStatus Reader::head_over() {
  const Fields& f = fields();
  if (!requests_ && response_.status < 200) {
    if (response_.status == 101 || ++interim_ > limits_.max_interim_responses)
      return bad(400, "too many interim answers");
    response_ = {};
    head_left_ = limits_.max_header_bytes;
    stage_ = Stage::kFirstLine;
    return ParseStatus::kComplete;
  }
  const std::string_view connection = find(f, "connection");
  (requests_ ? request_.keep_alive : response_.keep_alive) = !old_version_ && !names(connection, "close");
  const std::string_view coding = find(f, "transfer-encoding"), length = find(f, "content-length");
  const bool coded = count(f, "transfer-encoding") > 0, sized = count(f, "content-length") > 0;
  if (coded && sized) return bad(400, "both Content-Length and Transfer-Encoding");
  if (count(f, "host") > 1) return bad(400, "more than one Host");
  if (coded) {
    if (old_version_) return bad(400, "Transfer-Encoding in HTTP/1.0");
    if (count(f, "transfer-encoding") > 1 || ascii_to_lower(coding) != "chunked")
      return bad(501, "a transfer coding other than chunked");
    stage_ = Stage::kChunkSize;
    return ParseStatus::kComplete;
  }
  if (!requests_ && (response_.status == 204 || response_.status == 304)) return done();
  if (sized) {
    if (count(f, "content-length") > 1) return bad(400, "more than one Content-Length");
    if (length.empty() || length.find_first_not_of("0123456789") != std::string_view::npos)
      return bad(400, "Content-Length is no length");
    const long long bytes = parse_decimal(length, static_cast<long long>(limits_.max_body_bytes));
    if (bytes < 0) return bad(413, "the body is too long");
    left_ = static_cast<size_t>(bytes);
    stage_ = Stage::kBody;
    return ParseStatus::kComplete;
  }
  if (requests_) return done();
  stage_ = Stage::kUntilClose;
  response_.keep_alive = false;
  return ParseStatus::kComplete;
}

ParseStatus Reader::chunk_size(std::string_view text) {
  text = trimmed(text.substr(0, text.find(';')));
  if (text.empty() || text.size() > 8) return bad(400, "a chunk's length can't be read");
  size_t size = 0;
  for (const char c : text) {
    const int digit = c >= '0' && c <= '9'   ? c - '0'
                      : c >= 'a' && c <= 'f' ? c - 'a' + 10
                      : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                             : -1;
    if (digit < 0) return bad(400, "a chunk's length can't be read");
    size = size * 16 + static_cast<size_t>(digit);
  }
  if (size > limits_.max_body_bytes - body().size()) return bad(413, "the body is too long");
  left_ = size;
  stage_ = size == 0 ? Stage::kTrailers : Stage::kChunkData;
  head_left_ = limits_.max_header_bytes;
  return ParseStatus::kComplete;
}

ParseStatus Reader::finish() {
  if (state_ != ParseStatus::kNeedMore) return state_;
  if (stage_ == Stage::kUntilClose) return done();
  return bad(400, "the connection ended within an answer");
}

Request RequestReader::take() {
  Request out = std::move(request_);
  start_over();
  return out;
}

Response ResponseReader::take() {
  Response out = std::move(response_);
  start_over();
  return out;
}

}  // namespace sablelink::http
