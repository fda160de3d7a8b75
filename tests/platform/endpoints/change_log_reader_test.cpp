// Parsing of the change log's events and heartbeats from pieces of any size.
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
  for (size_t piece_size = 1; piece_size < 90; piece_size += 11) {
    ChangeLogReader reader(3, {});
    std::vector<uint64_t> handled_events;
    bool in_sequence = true;
    for (size_t at = 0; at < text.size(); at += piece_size)
      in_sequence = in_sequence &&
                    reader.feed(std::string_view(text).substr(at, piece_size), [&](const WatchEvent& event) {
                      handled_events.push_back(event.sequence_number);
                    });
    EXPECT_TRUE(in_sequence);
    EXPECT_EQ(handled_events, (std::vector<uint64_t>{4, 5}));
    EXPECT_EQ(reader.last_sequence_number(), 5u);
  }
  // Rejected: a missing event, a heartbeat for a later event, malformed lines, a line that is too long.
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
