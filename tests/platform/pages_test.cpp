// Parsing of result pages and load reports in engine responses.
#include "platform/pages.h"

#include <gtest/gtest.h>

namespace sablelink::test {
namespace {

TEST(PlatformPages, RowWithoutThreeColumnsIsMalformed) {
  EXPECT_EQ(platform::page_to_json_rows(""), "");
  EXPECT_EQ(platform::page_to_json_rows("a\t\t\n"), R"(["a","",""])");
  EXPECT_EQ(platform::page_to_json_rows("\xe2\x82\xac\t\x24\t\\\n"), "[\"\xe2\x82\xac\",\"$\",\"\\\\\"]");
  for (const std::string malformed :
       {"a\n", "a\tb\n", "a\tb\tc\td\n", "a\tb\tc", "a\tb\tc\n\n", "a\tb\t\xff\n", "a\tb\t\x01\n"})
    EXPECT_EQ(platform::page_to_json_rows(malformed), std::nullopt) << malformed;
  EXPECT_EQ(platform::page_to_json_rows(std::string(6'001, 'a')), std::nullopt);
}

TEST(PlatformPages, LoadReportIsParsedByName) {
  const auto report = platform::parse_load_report("inflight:7;util:0.61;x0:0.25");
  ASSERT_TRUE(report);
  EXPECT_EQ(report->in_flight, 7);
  EXPECT_EQ(report->cpu_utilization, 0.61);
  EXPECT_EQ(report->memory_utilization, 0.25);
  for (const char* malformed :
       {"", ":", "inflight", "inflight:", "inflight:nan", "inflight:-1", "other:3", "inflight:1x"})
    EXPECT_FALSE(platform::parse_load_report(malformed)) << malformed;
}

}  // namespace
}  // namespace sablelink::test
