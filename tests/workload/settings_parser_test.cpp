// Tests the platform's setting names and errors in settings.
#include "workload/settings_parser.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace sablelink {
namespace {

const char kText[] =
    "Discovery=subscribe\n"
    "Extra.Grants=false\n"
    "Extra.KindCores=8,16\n"
    "Extra.MemoryShort=cut\n"
    "Extra.ThreadsByClass=1,4\n"
    "Extra.WaitsForLoads=false,true\n"
    "Flavors=std-8a,std-8b\n"
    "Zones=east-wing,west-wing\n"
    "Instances=3\n"
    "Limits.Cancel=true\n"
    "Report.Fields=concurrent,depth,x0,x1\n"
    "Some.Key.Of.Tomorrow=42\n"
    "Services.count=2\n"
    "Services.0.AimStretch=2.0\n"
    "Services.0.AimUs=1500000\n"
    "Services.0.DeadlineUs=7500000\n"
    "Services.0.Repeat=retryable\n"
    "Services.1.AimUs=2000000\n"
    "Services.1.DeadlineUs=15000000\n"
    "Services.1.LateWorth=0.4\n"
    "Services.1.Repeat=dedup\n"
    "Services.1.KeyScope=cell\n"
    "Services.1.StaysIn=1\n"
    "Services.1.RunsOn=std-8b\n"
    "Services.1.ByArrival=true\n";

void expect_error(const std::string& text, const std::string& key) {
  try {
    parse_settings(text);
    ADD_FAILURE() << "expected an error for " << key;
  } catch (const SettingsError& e) {
    EXPECT_NE(std::string(e.what()).find(key), std::string::npos) << e.what();
  }
}

TEST(SettingsParser, GivenKeysAreReadAndOthersKeepDefaults) {
  const Settings settings = parse_settings(kText);
  EXPECT_TRUE(settings.watch_endpoints);
  EXPECT_EQ(settings.gateway_count, 3);
  EXPECT_EQ(settings.engine_type_cores, (std::vector<double>{8, 16}));
  EXPECT_EQ(settings.memory_pressure_policy, MemoryPressurePolicy::kReduceGrant);
  ASSERT_EQ(settings.classes.size(), 2u);
  EXPECT_EQ(settings.classes[0].latency_objective_us, 1500000);
  EXPECT_DOUBLE_EQ(settings.classes[0].latency_objective_stretch, 2);
  EXPECT_DOUBLE_EQ(settings.classes[1].threads, 4);
  EXPECT_TRUE(settings.classes[1].blocked_by_table_loads);
  EXPECT_EQ(settings.classes[1].idempotency, Idempotency::kIdempotentWithKey);
  EXPECT_EQ(settings.classes[1].dedup_scope, DedupScope::kCell);
  EXPECT_EQ(settings.classes[1].allowed_zones, std::vector<int>{1});
  EXPECT_EQ(settings.classes[1].allowed_engine_types, std::vector<int>{1});
  EXPECT_TRUE(settings.classes[1].ordered_by_key);
  EXPECT_FALSE(settings.retry_budget_enabled);
  EXPECT_FALSE(settings.hedging_allowed);
}

TEST(SettingsParser, RetryBudgetNeedsItsWindow) {
  EXPECT_TRUE(parse_settings(std::string(kText) + "Rules.CountedOverUs=10000000\n").retry_budget_enabled);
}

TEST(SettingsParser, ErrorNamesItsKey) {
  expect_error(std::string(kText) + "Instances=three\n", "Instances");
  expect_error(std::string(kText) + "Limits.Cancel=perhaps\n", "Limits.Cancel");
  expect_error(std::string(kText) + "Services.1.Repeat=often\n", "Services.1.Repeat");
  expect_error("Services.count=1\nServices.0.DeadlineUs=5\n", "Services.0.AimUs");
  expect_error("Instances=3\n", "Services.count");
}

TEST(SettingsParser, LoadReportFieldsKeepTheirOrder) {
  EXPECT_EQ(parse_load_report_fields(kText), (std::vector<std::string>{"concurrent", "depth", "x0", "x1"}));
  EXPECT_TRUE(parse_load_report_fields("").empty());
}

TEST(SettingsParser, TenantsAndLoadReportSourceAreRead) {
  const std::string base = "Services.count=1\nServices.0.AimUs=1\nServices.0.DeadlineUs=2\n";
  const Settings plain = parse_settings(base);
  EXPECT_TRUE(plain.tenants.empty());
  EXPECT_TRUE(plain.load_reports_in_responses && plain.load_reports_in_health_checks);
  const Settings settings =
      parse_settings(base +
                     "Tenants.count=2\nTenants.0.AllowancePerS=127.5\nOverShareWorth=0.2\n"
                     "Report.Source=on_probe\nFees.Probe=0.01\n");
  ASSERT_EQ(settings.tenants.size(), 2u);
  EXPECT_DOUBLE_EQ(settings.tenants[0].quota_requests_per_s, 127.5);
  EXPECT_DOUBLE_EQ(settings.tenants[1].quota_requests_per_s, 0);
  EXPECT_DOUBLE_EQ(settings.over_quota_weight_fraction, 0.2);
  EXPECT_DOUBLE_EQ(settings.health_check_cost, 0.01);
  EXPECT_FALSE(settings.load_reports_in_responses);
  EXPECT_TRUE(settings.load_reports_in_health_checks);
  EXPECT_FALSE(parse_settings(base + "Report.Source=off\n").load_reports_in_health_checks);
  for (const char* bad :
       {"Tenants.count=-1\n", "Tenants.count=1\nTenants.0.AllowancePerS=-2\n", "Report.Source=sometimes\n"}) {
    EXPECT_THROW(parse_settings(base + bad), SettingsError) << bad;
  }
}

}  // namespace
}  // namespace sablelink
