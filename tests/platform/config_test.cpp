// Parsing of the configuration that the platform passes to a gateway.
#include "platform/config.h"

#include <gtest/gtest.h>

#include <string>

#include "tests/platform/platform_config.h"
#include "workload/settings_parser.h"

namespace sablelink::test {
namespace {

TEST(PlatformConfig, ValidConfigurationIsMappedToSettingsAndEndpoints) {
  const platform::PlatformConfig config = platform::parse_config(kPlatformConfigJson);
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(config.max_descriptors, 256u);
  EXPECT_EQ(config.dial_timeout_us, 200'000);
  ASSERT_EQ(config.settings.classes.size(), 2u);
  EXPECT_EQ(config.settings.classes[1].threads, 4);
  EXPECT_EQ(config.settings.classes[1].priority_weight, 5);
  EXPECT_EQ(config.settings.gateway_count, 3);
  EXPECT_TRUE(config.settings.cancellation_allowed);
  EXPECT_EQ(config.names.classes, (std::vector<std::string>{"lookup", "report"}));
  ASSERT_EQ(config.initial_events.size(), 1u);
  const auto& endpoints = config.initial_events[0].endpoints;
  EXPECT_EQ(endpoints[0].endpoint.zone, 1);
  EXPECT_EQ(endpoints[0].endpoint.engine_type, 1);
  EXPECT_EQ(endpoints[1].endpoint.state, EndpointState::kDraining);
  EXPECT_EQ(endpoints[1].endpoint.started_at, 1700000000123000);
}

TEST(PlatformConfig, InvalidInputThrowsConfigError) {
  const auto expect_error = [](const std::string& from, const std::string& to) {
    std::string text = kPlatformConfigJson;
    const size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    text.replace(at, from.size(), to);
    EXPECT_THROW(platform::parse_config(text), platform::ConfigError) << to;
  };
  expect_error(R"("seed":"8c1f30d27a5be964")", R"("seed":"x")");
  expect_error(R"("sockets":256)", R"("sockets":-1)");
  expect_error(R"("health":"ready")", R"("health":"well")");
  expect_error(R"("AimUs":570000)", R"("AimUs":"soon")");
  expect_error(R"("name":"n3",)", R"()");
  expect_error(R"("hosts":[)", R"("hosts":[7,)");
  EXPECT_THROW(platform::parse_config(std::string(100, '[')), platform::ConfigError);
  EXPECT_THROW(platform::parse_config(""), platform::ConfigError);
}

}  // namespace
}  // namespace sablelink::test
