// Conversion of the platform's settings to lines.
#include "platform/settings_lines.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "platform/json_fields.h"

namespace sablelink::test {
namespace {

TEST(SettingsLines, NestedValuesBecomeOneLineEach) {
  const boost::json::value settings = platform::parse_json(
      R"({"Zones":["west","east"],"Limits":{"Cancel":true,"DialTimeoutUs":200000},"Ratio":0.1,"None":null,)"
      R"("Empty":[],"Services":[{"Name":"a b,c","Threads":[1,4]},7]})");
  EXPECT_EQ(platform::to_settings_lines(settings.as_object()),
            "Zones=west,east\nLimits.Cancel=true\nLimits.DialTimeoutUs=200000\nRatio=0.1\nNone=\nEmpty=\n"
            "Services.count=2\nServices.0.Name=a_b_c\nServices.0.Threads=1,4\nServices.1=7\n");
}

}  // namespace
}  // namespace sablelink::test
