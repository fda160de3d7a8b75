// Statement shapes: which statements share a key, and which must not.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

#include "sql/shape.h"
#include "sql/statement.h"

namespace sablelink {
namespace {

using sql::exact_shape_of;
using sql::shape_of;

TEST(StatementShape, LiteralsThatCantAffectColumns_AreFolded) {
  const std::string shape = shape_of("SELECT id FROM photo WHERE gallery = 48213 AND name = 'Oak' LIMIT 10");
  EXPECT_EQ(shape, "SELECT id FROM photo WHERE gallery = ? AND name = ? LIMIT ?");
  EXPECT_EQ(
      shape_of("SELECT  id -- the number\nFROM photo /* all of it */ WHERE gallery=7 AND name='x' LIMIT 1"),
      shape);
  EXPECT_EQ(shape_of("SELECT id FROM photo WHERE gallery = ? AND name = ? LIMIT ?"), shape);
  EXPECT_EQ(shape_of("SELECT a FROM t WHERE x IN (1, 2, 3) HAVING n > 3"),
            shape_of("SELECT a FROM t WHERE x IN (4) HAVING n > 8"));
  EXPECT_EQ(shape_of("SELECT a FROM t WHERE x IN (SELECT 5 FROM u WHERE y = 'b')"),
            shape_of("SELECT a FROM t WHERE x IN (SELECT 6 FROM u WHERE y = 'c')"));
}

// Each pair consists of two statements whose columns may differ and which therefore must not share a shape.
TEST(StatementShape, StatementsWhoseColumnsMayDiffer_DoNotShareAShape) {
  const std::vector<std::pair<std::string, std::string>> pairs = {
      {"SELECT 1", "SELECT 10000000000"},
      {"SELECT 1", "SELECT 'a'"},
      {"SELECT ? FROM t", "SELECT 1 FROM t"},
      {"SELECT a, 1 FROM t WHERE b = 2", "SELECT a, 'x' FROM t WHERE b = 2"},
      {"SELECT a FROM t WHERE b = 1 UNION SELECT 2", "SELECT a FROM t WHERE b = 1 UNION SELECT 'x'"},
      {"SELECT * FROM (SELECT 1 AS a) q WHERE a = 2", "SELECT * FROM (SELECT 'x' AS a) q WHERE a = 2"},
      {"SELECT CAST(a AS DECIMAL(10, 2)) FROM t", "SELECT CAST(a AS DECIMAL(12, 3)) FROM t"},
      {"SELECT * FROM read_file('a.csv')", "SELECT * FROM read_file('b.csv')"},
      {"SELECT * FROM t FOR SYSTEM_TIME AS OF '2026-01-01'",
       "SELECT * FROM t FOR SYSTEM_TIME AS OF '2027-01-01'"},
      {"SELECT x[OFFSET(0)], 5 FROM t", "SELECT x[OFFSET(0)], 'x' FROM t"},
      {"SELECT limit, 5 FROM t", "SELECT limit, 'x' FROM t"},
      {"SELECT count(*) FILTER (WHERE a > 1), 5 FROM t", "SELECT count(*) FILTER (WHERE a > 1), 'x' FROM t"},
      {"FROM t |> WHERE a = 1 |> EXTEND 5 AS b", "FROM t |> WHERE a = 1 |> EXTEND 'x' AS b"},
      {"FROM t WHERE a = 1 SELECT 5", "FROM t WHERE a = 1 SELECT 'x'"},
      {"VALUES (1)", "VALUES ('x')"},
      {"FROM t SELECT limit, 5", "FROM t SELECT limit, 'x'"},
      {"SELECT a FROM t WHERE b = 1; CALL f(5)", "SELECT a FROM t WHERE b = 1; CALL f('x')"},
      {"SELECT a FROM t GROUP BY 1", "SELECT a FROM t GROUP BY 2"},
      {"SELECT a FROM t WHERE b = 1; SELECT 5", "SELECT a FROM t WHERE b = 1; SELECT 'x'"},
      {"SELECT a FROM t WHERE b = 1 SETTINGS f = 1", "SELECT a FROM t WHERE b = 1 SETTINGS f = 2"},
      {"SELECT Name FROM t", "SELECT name FROM t"},
      {"SELECT \"a b\" FROM t", "SELECT \"a  b\" FROM t"},
      // Text that SQL dialects tokenise differently.
      {"SELECT 5--1\n, a FROM t", "SELECT 5--'x'\n, a FROM t"},
      {"SELECT /*!50000 1 */ FROM t", "SELECT /*!50000 'x' */ FROM t"},
      {"SELECT /* /* */ 1, /* */ a */ b FROM t", "SELECT /* /* */ 'x', /* */ a */ b FROM t"},
      {"SELECT a FROM t WHERE b = 'a\\'' UNION SELECT 1, 'z'",
       "SELECT a FROM t WHERE b = 'a\\'' UNION SELECT 2.5, 'z'"},
      {"SELECT a FROM t WHERE b = $q$ x $q$", "SELECT a FROM t WHERE b = $q$ y $q$"},
      {"SELECT a FROM t WHERE b = 'open", "SELECT a FROM t WHERE b = 'other"},
  };
  for (const auto& [a, b] : pairs) EXPECT_NE(shape_of(a), shape_of(b)) << a << "\n" << b;
}

TEST(StatementShape, ExactShape_FoldsNothing) {
  EXPECT_NE(exact_shape_of("SELECT a FROM t WHERE a = ? AND b = 5"),
            exact_shape_of("SELECT a FROM t WHERE a = 5 AND b = ?"));
  EXPECT_EQ(exact_shape_of("SELECT a\n FROM t WHERE a=?"), exact_shape_of("SELECT a FROM t WHERE a = ?"));
}

// For arbitrary statements: all tokens that aren't folded are kept, in their order.
TEST(StatementShape, AnyStatement_KeepsEveryUnfoldedToken) {
  rc::check([] {
    static const std::vector<std::string> kPieces = {
        "SELECT", "FROM", "WHERE", "a",     "t", "1", "'x'",   "?",  ",",  "(",      ")",      "UNION",
        "LIMIT",  "=",    "+",     "\"q\"", ";", "|", "GROUP", "IN", "\n", "-- c\n", "/* c */"};
    std::string text;
    const auto piece_count = *rc::gen::inRange(0, 60);
    for (int i = 0; i < piece_count; ++i) text += *rc::gen::elementOf(kPieces) + " ";
    const auto unfolded_tokens = [](const std::string& of) {
      std::vector<std::string> out;
      for (const sql::Token& t : sql::tokenize(of))
        if (t.text != "," && t.kind != sql::TokenKind::kNumber && t.kind != sql::TokenKind::kString &&
            t.kind != sql::TokenKind::kParameter)
          out.emplace_back(t.text);
      return out;
    };
    RC_ASSERT(unfolded_tokens(shape_of(text)) == unfolded_tokens(text));
    RC_ASSERT(shape_of(shape_of(text)) == shape_of(text));
  });
}

}  // namespace
}  // namespace sablelink
