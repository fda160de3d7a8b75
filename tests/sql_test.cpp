// Lexical analysis of statements: kinds, tables, parameters, and arbitrary text.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "sql/statement.h"

namespace sablelink::sql {
namespace {

using Tables = std::vector<std::string>;

TEST(Sql, KindFollowsFromLeadingWord) {
  EXPECT_EQ(analyze_statement("select 1").kind, StatementKind::kQuery);
  EXPECT_EQ(analyze_statement("  -- note\n /* more /* nested */ */ SELECT 1").kind, StatementKind::kQuery);
  EXPECT_EQ(analyze_statement("((SELECT 1))").kind, StatementKind::kQuery);
  EXPECT_EQ(analyze_statement("INSERT INTO t VALUES (1)").kind, StatementKind::kInsert);
  EXPECT_EQ(analyze_statement("WITH x AS (SELECT 1) INSERT INTO t SELECT * FROM x").kind,
            StatementKind::kInsert);
  EXPECT_EQ(analyze_statement("WITH x AS (SELECT 1) SELECT * FROM x").kind, StatementKind::kQuery);
  EXPECT_EQ(analyze_statement("TRUNCATE t").kind, StatementKind::kDelete);
  EXPECT_EQ(analyze_statement("CREATE TABLE t (a INT)").kind, StatementKind::kDefinition);
  EXPECT_EQ(analyze_statement("VACUUM").kind, StatementKind::kOther);
  EXPECT_EQ(analyze_statement("").kind, StatementKind::kOther);
  EXPECT_TRUE(analyze_statement("DELETE FROM t").writes);
  EXPECT_FALSE(analyze_statement("SELECT 1").writes);
}

TEST(Sql, TablesAreInOrderOfAppearance) {
  EXPECT_EQ(analyze_statement("SELECT * FROM Gallery g JOIN main.Photo p ON g.id = p.id").tables,
            (Tables{"gallery", "main.photo"}));
  EXPECT_EQ(analyze_statement("SELECT * FROM a, b AS x, c y, d WHERE 1").tables,
            (Tables{"a", "b", "c", "d"}));
  EXPECT_EQ(analyze_statement("SELECT * FROM \"My Table\".t").tables, (Tables{"My Table.t"}));
  EXPECT_EQ(analyze_statement("SELECT * FROM (SELECT * FROM inner_one) q").tables, (Tables{"inner_one"}));
  EXPECT_EQ(analyze_statement("WITH x AS (SELECT * FROM real) SELECT * FROM x").tables, (Tables{"real"}));
  EXPECT_EQ(analyze_statement("CREATE TABLE IF NOT EXISTS t (a INT)").tables, (Tables{"t"}));
  EXPECT_EQ(analyze_statement("UPDATE t SET a = 1").tables, (Tables{"t"}));
  EXPECT_EQ(analyze_statement("SELECT 'FROM nowhere' -- FROM comment\n").tables, Tables{});
}

TEST(Sql, ParametersAreFoundOutsideQuotesAndComments) {
  EXPECT_EQ(count_parameters("SELECT ?, '?', \"?\", $$?$$ /* ? */ -- ?\n WHERE a = ?"), 2u);
  EXPECT_EQ(bind_parameters("SELECT ? WHERE a = '?' AND b=?", {"1", "'x?'"}),
            "SELECT 1 WHERE a = '?' AND b='x?'");
  EXPECT_THROW(bind_parameters("SELECT ?", {}), ParameterCountError);
  EXPECT_THROW(bind_parameters("SELECT 1", {"1"}), ParameterCountError);
}

TEST(Sql, QuotedTextIsOneLiteral) {
  const std::string injection = "x' OR 1=1 --";
  const std::string statement =
      bind_parameters("SELECT * FROM t WHERE n = ?", {to_string_literal(injection)});
  const std::vector<Token> tokens = tokenize(statement);
  EXPECT_EQ(tokens.back().kind, TokenKind::kString);
  EXPECT_EQ(tokens.back().text, "'x'' OR 1=1 --'");
}

RC_GTEST_PROP(Sql, AnyTextIsTokenizedCompletely, (const std::string& text)) {
  size_t at = 0;
  for (const Token& t : tokenize(text)) {
    RC_ASSERT(t.offset >= at);
    RC_ASSERT(!t.text.empty());
    RC_ASSERT(text.substr(t.offset, t.text.size()) == t.text);
    at = t.offset + t.text.size();
  }
  RC_ASSERT(at <= text.size());
  analyze_statement(text);
  RC_ASSERT(bind_parameters(text, std::vector<std::string>(count_parameters(text), "?")) == text);
}

// Texts composed of significant tokens reach more branches than random texts.
RC_GTEST_PROP(Sql, TextsOfSignificantTokensAreTokenizedCompletely, ()) {
  const auto piece =
      rc::gen::element<std::string>("'", "\"", "`", "$", "$a$", "/*", "*/", "--", "\n", "?", "e'", "\\",
                                    "from", "with", "as", "(", ")", ",", ".", "1e", " ", "t");
  std::string text;
  for (const std::string& p : *rc::gen::container<std::vector<std::string>>(piece)) text += p;
  analyze_statement(text);
  RC_ASSERT(bind_parameters(text, std::vector<std::string>(count_parameters(text), "?")) == text);
}

}  // namespace
}  // namespace sablelink::sql
