// The responses that stand-ins generate, and the check that a client received one completely.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "nodes/content.h"

namespace sablelink {
namespace {

std::string check_answer(const std::string& statement, const std::vector<std::pair<int64_t, int64_t>>& ranges,
                         bool served = true, const std::string& answered_statement = "", int added = 0) {
  const nodes::Content content(answered_statement.empty() ? statement : answered_statement, added);
  nodes::ResponseCheck check(statement);
  for (const auto& [first, count] : ranges) check.on_batch(content.schema(), content.batch(first, count));
  return check.error(served);
}

TEST(AnswerContent, CompleteAnswer_HasNoFault) {
  const std::string statement = "SELECT * FROM gallery /*+ rows=20 */";
  EXPECT_EQ(check_answer(statement, {{0, 8}, {8, 12}}), "");
  EXPECT_EQ(check_answer(statement, {{0, 20}}, true, "", 2), "")
      << "columns added later don't affect the check of the others";
  EXPECT_EQ(check_answer("SELECT id, 'x', 5 FROM gallery /*+ rows=0 */", {{0, 0}}), "");
  EXPECT_EQ(check_answer(statement, {{0, 8}}, false), "") << "a failed response may be incomplete";
}

TEST(AnswerContent, WrongAnswer_NamesTheFault) {
  const std::string statement = "SELECT * FROM gallery /*+ rows=20 */";
  EXPECT_EQ(check_answer(statement, {{0, 8}}), "it ends after 8 of 20 rows");
  EXPECT_EQ(check_answer(statement, {}), "it holds no batch");
  EXPECT_EQ(check_answer(statement, {{0, 8}, {8, 12}, {8, 12}}), "it goes on after its last row, 20");
  EXPECT_EQ(check_answer(statement, {{0, 8}, {0, 8}}, false), "row 8 is another row, or another statement's");
  EXPECT_EQ(check_answer(statement, {{0, 8}, {12, 8}}), "row 8 is another row, or another statement's");
  EXPECT_EQ(check_answer(statement, {{0, 20}}, true, "SELECT * FROM gallery /*+ rows=20  */"),
            "row 0 is another row, or another statement's");
  EXPECT_EQ(check_answer(statement, {{0, 20}}, true, "SELECT id, label FROM gallery /*+ rows=20 */"),
            "its columns are those of another statement");
  EXPECT_EQ(nodes::ResponseCheck::update_error("UPDATE t /*+ rows=3 */", 4), "it counts 4 rows, not 3");
}

TEST(AnswerContent, DefinedColumns_AreAddedToTables) {
  nodes::TableCatalog tables;
  tables.apply_definition("ALTER TABLE gallery ADD COLUMN seen INT");
  tables.apply_definition("INSERT INTO gallery VALUES (1)");
  EXPECT_EQ(tables.added_column_count("gallery"), 1);
  tables.apply_definition("ALTER TABLE gallery DROP COLUMN seen");
  tables.apply_definition("ALTER TABLE gallery DROP COLUMN seen");
  EXPECT_EQ(tables.added_column_count("gallery"), 0);
}

}  // namespace
}  // namespace sablelink
