#include "dispatch/response_buffer.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace sablelink::test {
namespace {

using dispatch::BufferedResponse;
using dispatch::ResponseBufferLimits;
using dispatch::ResponseBufferPool;

constexpr RequestId kRequest = 1;
constexpr RequestId kOtherRequest = 2;
constexpr ResponseBufferLimits kLimits{.response_bytes = 10, .total_bytes = 15, .stream_window_bytes = 8};

TEST(ResponseBufferPool, Append_CountsBytesAgainstBothLimits) {
  ResponseBufferPool pool(kLimits);
  BufferedResponse first;
  BufferedResponse second;
  pool.append(first, std::string(10, 'x'));
  EXPECT_FALSE(pool.exceeds_response_limit(first));
  EXPECT_FALSE(pool.exceeds_total_limit());
  pool.append(second, std::string(6, 'x'));
  EXPECT_FALSE(pool.exceeds_response_limit(second));
  EXPECT_TRUE(pool.exceeds_total_limit());
  pool.append(first, "x");
  EXPECT_TRUE(pool.exceeds_response_limit(first));
  EXPECT_EQ(pool.total_bytes(), 17u);
}

TEST(ResponseBufferPool, Take_ReturnsMessagesInOrderAndReleasesTheirBytes) {
  ResponseBufferPool pool(kLimits);
  BufferedResponse response;
  pool.append(response, "ab");
  pool.append(response, "c");
  EXPECT_EQ(pool.take(response), (std::vector<std::string>{"ab", "c"}));
  EXPECT_EQ(pool.total_bytes(), 0u);
  EXPECT_TRUE(pool.take(response).empty());
}

TEST(ResponseBufferPool, Consume_ReopensWindowAtHalfItsSize) {
  ResponseBufferPool pool(kLimits);
  pool.add_unconsumed(kRequest, 8);
  EXPECT_FALSE(pool.is_window_exceeded(kRequest));
  pool.add_unconsumed(kRequest, 1);
  EXPECT_TRUE(pool.is_window_exceeded(kRequest));
  pool.consume(kRequest, 4);
  EXPECT_FALSE(pool.is_window_exceeded(kRequest));
  EXPECT_FALSE(pool.is_window_available(kRequest));
  pool.consume(kRequest, 1);
  EXPECT_TRUE(pool.is_window_available(kRequest));
  EXPECT_EQ(pool.total_bytes(), 4u);
}

TEST(ResponseBufferPool, ConsumeMoreThanWritten_CountsWhatWasWritten) {
  ResponseBufferPool pool(kLimits);
  pool.add_unconsumed(kRequest, 3);
  pool.add_unconsumed(kOtherRequest, 2);
  pool.consume(kRequest, 100);
  EXPECT_EQ(pool.total_bytes(), 2u);
  EXPECT_FALSE(pool.has_unconsumed(kRequest));
}

TEST(ResponseBufferPool, ForgetUnconsumed_ReleasesOneRequestsBytesOnly) {
  ResponseBufferPool pool(kLimits);
  pool.add_unconsumed(kRequest, 3);
  pool.add_unconsumed(kOtherRequest, 2);
  pool.discard_unconsumed(kRequest);
  pool.consume(kRequest, 3);
  EXPECT_EQ(pool.total_bytes(), 2u);
  EXPECT_TRUE(pool.has_unconsumed(kOtherRequest));
}

}  // namespace
}  // namespace sablelink::test
