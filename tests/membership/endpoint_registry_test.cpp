// Tests that identifiers and addresses stay stable while engines are added and removed.
#include "membership/endpoint_registry.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace sablelink::test {
namespace {

TEST(EndpointRegistry, EnginesRemovedLongAgo_AreEvicted) {
  membership::EndpointRegistry registry;
  config::EngineConfig permanent;
  permanent.name = "permanent";
  permanent.address = "10.0.0.1:1";
  std::set<EngineId> ids;
  EngineId permanent_id = 0;
  for (int i = 0; i < 2'000; ++i) {
    config::EngineConfig transient;
    transient.name = "n" + std::to_string(i);
    transient.address = "10.0.0.2:1";
    registry.replace({permanent, transient});
    EXPECT_TRUE(ids.insert(registry.endpoints()[1].engine).second) << "an id was reused";
    if (i == 0) permanent_id = registry.endpoints()[0].engine;
    EXPECT_EQ(registry.endpoints()[0].engine, permanent_id);
    EXPECT_EQ(registry.address(registry.endpoints()[1].engine), transient.address);
  }
  size_t retained = 0;
  for (const EngineId id : ids) retained += !registry.address(id).empty();
  EXPECT_LE(retained, membership::EndpointRegistry::kMaxRemovedEngines + 1);
  EXPECT_GE(retained, 200u);
  EXPECT_EQ(registry.address(permanent_id), permanent.address);
}

TEST(EndpointRegistry, ReplacedEndpoints_KeepTheirIds_NewOnesGetUnusedIds) {
  membership::EndpointRegistry registry;
  config::EngineConfig a;
  config::EngineConfig b;
  a.name = "a";
  a.address = "h:1";
  b.name = "b";
  b.address = "h:2";
  registry.replace({a, b});
  const EngineId first = registry.endpoints()[0].engine;
  registry.replace({b});
  EXPECT_EQ(registry.endpoints().size(), 1u);
  EXPECT_EQ(registry.address(first), "h:1");
  a.address = "h:3";
  registry.replace({a, b});
  EXPECT_NE(registry.endpoints()[0].engine, first);
  EXPECT_EQ(registry.address(registry.endpoints()[0].engine), "h:3");
  EXPECT_EQ(registry.address(99), "");
}

}  // namespace
}  // namespace sablelink::test
