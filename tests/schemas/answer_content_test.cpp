// What engine emulators answer, and the check of what arrives.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "nodes/content.h"

namespace sablelink {
namespace {

std::string read(const std::string& statement, const std::vector<std::pair<int64_t, int64_t>>& pieces,
                 bool served = true, const std::string& from = "", int added = 0) {
  const nodes::Content content(from.empty() ? statement : from, added);
  nodes::AnswerCheck check(statement);
  for (const auto& [first, count] : pieces) check.on_batch(content.schema(), content.batch(first, count));
  return check.fault(served);
}

TEST(AnswerContent, CompleteAnswer_HasNoFault) {
  const std::string sql = "SELECT * FROM gallery /*+ rows=20 */";
  EXPECT_EQ(read(sql, {{0, 8}, {8, 12}}), "");
  EXPECT_EQ(read(sql, {{0, 20}}, true, "", 2), "") << "columns added since don't hide the others";
  EXPECT_EQ(read("SELECT id, 'x', 5 FROM gallery /*+ rows=0 */", {{0, 0}}), "");
  EXPECT_EQ(read(sql, {{0, 8}}, false), "") << "a failed answer is the beginning of one";
}

TEST(AnswerContent, WrongAnswer_NamesTheFault) {
  const std::string sql = "SELECT * FROM gallery /*+ rows=20 */";
  EXPECT_EQ(read(sql, {{0, 8}}), "it ends after 8 of 20 rows");
  EXPECT_EQ(read(sql, {}), "it holds no batch");
  EXPECT_EQ(read(sql, {{0, 8}, {8, 12}, {8, 12}}), "it goes on after its last row, 20");
  EXPECT_EQ(read(sql, {{0, 8}, {0, 8}}, false), "row 8 is another row, or another statement's");
  EXPECT_EQ(read(sql, {{0, 8}, {12, 8}}), "row 8 is another row, or another statement's");
  EXPECT_EQ(read(sql, {{0, 20}}, true, "SELECT * FROM gallery /*+ rows=20  */"),
            "row 0 is another row, or another statement's");
  EXPECT_EQ(read(sql, {{0, 20}}, true, "SELECT id, label FROM gallery /*+ rows=20 */"),
            "its columns are those of another statement");
  EXPECT_EQ(nodes::AnswerCheck::update_fault("UPDATE t /*+ rows=3 */", 4), "it counts 4 rows, not 3");
}

TEST(AnswerContent, DefinedColumns_AreAddedToTables) {
  nodes::Tables tables;
  tables.define("ALTER TABLE gallery ADD COLUMN seen INT");
  tables.define("INSERT INTO gallery VALUES (1)");
  EXPECT_EQ(tables.added("gallery"), 1);
  tables.define("ALTER TABLE gallery DROP COLUMN seen");
  tables.define("ALTER TABLE gallery DROP COLUMN seen");
  EXPECT_EQ(tables.added("gallery"), 0);
}

}  // namespace
}  // namespace sablelink
