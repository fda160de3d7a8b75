// Events and heartbeats of the platform's change log, read from bytes in any pieces.
#include "platform/endpoints/change_log_reader.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sablelink::test {
namespace {

using platform::ChangeLogReader;
using platform::WatchEvent;

TEST(ChangeLogReader, EventsInAnyPiecesAreAppliedOnceAndInOrder) {
  const std::string text = R"({"seq":4,"fleet":{"whole":false,"hosts":[{"host":"s-1","health":"gone"}]}})"
                           "\n4\n"
                           R"({"seq":4,"fleet":{"whole":false,"hosts":[{"host":"s-9","health":"gone"}]}})"
                           "\n"
                           R"({"seq":5,"invalidate":{}})"
                           "\n5\n";
  for (size_t step = 1; step < 90; step += 11) {
    ChangeLogReader reader(3, {});
    std::vector<uint64_t> applied;
    bool in_sequence = true;
    for (size_t at = 0; at < text.size(); at += step)
      in_sequence = in_sequence &&
                    reader.feed(std::string_view(text).substr(at, step),
                                [&](const WatchEvent& event) { applied.push_back(event.sequence_number); });
    EXPECT_TRUE(in_sequence);
    EXPECT_EQ(applied, (std::vector<uint64_t>{4, 5}));
    EXPECT_EQ(reader.last_sequence_number(), 5u);
  }
  // A missing event, a heartbeat ahead, a malformed line, a line without end: a new connection is needed.
  for (const std::string line : {"{\"seq\":9}\n", "7\n", "{\"seq\":4\n", "x\n", "{\"seq\":\"4\"}\n"}) {
    ChangeLogReader reader(3, {});
    EXPECT_FALSE(reader.feed(line, [](const WatchEvent&) { FAIL(); })) << line;
    EXPECT_EQ(reader.last_sequence_number(), 3u);
  }
  ChangeLogReader reader(3, {});
  bool in_sequence = true;
  size_t megabytes = 0;
  for (; in_sequence && megabytes < 100; ++megabytes)
    in_sequence = reader.feed(std::string(1 << 20, 'x'), [](const WatchEvent&) {});
  EXPECT_LT(megabytes, 20u);
}

}  // namespace
}  // namespace sablelink::test
