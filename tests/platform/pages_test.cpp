// Parsing of result pages and load reports in engine responses.
#include "platform/pages.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace sablelink::test {
namespace {

// The rows of a page as the elements of a JSON array; empty if the page is malformed.
std::optional<std::string> json_rows(const std::string& page) {
  if (!platform::is_valid_page(page)) return std::nullopt;
  std::string array;
  platform::append_json_rows(page, array);
  return array;
}

TEST(PlatformPages, RowWithoutThreeColumnsIsMalformed) {
  EXPECT_EQ(json_rows(""), "");
  EXPECT_EQ(json_rows("a\t\t\n"), R"(["a","",""])");
  EXPECT_EQ(json_rows("\xe2\x82\xac\t\x24\t\\\n"), "[\"\xe2\x82\xac\",\"$\",\"\\\\\"]");
  for (const std::string malformed :
       {"a\n", "a\tb\n", "a\tb\tc\td\n", "a\tb\tc", "a\tb\tc\n\n", "a\tb\t\xff\n", "a\tb\t\x01\n"})
    EXPECT_EQ(json_rows(malformed), std::nullopt) << malformed;
  EXPECT_EQ(json_rows(std::string(6'001, 'a')), std::nullopt);
}

TEST(PlatformPages, RowsOfSeveralPagesAreJoined) {
  std::string array;
  for (const char* page : {"a\tb\tc\n", "", "d\te\tf\ng\th\ti\n"}) platform::append_json_rows(page, array);
  EXPECT_EQ(array, R"(["a","b","c"],["d","e","f"],["g","h","i"])");
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
