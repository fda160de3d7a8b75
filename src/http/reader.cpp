#include "http/reader.h"

#include <algorithm>
#include <utility>

#include "base/ascii.h"

namespace sablelink::http {
namespace {

constexpr size_t kMaxChunkLineBytes = 256;
constexpr size_t kMaxChunkSizeDigits = 8;
// Parsed bytes are discarded in batches. Moving the remaining bytes for each piece would be quadratic.
constexpr size_t kDiscardThresholdBytes = 16 << 10;
constexpr size_t kStatusCodeOffset = 9;  // after "HTTP/1.1 "
constexpr size_t kStatusCodeEnd = 12;

bool is_digit(char c) { return c >= '0' && c <= '9'; }

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

bool is_visible_ascii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

bool is_field_value(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c == '\t' || (c >= 0x20 && c != 0x7f); });
}

bool is_supported_version(std::string_view version) { return version == "HTTP/1.1" || version == "HTTP/1.0"; }

std::string_view trim_whitespace(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// Whether a comma-separated list contains the token, which must be in lower case.
bool list_contains(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    if (ascii_to_lower(trim_whitespace(list.substr(0, comma))) == token) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

// Returns -1 if the character is not a hexadecimal digit.
int hex_digit_value(char c) {
  if (is_digit(c)) return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

// ---- Bytes and status

ParseStatus MessageReader::feed(std::string_view bytes) {
  if (status_ == ParseStatus::kMalformed) return status_;
  buffer_ += bytes;
  if (status_ == ParseStatus::kComplete) return status_;
  while (parse_element()) continue;
  if (!has_buffered_bytes() || parsed_bytes_ > kDiscardThresholdBytes) discard_parsed_bytes();
  return status_;
}

ParseStatus MessageReader::finish() {
  if (status_ != ParseStatus::kNeedMore) return status_;
  if (part_ == Part::kContentUntilClose)
    complete();
  else
    fail(400, "the connection ended within a response");
  return status_;
}

size_t MessageReader::stored_bytes() const {
  size_t bytes = buffer_.size() + request_.target.size() + body().size();
  for (const auto& [name, value] : fields()) bytes += name.size() + value.size();
  return bytes;
}

void MessageReader::start_next_message() {
  discard_parsed_bytes();
  searched_bytes_ = 0;
  request_ = {};
  response_ = {};
  part_ = Part::kStartLine;
  status_ = ParseStatus::kNeedMore;
  remaining_header_bytes_ = limits_.max_header_bytes;
  interim_responses_ = 0;
}

void MessageReader::consume(size_t bytes) {
  parsed_bytes_ += bytes;
  searched_bytes_ = parsed_bytes_;
}

void MessageReader::discard_parsed_bytes() {
  buffer_.erase(0, parsed_bytes_);
  if (buffer_.empty()) buffer_.shrink_to_fit();
  searched_bytes_ -= std::min(searched_bytes_, parsed_bytes_);
  parsed_bytes_ = 0;
}

bool MessageReader::complete() {
  status_ = ParseStatus::kComplete;
  return false;
}

bool MessageReader::fail(int status, const char* error) {
  error_status_ = status;
  error_ = error;
  discard();
  return false;
}

void MessageReader::discard() {
  buffer_.clear();
  buffer_.shrink_to_fit();
  parsed_bytes_ = 0;
  searched_bytes_ = 0;
  request_ = {};
  response_ = {};
  status_ = ParseStatus::kMalformed;
}

// ---- Start line and fields

bool MessageReader::parse_element() {
  switch (part_) {
    case Part::kStartLine:
    case Part::kHeaderFields:
    case Part::kTrailerFields:
      return parse_header_line();
    case Part::kContent:
    case Part::kChunkData:
      return parse_content();
    case Part::kChunkSize:
      return parse_chunk_size();
    case Part::kChunkEnd:
      return parse_chunk_end();
    case Part::kContentUntilClose:
      return parse_content_until_close();
  }
  return false;
}

std::optional<std::string_view> MessageReader::read_line() {
  const size_t line_feed = buffer_.find('\n', searched_bytes_);
  const bool is_complete = line_feed != std::string::npos;
  const size_t length = (is_complete ? line_feed + 1 : buffer_.size()) - parsed_bytes_;
  if (length > remaining_header_bytes_) {
    fail(is_request() ? 431 : 400, "the header section is too long");
    return std::nullopt;
  }
  if (!is_complete) {
    searched_bytes_ = buffer_.size();
    return std::nullopt;
  }
  if (length < 2 || buffer_[line_feed - 1] != '\r') {
    fail(400, "a line doesn't end in CRLF");
    return std::nullopt;
  }
  const std::string_view line = unparsed().substr(0, length - 2);
  consume(length);
  remaining_header_bytes_ -= length;
  return line;
}

bool MessageReader::parse_header_line() {
  const std::optional<std::string_view> line = read_line();
  if (!line) return false;
  if (part_ == Part::kStartLine) return is_request() ? parse_request_line(*line) : parse_status_line(*line);
  if (!line->empty()) return parse_field(*line);
  return part_ == Part::kHeaderFields ? on_header_complete() : complete();
}

bool MessageReader::parse_request_line(std::string_view line) {
  static constexpr char kInvalidRequestLine[] = "invalid request line";
  const size_t first_space = line.find(' ');
  const size_t last_space = line.rfind(' ');
  if (first_space == std::string_view::npos || first_space == last_space)
    return fail(400, kInvalidRequestLine);
  const std::string_view method = line.substr(0, first_space);
  const std::string_view target = line.substr(first_space + 1, last_space - first_space - 1);
  const std::string_view version = line.substr(last_space + 1);
  if (!is_token(method) || target.empty() || !is_visible_ascii(target)) return fail(400, kInvalidRequestLine);
  if (!is_supported_version(version)) {
    if (version.starts_with("HTTP/")) return fail(505, "the version is not HTTP/1.1");
    return fail(400, kInvalidRequestLine);
  }
  request_.method = method;
  request_.target = target;
  is_http_1_0_ = version == "HTTP/1.0";
  part_ = Part::kHeaderFields;
  return true;
}

bool MessageReader::parse_status_line(std::string_view line) {
  static constexpr char kInvalidStatusLine[] = "invalid status line";
  const std::string_view version = line.substr(0, kStatusCodeOffset - 1);
  const bool is_well_formed = line.size() >= kStatusCodeEnd && is_supported_version(version) &&
                              line[kStatusCodeOffset - 1] == ' ' &&
                              (line.size() == kStatusCodeEnd || line[kStatusCodeEnd] == ' ');
  if (!is_well_formed) return fail(400, kInvalidStatusLine);
  const long long status =
      parse_decimal(line.substr(kStatusCodeOffset, kStatusCodeEnd - kStatusCodeOffset), 999);
  if (status < 100 || status > 599) return fail(400, kInvalidStatusLine);
  response_.status = static_cast<int>(status);
  is_http_1_0_ = version == "HTTP/1.0";
  part_ = Part::kHeaderFields;
  return true;
}

bool MessageReader::parse_field(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
    return fail(400, "invalid header field");
  const std::string_view value = trim_whitespace(line.substr(colon + 1));
  if (!is_field_value(value)) return fail(400, "invalid value of a header field");
  if (part_ == Part::kTrailerFields) return true;  // valid trailer fields are ignored
  if (fields().size() >= limits_.max_fields) return fail(431, "too many header fields");
  fields().emplace_back(ascii_to_lower(line.substr(0, colon)), value);
  return true;
}

// ---- Framing (RFC 9112, 6.3)

bool MessageReader::on_header_complete() {
  if (!is_request() && response_.status < 200) return skip_interim_response();
  const Fields& header = fields();
  bool& keep_alive = is_request() ? request_.keep_alive : response_.keep_alive;
  keep_alive = !is_http_1_0_ && !list_contains(field_value(header, "connection"), "close");
  const bool has_transfer_encoding = field_count(header, "transfer-encoding") > 0;
  const bool has_content_length = field_count(header, "content-length") > 0;
  if (has_transfer_encoding && has_content_length)
    return fail(400, "both Content-Length and Transfer-Encoding");
  if (field_count(header, "host") > 1) return fail(400, "more than one Host");
  if (has_transfer_encoding) return start_chunked_content();
  const bool never_has_content = !is_request() && (response_.status == 204 || response_.status == 304);
  if (never_has_content) return complete();
  if (has_content_length) return start_sized_content();
  if (is_request()) return complete();
  part_ = Part::kContentUntilClose;
  response_.keep_alive = false;
  response_.has_known_length = false;
  return true;
}

bool MessageReader::skip_interim_response() {
  const bool switches_protocols = response_.status == 101;
  if (switches_protocols || ++interim_responses_ > limits_.max_interim_responses)
    return fail(400, "too many interim responses");
  response_ = {};
  remaining_header_bytes_ = limits_.max_header_bytes;
  part_ = Part::kStartLine;
  return true;
}

bool MessageReader::start_chunked_content() {
  if (is_http_1_0_) return fail(400, "Transfer-Encoding in HTTP/1.0");
  const Fields& header = fields();
  if (field_count(header, "transfer-encoding") > 1 ||
      ascii_to_lower(field_value(header, "transfer-encoding")) != "chunked")
    return fail(501, "unsupported transfer coding");
  part_ = Part::kChunkSize;
  return true;
}

bool MessageReader::start_sized_content() {
  const Fields& header = fields();
  if (field_count(header, "content-length") > 1) return fail(400, "more than one Content-Length");
  const std::string_view length = field_value(header, "content-length");
  if (length.empty() || !std::all_of(length.begin(), length.end(), is_digit))
    return fail(400, "Content-Length is no length");
  const long long bytes = parse_decimal(length, static_cast<long long>(limits_.max_body_bytes));
  if (bytes < 0) return fail(413, "the content is too long");
  remaining_content_bytes_ = static_cast<size_t>(bytes);
  part_ = Part::kContent;
  return true;
}

// ---- Content

// Grows the body's storage by doubling, but no further than to the longest possible content.
void MessageReader::append_to_body(std::string_view content) {
  std::string& stored = body();
  const size_t needed = stored.size() + content.size();
  const size_t longest =
      part_ == Part::kContent ? stored.size() + remaining_content_bytes_ : limits_.max_body_bytes;
  if (needed > stored.capacity()) {
    std::string larger;  // reserve() of a string that has storage may double it
    larger.reserve(std::clamp(2 * stored.capacity(), needed, longest));
    larger += stored;
    stored = std::move(larger);
  }
  stored += content;
}

bool MessageReader::parse_content() {
  const std::string_view content = unparsed().substr(0, remaining_content_bytes_);
  append_to_body(content);
  remaining_content_bytes_ -= content.size();
  consume(content.size());
  if (remaining_content_bytes_ > 0) return false;
  if (part_ == Part::kContent) return complete();
  part_ = Part::kChunkEnd;
  return true;
}

bool MessageReader::parse_chunk_size() {
  remaining_header_bytes_ = kMaxChunkLineBytes;
  const std::optional<std::string_view> line = read_line();
  if (!line) return false;
  const std::string_view digits =
      trim_whitespace(line->substr(0, line->find(';')));  // without chunk extensions
  if (digits.empty() || digits.size() > kMaxChunkSizeDigits) return fail(400, "invalid chunk size");
  size_t size = 0;
  for (const char c : digits) {
    const int digit = hex_digit_value(c);
    if (digit < 0) return fail(400, "invalid chunk size");
    size = size * 16 + static_cast<size_t>(digit);
  }
  if (size > limits_.max_body_bytes - body().size()) return fail(413, "the content is too long");
  remaining_content_bytes_ = size;
  remaining_header_bytes_ = limits_.max_header_bytes;
  const bool is_last_chunk = size == 0;
  part_ = is_last_chunk ? Part::kTrailerFields : Part::kChunkData;
  return true;
}

bool MessageReader::parse_chunk_end() {
  static constexpr std::string_view kCrlf = "\r\n";
  if (buffered_bytes() < kCrlf.size()) return false;
  if (!unparsed().starts_with(kCrlf)) return fail(400, "a chunk is longer than its size");
  consume(kCrlf.size());
  part_ = Part::kChunkSize;
  return true;
}

bool MessageReader::parse_content_until_close() {
  if (body().size() + buffered_bytes() > limits_.max_body_bytes) return fail(413, "the content is too long");
  append_to_body(unparsed());
  consume(buffered_bytes());
  return false;
}

// ---- Messages

Request RequestReader::take_message() {
  Request out = std::move(request_);
  start_next_message();
  return out;
}

Response ResponseReader::take_message() {
  Response out = std::move(response_);
  start_next_message();
  return out;
}

}  // namespace sablelink::http
