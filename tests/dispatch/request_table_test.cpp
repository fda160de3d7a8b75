#include "dispatch/request_table.h"

#include <gtest/gtest.h>

#include <memory>

#include "tests/dispatch/dispatcher_harness.h"

namespace sablelink::test {
namespace {

using dispatch::AttemptEntry;
using dispatch::AttemptInFlight;
using dispatch::RequestTable;
using dispatch::TrackedRequest;

bool none_reserved(RequestId) { return false; }

TEST(RequestTable, NextId_SkipsReservedIds) {
  RequestTable table;
  EXPECT_EQ(table.next_id(none_reserved), 1u);
  EXPECT_EQ(table.next_id([](RequestId id) { return id == 2 || id == 3; }), 4u);
}

TEST(RequestTable, FindAttempt_ReturnsItWithItsRequest) {
  RequestTable table;
  TrackedRequest& request = table.add(1, std::make_shared<FakeClient>());
  AttemptInFlight attempt;
  attempt.number = 2;
  request.attempts.push_back(attempt);
  const AttemptEntry entry = table.find({1, 2});
  ASSERT_TRUE(entry);
  EXPECT_EQ(entry.request, &request);
  EXPECT_EQ(entry.attempt->number, 2);
  EXPECT_FALSE(table.find({1, 0}));
  EXPECT_FALSE(table.find({2, 2}));
}

TEST(RequestTable, Close_ReturnsSinkAndKeepsRequestWithAttemptsInFlight) {
  RequestTable table;
  const auto client = std::make_shared<FakeClient>();
  TrackedRequest& request = table.add(1, client);
  request.attempts.emplace_back();
  EXPECT_EQ(table.open_count(), 1u);
  EXPECT_EQ(table.close(request), client);
  EXPECT_EQ(table.open_count(), 0u);
  EXPECT_FALSE(request.is_open());
  EXPECT_FALSE(request.is_done());
  request.attempts.clear();
  EXPECT_TRUE(request.is_done());
  table.erase(1);
  EXPECT_EQ(table.size(), 0u);
}

}  // namespace
}  // namespace sablelink::test
