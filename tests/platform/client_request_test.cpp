// Validation of client requests. Error texts are response bodies, so they are compared byte for byte.
#include "platform/client_request.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sablelink::test {
namespace {

platform::HttpServerOptions server_options() {
  platform::HttpServerOptions options;
  options.class_names = {"lookup", "report"};
  options.tenant_names = {"north", "south"};
  options.max_timeout_us = {2'000'000, 5'000'000};
  return options;
}

http::Request valid_request() {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/report";
  request.fields = {{"x-request-id", "9b1f03aa5c7e2d41"}, {"x-timeout-ms", "6000"}};
  request.body = "SELECT 1";
  return request;
}

http::Request with_fields(const http::Fields& more_fields) {
  http::Request request = valid_request();
  request.fields.insert(request.fields.end(), more_fields.begin(), more_fields.end());
  return request;
}

TEST(ClientRequest, ValidRequestIsParsed) {
  const auto parsed = platform::parse_client_request(with_fields({{"x-retry", "1"},
                                                                  {"x-tenant", "south"},
                                                                  {"x-cost-ms", "149.9"},
                                                                  {"x-est-mb", "722"},
                                                                  {"x-object", "t-7"},
                                                                  {"idempotency-key", "fc9a5e3c"}}),
                                                     server_options());
  const auto* valid = std::get_if<platform::ClientRequest>(&parsed);
  ASSERT_NE(valid, nullptr);
  EXPECT_EQ(valid->id, "9b1f03aa5c7e2d41");
  EXPECT_EQ(valid->class_index, 1);
  EXPECT_EQ(valid->tenant, 1);
  EXPECT_EQ(valid->timeout_us, 6'000'000);
  EXPECT_TRUE(valid->is_retry);
  EXPECT_EQ(valid->estimated_cost_us, 149'900);
  EXPECT_EQ(valid->estimated_memory_mb, 722);
  EXPECT_EQ(valid->idempotency_key, "fc9a5e3c");
  EXPECT_EQ(valid->ordering_key, "t-7");
}

TEST(ClientRequest, InvalidRequestHasTheStatusAndTextOfItsFirstError) {
  const auto changed = [](auto change) {
    http::Request request = valid_request();
    change(request);
    return request;
  };
  struct Case {
    http::Request request;
    int status;
    std::string message;
  };
  const std::vector<Case> cases = {
      {changed([](auto& r) { r.target = "/v2/report"; }), 404, "no such path"},
      {changed([](auto& r) { r.target = "/v1/other"; }), 404, "no such class"},
      {changed([](auto& r) { r.method = "GET"; }), 405, "statements must be sent with POST"},
      {with_fields({{"x-request-id", "9b1f03aa5c7e2d41"}}), 400, "duplicate header field"},
      {changed([](auto& r) { r.fields[0].second = "9B1F03AA5C7E2D41"; }), 400,
       "X-Request-Id is not 16 hex digits"},
      {changed([](auto& r) { r.fields[1].second = "6001"; }), 400,
       "X-Timeout-Ms is not a time that a client may wait"},
      {changed([](auto& r) { r.fields[1].second = "0"; }), 400,
       "X-Timeout-Ms is not a time that a client may wait"},
      {with_fields({{"x-retry", "2"}}), 400, "X-Retry is not 1"},
      {with_fields({{"other-ms", "soon"}}), 400,
       "a header field in milliseconds or megabytes is not a number"},
      {with_fields({{"x-est-mb", "1e10"}}), 400,
       "a header field in milliseconds or megabytes is not a number"},
      {with_fields({{"x-tenant", "west"}}), 400, "no such tenant"},
      {with_fields({{"x-object", "two words"}}), 400,
       "a key exceeds 256 bytes or contains invalid characters"},
      {with_fields({{"idempotency-key", std::string(257, 'a')}}), 400,
       "a key exceeds 256 bytes or contains invalid characters"},
      {changed([](auto& r) { r.body = ""; }), 400, "missing statement"},
      {changed([](auto& r) { r.body = "SELECT \x01"; }), 400, "the statement is not valid text"},
      {changed([](auto& r) {
         r.body = "";
         r.method = "GET";
       }),
       405, "statements must be sent with POST"},
  };
  for (const Case& c : cases) {
    const auto parsed = platform::parse_client_request(c.request, server_options());
    const auto* error = std::get_if<platform::ClientRequestError>(&parsed);
    ASSERT_NE(error, nullptr) << c.message;
    EXPECT_EQ(error->status, c.status) << c.message;
    EXPECT_EQ(error->message, c.message);
  }
}

}  // namespace
}  // namespace sablelink::test
