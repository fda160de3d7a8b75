// Lexical analysis of statements: kinds, tables, parameters, and arbitrary text.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "sql/statement.h"

namespace sablelink::sql {
namespace {

using Tables = std::vector<std::string>;

TEST(Sql, KindFollowsFromLeadingWord) {
  EXPECT_EQ(inspect("select 1").kind, StatementKind::kQuery);
  EXPECT_EQ(inspect("  -- note\n /* more /* nested */ */ SELECT 1").kind, StatementKind::kQuery);
  EXPECT_EQ(inspect("((SELECT 1))").kind, StatementKind::kQuery);
  EXPECT_EQ(inspect("INSERT INTO t VALUES (1)").kind, StatementKind::kInsert);
  EXPECT_EQ(inspect("WITH x AS (SELECT 1) INSERT INTO t SELECT * FROM x").kind, StatementKind::kInsert);
  EXPECT_EQ(inspect("WITH x AS (SELECT 1) SELECT * FROM x").kind, StatementKind::kQuery);
  EXPECT_EQ(inspect("TRUNCATE t").kind, StatementKind::kDelete);
  EXPECT_EQ(inspect("CREATE TABLE t (a INT)").kind, StatementKind::kDefinition);
  EXPECT_EQ(inspect("VACUUM").kind, StatementKind::kOther);
  EXPECT_EQ(inspect("").kind, StatementKind::kOther);
  EXPECT_TRUE(inspect("DELETE FROM t").writes);
  EXPECT_FALSE(inspect("SELECT 1").writes);
}

TEST(Sql, TablesAreInOrderOfAppearance) {
  EXPECT_EQ(inspect("SELECT * FROM Gallery g JOIN main.Photo p ON g.id = p.id").tables,
            (Tables{"gallery", "main.photo"}));
  EXPECT_EQ(inspect("SELECT * FROM a, b AS x, c y, d WHERE 1").tables, (Tables{"a", "b", "c", "d"}));
  EXPECT_EQ(inspect("SELECT * FROM \"My Table\".t").tables, (Tables{"My Table.t"}));
  EXPECT_EQ(inspect("SELECT * FROM (SELECT * FROM inner_one) q").tables, (Tables{"inner_one"}));
  EXPECT_EQ(inspect("WITH x AS (SELECT * FROM real) SELECT * FROM x").tables, (Tables{"real"}));
  EXPECT_EQ(inspect("CREATE TABLE IF NOT EXISTS t (a INT)").tables, (Tables{"t"}));
  EXPECT_EQ(inspect("UPDATE t SET a = 1").tables, (Tables{"t"}));
  EXPECT_EQ(inspect("SELECT 'FROM nowhere' -- FROM comment\n").tables, Tables{});
}

TEST(Sql, ParametersAreFoundOutsideQuotesAndComments) {
  EXPECT_EQ(count_parameters("SELECT ?, '?', \"?\", $$?$$ /* ? */ -- ?\n WHERE a = ?"), 2u);
  EXPECT_EQ(substitute("SELECT ? WHERE a = '?' AND b=?", {"1", "'x?'"}), "SELECT 1 WHERE a = '?' AND b='x?'");
  EXPECT_THROW(substitute("SELECT ?", {}), ParameterCountError);
  EXPECT_THROW(substitute("SELECT 1", {"1"}), ParameterCountError);
}

TEST(Sql, QuotedTextIsOneLiteral) {
  const std::string injection = "x' OR 1=1 --";
  const std::string statement = substitute("SELECT * FROM t WHERE n = ?", {quote(injection)});
  const std::vector<Token> tokens = tokenize(statement);
  EXPECT_EQ(tokens.back().kind, TokenKind::kString);
  EXPECT_EQ(tokens.back().text, "'x'' OR 1=1 --'");
}

RC_GTEST_PROP(Sql, AnyTextIsTokenizedCompletely, (const std::string& text)) {
  size_t at = 0;
  for (const Token& t : tokenize(text)) {
    RC_ASSERT(t.at >= at);
    RC_ASSERT(!t.text.empty());
    RC_ASSERT(text.substr(t.at, t.text.size()) == t.text);
    at = t.at + t.text.size();
  }
  RC_ASSERT(at <= text.size());
  inspect(text);
  RC_ASSERT(substitute(text, std::vector<std::string>(count_parameters(text), "?")) == text);
}

// Texts composed of significant tokens reach more branches than random texts.
RC_GTEST_PROP(Sql, TextsOfSignificantTokensAreTokenizedCompletely, ()) {
  const auto piece =
      rc::gen::element<std::string>("'", "\"", "`", "$", "$a$", "/*", "*/", "--", "\n", "?", "e'", "\\",
                                    "from", "with", "as", "(", ")", ",", ".", "1e", " ", "t");
  std::string text;
  for (const std::string& p : *rc::gen::container<std::vector<std::string>>(piece)) text += p;
  inspect(text);
  RC_ASSERT(substitute(text, std::vector<std::string>(count_parameters(text), "?")) == text);
}

}  // namespace
}  // namespace sablelink::sql
