// Reading of configurations, and classification of requests by their selectors.
#include <gtest/gtest.h>

#include "config/gateway_config.h"
#include "nodes/node_config.h"

namespace sablelink::config {
namespace {

constexpr const char* kValidConfig = R"([gateway]
name = "desk-1"
listen = "127.0.0.1:4000"
instances = 3
index = 1
zone = "west"
[limits]
max_open = 50
hold_bytes = "64KiB"
[rules]
drain_grace = "500ms"
budget_window = "10s"
budget_free = 2
budget_per_request = 0.2
[[zone]]
name = "east"
[[zone]]
name = "west"
[[kind]]
name = "std"
cores = 8
memory = "16GiB"
[[class]]
name = "lookup"
aim = "1.5s"
aim_stretch = 2
deadline = "7.5s"
[[class]]
name = "load"
aim = "10s"
deadline = "60s"
repeat = "unsafe"
in_order = true
only_zones = ["east"]
[[tenant]]
name = "desks"
[[tenant]]
name = "officers"
allowance_per_s = 5
[[table]]
name = "gallery"
group = 7
[requests]
default_class = "lookup"
tenant_header = "x-tenant"
key_header = "x-order-key"
cost_header = "x-cost-us"
[[select]]
name = "loads"
kinds = ["insert", "load"]
class = "load"
[[select]]
name = "officers"
users = ["officer-*"]
headers = { "x-desk" = "archive*" }
class = "lookup"
tenant = "officers"
[[node]]
name = "n1"
address = "127.0.0.1:5001"
zone = "east"
kind = "std"
[[node]]
name = "n2"
address = "127.0.0.1:5002"
zone = "west"
state = "draining"
started_us = 1700000000000000
)";

TEST(GatewayConfig, ValidText_IsReadCompletely) {
  const GatewayConfig config = parse_gateway_config(kValidConfig, "desk.toml");
  EXPECT_EQ(config.name, "desk-1");
  EXPECT_EQ(config.settings.zone, 1);
  EXPECT_EQ(config.settings.gateway_count, 3);
  EXPECT_EQ(config.dispatcher.max_open_requests, 50u);
  EXPECT_EQ(config.dispatcher.response_buffer_bytes, 65536u);
  EXPECT_EQ(config.settings.drain_grace_us, 500'000);
  EXPECT_TRUE(config.settings.retry_budget_enabled);
  EXPECT_EQ(config.settings.engine_type_cores, std::vector<double>{8});
  EXPECT_EQ(config.settings.engine_type_memory_mb, std::vector<double>{16384});
  EXPECT_EQ(config.settings.classes.at(0).request_timeout_us, 7'500'000);
  EXPECT_EQ(config.settings.classes.at(1).idempotency, Idempotency::kNotIdempotent);
  EXPECT_EQ(config.settings.classes.at(1).allowed_zones, std::vector<int>{0});
  EXPECT_EQ(config.engines.at(1).state, EndpointState::kDraining);
}

// Replaces `from` by `to` in the text and returns the error message of reading it; empty if it is valid.
std::string error_message_for(std::string text, const std::string& from = "", const std::string& to = "") {
  if (!from.empty()) {
    const size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    text.replace(at, from.size(), to);
  }
  try {
    parse_gateway_config(text, "desk.toml");
  } catch (const ConfigError& e) {
    return e.what();
  }
  return "";
}

TEST(GatewayConfig, InvalidText_NamesFileLineAndKey) {
  EXPECT_EQ(error_message_for(kValidConfig, "instances = 3", "instances = \"three\""),
            "desk.toml:4: gateway.instances: must be an integer, not a string");
  EXPECT_EQ(error_message_for(kValidConfig, "instances = 3", "instants = 3"),
            "desk.toml:5: gateway.index: 1 is not from 0 to 0");
  EXPECT_EQ(error_message_for(kValidConfig, "max_open = 50", "max_opne = 50"),
            "desk.toml:8: limits.max_opne: is not a known key");
  EXPECT_EQ(error_message_for(kValidConfig, "max_open = 50", "max_open = 0"),
            "desk.toml:8: limits.max_open: 0 is not from 1 to 1000000");
  EXPECT_EQ(error_message_for(kValidConfig, "drain_grace = \"500ms\"", "drain_grace = 500"),
            "desk.toml:11: rules.drain_grace: must be a time such as \"250ms\" or \"1.5s\"");
  EXPECT_EQ(error_message_for(kValidConfig, "drain_grace = \"500ms\"", "drain_grace = \"100ms\""),
            "desk.toml:11: rules.drain_grace: must be at least limits.dial_timeout");
  EXPECT_EQ(
      error_message_for(kValidConfig, "budget_window = \"10s\"", "budget_window = \"250ms\"").substr(14),
      "rules.budget_window: must be greater than limits.dial_timeout");
  EXPECT_EQ(error_message_for(kValidConfig, "zone = \"west\"", "zone = \"north\""),
            "desk.toml:6: gateway.zone: 'north' isn't configured");
  EXPECT_EQ(error_message_for(kValidConfig, "repeat = \"unsafe\"", "repeat = \"maybe\""),
            "desk.toml:32: class[1].repeat: 'maybe' is not one of: safe, keyed, unsafe");
  EXPECT_EQ(error_message_for(kValidConfig, "class = \"load\"", "class = \"loads\""),
            "desk.toml:51: select[0].class: 'loads' isn't configured");
  EXPECT_EQ(error_message_for(kValidConfig, "name = \"n2\"", "name = \"n1\""),
            "desk.toml:64: node[1].name: 'n1' is used more than once");
  EXPECT_EQ(error_message_for(kValidConfig, "address = \"127.0.0.1:5002\"", "address = \"127.0.0.1:5001\""),
            "desk.toml:65: node[1].address: '127.0.0.1:5001' is used more than once");
  EXPECT_EQ(error_message_for("[gateway]\nname = \n").substr(0, 12), "desk.toml:2:");
  EXPECT_NE(error_message_for("[gateway]\nname = \"x\"\n").find("at least one [[class]]"), std::string::npos);
  EXPECT_NE(error_message_for(kValidConfig, "[rules]", "[[rules]]").find("must be a table"),
            std::string::npos);
}

TEST(ParseDuration, OnlyNumbersWithUnits_AreRead) {
  EXPECT_EQ(parse_duration("20us"), 20);
  EXPECT_EQ(parse_duration("1.5s"), 1'500'000);
  EXPECT_EQ(parse_duration("2m"), 120'000'000);
  EXPECT_FALSE(parse_duration("5"));
  EXPECT_FALSE(parse_duration("-5s"));
  EXPECT_FALSE(parse_duration("5 s"));
  EXPECT_FALSE(parse_duration("nans"));
  EXPECT_FALSE(parse_duration("1e300s"));
}

TEST(NodeConfig, EngineAndFaults_AreRead) {
  const nodes::NodeConfig config = nodes::parse_node_config(
      "[node]\nname = \"n\"\nlisten = \"127.0.0.1:0\"\n[engine]\ncores = 4\n[[fault]]\nkind = \"hang\"\nfrom "
      "= "
      "\"5s\"\nfor = \"2s\"\n",
      "n.toml");
  EXPECT_EQ(config.engine.cores, 4);
  EXPECT_EQ(config.faults.at(0).start_us, 5'000'000);
  EXPECT_THROW(nodes::parse_node_config("[node]\nname = \"n\"\n", "n.toml"), ConfigError);
}

class Classify : public testing::Test {
 protected:
  Classification classify_statement(const std::string& sql, const std::string& user = "",
                                    const std::vector<std::pair<std::string, std::string>>& headers = {}) {
    const sql::StatementInfo info = sql::analyze_statement(sql);
    RequestAttributes request;
    request.user = user;
    request.headers = &headers;
    request.statement = &info;
    return classify(config_.selectors, request);
  }
  GatewayConfig config_ = parse_gateway_config(kValidConfig, "desk.toml");
};

TEST_F(Classify, FirstSelectorWithAllConditions_Decides) {
  EXPECT_EQ(classify_statement("INSERT INTO gallery VALUES (1)").class_index, 1);
  EXPECT_EQ(classify_statement("SELECT 1", "officer-7").matched_selector, nullptr);
  const Classification result = classify_statement("SELECT 1", "officer-7", {{"x-desk", "archive-2"}});
  ASSERT_NE(result.matched_selector, nullptr);
  EXPECT_EQ(result.matched_selector->name, "officers");
  EXPECT_EQ(result.tenant, 1);
}

TEST_F(Classify, NoMatch_GivesTheDefaultClass) {
  const Classification result = classify_statement("no statement at all, \x01");
  EXPECT_EQ(result.class_index, 0);
  EXPECT_EQ(result.tenant, 0);
  EXPECT_EQ(result.key, 0u);
  EXPECT_EQ(result.table_group, -1);
}

TEST_F(Classify, Headers_GiveTenantKeyAndCost) {
  const Classification result =
      classify_statement("SELECT * FROM main.gallery", "",
                         {{"x-tenant", "officers"}, {"x-order-key", "desk 4"}, {"x-cost-us", "2500"}});
  EXPECT_EQ(result.tenant, 1);
  EXPECT_NE(result.key, 0u);
  EXPECT_EQ(result.estimated_cost_us, 2500);
  EXPECT_EQ(result.table_group, 7);
  EXPECT_EQ(classify_statement("SELECT 1", "", {{"x-order-key", "desk 4"}}).key, result.key);
  EXPECT_FALSE(classify_statement("SELECT 1", "", {{"x-cost-us", "a lot"}}).estimated_cost_us);
  EXPECT_FALSE(classify_statement("SELECT 1", "", {{"x-cost-us", "inf"}}).estimated_cost_us);
}

}  // namespace
}  // namespace sablelink::config
