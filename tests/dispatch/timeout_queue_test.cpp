#include "dispatch/timeout_queue.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "tests/dispatch/dispatcher_harness.h"

namespace sablelink::test {
namespace {

using dispatch::Timeout;
using dispatch::TimeoutKind;

class TimeoutQueueTest : public testing::Test {
 protected:
  TimeoutQueueTest() {
    event_clock_.update();
    queue_ = std::make_unique<dispatch::TimeoutQueue>(
        event_clock_, [this](const Timeout& timeout) { expired_.push_back(timeout); });
  }
  Timeout after(TimeUs delay_us, TimeoutKind kind, uint32_t id) const {
    return {event_clock_.now() + delay_us, kind, id, 0};
  }

  ManualClock clock_;
  dispatch::EventClock event_clock_{clock_};
  std::vector<Timeout> expired_;
  std::unique_ptr<dispatch::TimeoutQueue> queue_;
};

TEST_F(TimeoutQueueTest, ScheduledTimeouts_ExpireInOrderOfTheirDeadlines) {
  const Timeout late = after(20, TimeoutKind::kRequest, 1);
  const Timeout early = after(10, TimeoutKind::kHealthCheck, 2);
  queue_->schedule(late);
  queue_->schedule(early);
  clock_.run_for(9);
  EXPECT_TRUE(expired_.empty());
  clock_.run_for(1);
  EXPECT_EQ(expired_, std::vector<Timeout>{early});
  clock_.run_for(10);
  EXPECT_EQ(expired_, (std::vector<Timeout>{early, late}));
}

TEST_F(TimeoutQueueTest, EqualDeadlines_AttemptExpiresBeforeItsRequest) {
  const Timeout request = after(10, TimeoutKind::kRequest, 1);
  const Timeout attempt = after(10, TimeoutKind::kAttempt, 1);
  queue_->schedule(request);
  queue_->schedule(attempt);
  clock_.run_for(10);
  EXPECT_EQ(expired_, (std::vector<Timeout>{attempt, request}));
}

TEST_F(TimeoutQueueTest, CancelledTimeout_DoesNotExpire) {
  const Timeout cancelled = after(10, TimeoutKind::kRequest, 1);
  const Timeout scheduled = after(20, TimeoutKind::kRequest, 2);
  queue_->schedule(cancelled);
  queue_->schedule(scheduled);
  queue_->cancel(cancelled);
  clock_.run_for(20);
  EXPECT_EQ(expired_, std::vector<Timeout>{scheduled});
}

TEST_F(TimeoutQueueTest, ManyTimeouts_RequestOneCallbackOfTheClock) {
  for (uint32_t id = 1; id <= 100; ++id) queue_->schedule(after(10 + id, TimeoutKind::kRequest, id));
  EXPECT_EQ(clock_.pending(), 1u);
}

TEST_F(TimeoutQueueTest, QueueDestroyed_PendingCallbackDoesNothing) {
  queue_->schedule(after(10, TimeoutKind::kRequest, 1));
  queue_.reset();
  clock_.run_for(10);
  EXPECT_TRUE(expired_.empty());
}

}  // namespace
}  // namespace sablelink::test
