// Derivation of table groups from statements.
#include <gtest/gtest.h>

#include "sql/table_group.h"

namespace sablelink::test {
namespace {

TEST(PlatformSql, GroupIsNumberInSchemaName) {
  using sql::table_group;
  EXPECT_EQ(table_group("SELECT day FROM sales_17.orders WHERE tag = 'x_9.y'"), 17);
  EXPECT_EQ(table_group("/* a_1.b */ SELECT 1 -- c_2.d\n FROM \"sales_8\".\"orders\""), 8);
  EXPECT_EQ(table_group("INSERT INTO staging.x SELECT * FROM sales_3.orders"), 3);
  EXPECT_EQ(table_group("INSERT INTO sales_4.x SELECT * FROM staging.orders"), 4);
  EXPECT_EQ(table_group("SELECT * FROM archive.my_sales_21.orders o"), 21);
  EXPECT_EQ(table_group("SELECT 1"), -1);
  EXPECT_EQ(table_group("SELECT * FROM sales.orders"), -1);
}

}  // namespace
}  // namespace sablelink::test
