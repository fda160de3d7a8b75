// Parsing of HTTP messages from pieces of any size, and rejection of malformed messages.
#include "http/reader.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "http/message.h"

namespace sablelink::http {
namespace {

const std::string kPost =
    "POST /v1/report HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\n"
    "X-Timeout-Ms:  1500 \r\nContent-Length: 8\r\n\r\nSELECT 1";

struct ParseResult {
  ParseStatus status = ParseStatus::kNeedMore;
  Request request;
  int error_status = 0;
};

// Feeds the bytes in pieces of `piece_size`.
ParseResult parse_request(const std::string& bytes, size_t piece_size, const MessageLimits& limits = {}) {
  RequestReader reader(limits);
  ParseResult out;
  for (size_t at = 0; at < bytes.size() && out.status == ParseStatus::kNeedMore; at += piece_size)
    out.status = reader.feed(std::string_view(bytes).substr(at, piece_size));
  if (out.status == ParseStatus::kComplete) out.request = reader.take_message();
  out.error_status = reader.error_status();
  return out;
}

// Guards against content that takes twice its memory because its storage grows by doubling.
TEST(HttpReader, ContentOfKnownLengthTakesNoMoreMemoryThanItsLength) {
  constexpr size_t kLength = 65'400;
  constexpr size_t kReadBytes = 8 << 10;
  const std::string bytes =
      serialize_request("POST", "/v1/report", "service.internal", {}, std::string(kLength, 'x'));
  const ParseResult result = parse_request(bytes, kReadBytes);
  ASSERT_EQ(result.status, ParseStatus::kComplete);
  EXPECT_EQ(result.request.body.size(), kLength);
  EXPECT_LT(result.request.body.capacity(), kLength + kReadBytes);
}

TEST(HttpReader, StoredBytesIncludeTheParsedPartOfTheMessage) {
  RequestReader reader{MessageLimits{}};
  const std::string bytes = serialize_request("POST", "/v1/report", "h", {}, std::string(20'000, 'x'));
  reader.feed(std::string_view(bytes).substr(0, 15'000));
  EXPECT_GE(reader.stored_bytes(), 14'900u);
  EXPECT_LE(reader.stored_bytes(), 15'100u);
  reader.feed(std::string_view(bytes).substr(15'000));
  reader.take_message();
  EXPECT_EQ(reader.stored_bytes(), 0u);
  reader.feed(std::string_view(bytes).substr(0, 15'000));
  reader.discard();
  EXPECT_EQ(reader.stored_bytes(), 0u);
  EXPECT_EQ(reader.feed(bytes), ParseStatus::kMalformed);
}

TEST(HttpReader, RequestInPiecesOfAnySizeIsParsed) {
  for (size_t piece_size = 1; piece_size <= kPost.size(); ++piece_size) {
    const ParseResult result = parse_request(kPost, piece_size);
    ASSERT_EQ(result.status, ParseStatus::kComplete) << piece_size;
    EXPECT_EQ(result.request.method, "POST");
    EXPECT_EQ(result.request.target, "/v1/report");
    EXPECT_EQ(field_value(result.request.fields, "x-timeout-ms"), "1500");
    EXPECT_EQ(result.request.body, "SELECT 1");
    EXPECT_TRUE(result.request.keep_alive);
  }
}

TEST(HttpReader, ChunkedContentIsJoined) {
  const std::string text =
      "POST /v1/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6;x=y\r\nSELECT\r\n2\r\n 1\r\n0\r\nT: "
      "v\r\n\r\n";
  for (size_t piece_size = 1; piece_size <= text.size(); ++piece_size) {
    const ParseResult result = parse_request(text, piece_size);
    ASSERT_EQ(result.status, ParseStatus::kComplete) << piece_size;
    EXPECT_EQ(result.request.body, "SELECT 1");
  }
}

TEST(HttpReader, PipelinedMessageIsBuffered) {
  RequestReader reader{MessageLimits{}};
  ASSERT_EQ(reader.feed(kPost + kPost.substr(0, 30)), ParseStatus::kComplete);
  EXPECT_TRUE(reader.has_buffered_bytes());
  reader.take_message();
  ASSERT_EQ(reader.feed({}), ParseStatus::kNeedMore);
  ASSERT_EQ(reader.feed(kPost.substr(30)), ParseStatus::kComplete);
  EXPECT_FALSE(reader.has_buffered_bytes());
  EXPECT_EQ(reader.take_message().body, "SELECT 1");
  EXPECT_TRUE(reader.is_at_message_start());
}

TEST(HttpReader, AmbiguousOrOversizedMessageIsMalformed) {
  const auto head = [](const std::string& fields) { return "POST /v1/a HTTP/1.1\r\n" + fields + "\r\n"; };
  const std::vector<std::pair<std::string, int>> cases = {
      {head("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", 400},
      {head("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n") + "0\r\n\r\n", 400},
      {head("Content-Length: 5\r\nContent-Length: 6\r\n") + "abcdef", 400},
      {head("Content-Length: 5\r\nContent-Length: 5\r\n") + "abcde", 400},
      {head("Content-Length: 5, 5\r\n") + "abcde", 400},
      {head("Content-Length: -5\r\n"), 400},
      {head("Content-Length: +5\r\n") + "abcde", 400},
      {head("Content-Length: 0x5\r\n") + "abcde", 400},
      {head("Content-Length: \r\n"), 400},
      {head("Content-Length: 99999999999999999999\r\n"), 413},
      {head("Content-Length: 62914560\r\n"), 413},
      {head("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n", 501},
      {head("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", 501},
      {head("Transfer-Encoding: chunked\r\n") + "fffffffff\r\n", 400},
      {head("Transfer-Encoding: chunked\r\n") + "ffffffff\r\n", 413},
      {head("Transfer-Encoding: chunked\r\n") + "-1\r\n", 400},
      {head("Transfer-Encoding: chunked\r\n") + "2\r\nabc\r\n0\r\n\r\n", 400},
      {head("Host: a\r\nHost: b\r\n"), 400},
      {head("X-A : b\r\n"), 400},
      {head(" folded: b\r\n"), 400},
      {head("no colon\r\n"), 400},
      {head(std::string("X-A: b\0c\r\n", 10)), 400},
      {"POST /v1/a HTTP/1.1\nHost: a\n\n", 400},
      {"POST /v1/a\r\n\r\n", 400},
      {"POST  /v1/a HTTP/1.1\r\n\r\n", 400},
      {"POST /v1/a HTTP/2.0\r\n\r\n", 505},
      {"PO\x01ST /v1/a HTTP/1.1\r\n\r\n", 400},
      {"\x16\x03\x01\x02\r\n", 400},
      {"POST /" + std::string(9000, 'a'), 431},
      {head("X: " + std::string(9000, 'a')), 431},
  };
  for (const auto& [bytes, status] : cases)
    for (const size_t piece_size : {size_t{1}, size_t{7}, bytes.size()}) {
      const ParseResult result = parse_request(bytes, piece_size);
      EXPECT_EQ(result.status, ParseStatus::kMalformed) << bytes.substr(0, 80);
      EXPECT_EQ(result.error_status, status) << bytes.substr(0, 80);
    }
  std::string too_many_fields = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 65; ++i) too_many_fields += "A: b\r\n";
  EXPECT_EQ(parse_request(too_many_fields, 5).error_status, 431);
}

// Parsed bytes are discarded. Otherwise, content without an end would use up the memory.
TEST(HttpReader, ContentAndInterimResponsesAreLimited) {
  MessageLimits limits;
  limits.max_body_bytes = 1000;
  RequestReader reader(limits);
  ParseStatus status = reader.feed("POST /v1/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  size_t fed_bytes = 0;
  while (status == ParseStatus::kNeedMore && fed_bytes < 1 << 20) {
    status = reader.feed("5\r\nabcde\r\n");
    fed_bytes += 5;
  }
  EXPECT_EQ(status, ParseStatus::kMalformed);
  EXPECT_LE(fed_bytes, 1005u);
  EXPECT_EQ(reader.buffered_bytes(), 0u);
  // The number of interim responses is limited.
  ResponseReader responses(limits);
  int interim = 0;
  for (status = ParseStatus::kNeedMore; status == ParseStatus::kNeedMore && interim < 100; ++interim)
    status = responses.feed("HTTP/1.1 102 Processing\r\n\r\n");
  EXPECT_EQ(status, ParseStatus::kMalformed);
  EXPECT_EQ(interim, 9);
}

TEST(HttpReader, ResponseAfterInterimResponsesEndsByLengthOrClose) {
  const auto read = [](const std::string& bytes, bool connection_ends, size_t piece_size) {
    ResponseReader reader{MessageLimits{}};
    ParseStatus status = ParseStatus::kNeedMore;
    for (size_t at = 0; at < bytes.size(); at += piece_size)
      status = reader.feed(std::string_view(bytes).substr(at, piece_size));
    if (connection_ends) status = reader.finish();
    return std::make_pair(status, reader.take_message());
  };
  for (const size_t piece_size : {size_t{1}, size_t{3}, size_t{1000}}) {
    const auto [sized_status, sized] =
        read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nPage-Count: 2\r\nContent-Length: 3\r\n\r\nabc",
             false, piece_size);
    ASSERT_EQ(sized_status, ParseStatus::kComplete);
    EXPECT_EQ(sized.status, 200);
    EXPECT_EQ(field_value(sized.fields, "page-count"), "2");
    EXPECT_EQ(sized.body, "abc");
    EXPECT_EQ(read("HTTP/1.1 204 No Content\r\n\r\n", false, piece_size).first, ParseStatus::kComplete);
    const auto [unsized_status, unsized] = read("HTTP/1.1 200 OK\r\n\r\nabc", true, piece_size);
    ASSERT_EQ(unsized_status, ParseStatus::kComplete);
    EXPECT_EQ(unsized.body, "abc");
    EXPECT_FALSE(unsized.keep_alive);
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", true, piece_size).first,
              ParseStatus::kMalformed);
    EXPECT_EQ(read("HTTP/1.1 2OO OK\r\n\r\n", false, piece_size).first, ParseStatus::kMalformed);
    EXPECT_EQ(read("HTTP/1.1 101 Switching\r\n\r\n", false, piece_size).first, ParseStatus::kMalformed);
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n", false, piece_size).first,
              ParseStatus::kMalformed);
  }
}

TEST(HttpMessage, WrittenMessageIsParsedBack) {
  RequestReader requests{MessageLimits{}};
  ASSERT_EQ(
      requests.feed(serialize_request("POST", "/v2/q", "10.0.0.1:80", {{"X-Ticket", "ab"}}, "SELECT 1")),
      ParseStatus::kComplete);
  const Request request = requests.take_message();
  EXPECT_EQ(field_value(request.fields, "host"), "10.0.0.1:80");
  EXPECT_EQ(field_value(request.fields, "x-ticket"), "ab");
  EXPECT_EQ(request.body, "SELECT 1");
  ASSERT_EQ(requests.feed(serialize_request("DELETE", "/v2/q/ab", "h", {})), ParseStatus::kComplete);
  ResponseReader responses{MessageLimits{}};
  ASSERT_EQ(responses.feed(serialize_response(503, {{"Retry-After-Ms", "200"}}, "{}", false)),
            ParseStatus::kComplete);
  EXPECT_FALSE(responses.response().keep_alive);
  EXPECT_EQ(responses.take_message().body, "{}");
}

TEST(HttpMessage, ParseDecimalAcceptsOnlyDigits) {
  EXPECT_EQ(parse_decimal("0", 10), 0);
  EXPECT_EQ(parse_decimal("10", 10), 10);
  for (const char* invalid : {"", "11", "-1", "+1", "1.0", " 1", "1 ", "0x1", "1e1", "99999999999999999999"})
    EXPECT_EQ(parse_decimal(invalid, 10), -1) << invalid;
}

}  // namespace
}  // namespace sablelink::http
