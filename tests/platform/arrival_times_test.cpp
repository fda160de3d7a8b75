// Arrival times of pipelined bytes.
#include "platform/arrival_times.h"

#include <gtest/gtest.h>

namespace sablelink::test {
namespace {

TEST(ArrivalTimes, RequestArrivesWithItsLastByte) {
  platform::ArrivalTimes arrivals;
  EXPECT_EQ(arrivals.consume_until_pending(0), std::nullopt);
  arrivals.record(100, 10'000);  // a first request and 20 bytes of a second one
  arrivals.record(50, 90'000);   // the rest of the second one, and 10 bytes of a third one
  EXPECT_EQ(arrivals.consume_until_pending(70), 10'000);
  EXPECT_EQ(arrivals.consume_until_pending(10), 90'000);
}

TEST(ArrivalTimes, ArrivalsWithinTheResolutionAreRecordedAsOne) {
  platform::ArrivalTimes arrivals;
  arrivals.record(100, 10'000);
  arrivals.record(50, 11'000);
  EXPECT_EQ(arrivals.consume_until_pending(0), 10'000);
}

TEST(ArrivalTimes, NewestArrivalRemainsAfterTheOthersAreDiscarded) {
  platform::ArrivalTimes arrivals;
  arrivals.record(100, 10'000);
  arrivals.record(50, 90'000);
  arrivals.discard_all_but_newest();
  EXPECT_EQ(arrivals.consume_until_pending(100), 90'000);
}

}  // namespace
}  // namespace sablelink::test
