// The configuration that the platform passes to a gateway.
#include "platform/config.h"

#include <gtest/gtest.h>

#include <string>

#include "tests/platform/platform_config.h"
#include "workload/settings_parser.h"

namespace sablelink::test {
namespace {

TEST(PlatformConfig, IsReadByParseSettings) {
  const platform::PlatformConfig c = platform::parse_config(kConfig);
  EXPECT_EQ(c.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(c.max_descriptors, 256u);
  EXPECT_EQ(c.dial_timeout_us, 200'000);
  ASSERT_EQ(c.settings.classes.size(), 2u);
  EXPECT_EQ(c.settings.classes[1].threads, 4);
  EXPECT_EQ(c.settings.classes[1].priority_weight, 5);
  EXPECT_EQ(c.settings.gateway_count, 3);
  EXPECT_TRUE(c.settings.cancellation_allowed);
  EXPECT_EQ(c.names.classes, (std::vector<std::string>{"lookup", "report"}));
  ASSERT_EQ(c.initial_events.size(), 1u);
  const auto& nodes = c.initial_events[0].endpoints;
  EXPECT_EQ(nodes[0].endpoint.zone, 1);
  EXPECT_EQ(nodes[0].endpoint.engine_type, 1);
  EXPECT_EQ(nodes[1].endpoint.state, EndpointState::kDraining);
  EXPECT_EQ(nodes[1].endpoint.started_at, 1700000000123000);
}

TEST(PlatformConfig, WhatIsWrongIsNamed) {
  const auto fails = [](const std::string& from, const std::string& to) {
    std::string text = kConfig;
    const size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    text.replace(at, from.size(), to);
    EXPECT_THROW(platform::parse_config(text), platform::ConfigError) << to;
  };
  fails(R"("seed":"8c1f30d27a5be964")", R"("seed":"x")");
  fails(R"("sockets":256)", R"("sockets":-1)");
  fails(R"("health":"ready")", R"("health":"well")");
  fails(R"("AimUs":570000)", R"("AimUs":"soon")");
  fails(R"("name":"n3",)", R"()");
  fails(R"("hosts":[)", R"("hosts":[7,)");
  EXPECT_THROW(platform::parse_config(std::string(100, '[')), platform::ConfigError);
  EXPECT_THROW(platform::parse_config(""), platform::ConfigError);
}

}  // namespace
}  // namespace sablelink::test
