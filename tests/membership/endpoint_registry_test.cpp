// Identifiers and addresses of engines that come and go.
#include "membership/endpoint_registry.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace sablelink::test {
namespace {

// On a long day nodes come and go for ever.
TEST(PlatformDirectory, ForgetsTheNodesThatLeftLongAgo) {
  membership::EndpointRegistry directory;
  config::EngineConfig stays;
  stays.name = "stays";
  stays.address = "10.0.0.1:1";
  std::set<EngineId> ids;
  EngineId first = 0;
  for (int i = 0; i < 2'000; ++i) {
    config::EngineConfig passing;
    passing.name = "n" + std::to_string(i);
    passing.address = "10.0.0.2:1";
    directory.replace({stays, passing});
    EXPECT_TRUE(ids.insert(directory.endpoints()[1].engine).second) << "an id is given twice";
    if (i == 0) first = directory.endpoints()[0].engine;
    EXPECT_EQ(directory.endpoints()[0].engine, first);
    EXPECT_EQ(directory.address(directory.endpoints()[1].engine), passing.address);
  }
  size_t remembered = 0;
  for (const EngineId id : ids) remembered += !directory.address(id).empty();
  EXPECT_LE(remembered, membership::EndpointRegistry::kLeftKept + 1);
  EXPECT_GE(remembered, 200u);
  EXPECT_EQ(directory.address(first), stays.address);
}

}  // namespace
}  // namespace sablelink::test
