// Statement shapes, the store of schemas, the rationing of planning calls, and what stand-ins answer.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "arrowipc/ipc.h"
#include "config/gateway_config.h"
#include "nodes/content.h"
#include "schemas/planning.h"
#include "schemas/store.h"
#include "sql/shape.h"
#include "sql/statement.h"

namespace sablelink {
namespace {

constexpr TimeUs kSecond = 1'000'000;

using schemas::Planning;
using schemas::PlanningLimits;
using schemas::Store;
using sql::exact_shape_of;
using sql::shape_of;

// ---- Shapes --------------------------------------------------------------------------------------------

TEST(Shape, LeavesOutWhatCantReachTheColumns) {
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

// Each line: two statements whose columns may differ, and which therefore never share a shape.
TEST(Shape, KeepsApartWhateverMayHaveOtherColumns) {
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
      // Where readers disagree.
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

TEST(Shape, OfParametersFoldsNothing) {
  EXPECT_NE(exact_shape_of("SELECT a FROM t WHERE a = ? AND b = 5"),
            exact_shape_of("SELECT a FROM t WHERE a = 5 AND b = ?"));
  EXPECT_EQ(exact_shape_of("SELECT a\n FROM t WHERE a=?"), exact_shape_of("SELECT a FROM t WHERE a = ?"));
}

// Whatever stands in a statement: what isn't folded is all still there, in its order.
TEST(Shape, LosesNoWord) {
  rc::check([] {
    static const std::vector<std::string> kPieces = {
        "SELECT", "FROM", "WHERE", "a",     "t", "1", "'x'",   "?",  ",",  "(",      ")",      "UNION",
        "LIMIT",  "=",    "+",     "\"q\"", ";", "|", "GROUP", "IN", "\n", "-- c\n", "/* c */"};
    std::string text;
    const auto n = *rc::gen::inRange(0, 60);
    for (int i = 0; i < n; ++i) text += *rc::gen::elementOf(kPieces) + " ";
    const auto words = [](const std::string& of) {
      std::vector<std::string> out;
      for (const sql::Token& t : sql::tokenize(of))
        if (t.text != "," && t.kind != sql::TokenKind::kNumber && t.kind != sql::TokenKind::kString &&
            t.kind != sql::TokenKind::kParameter)
          out.emplace_back(t.text);
      return out;
    };
    RC_ASSERT(words(shape_of(text)) == words(text));
    RC_ASSERT(shape_of(shape_of(text)) == shape_of(text));
  });
}

// ---- The store -----------------------------------------------------------------------------------------

schemas::Subject subject(const std::string& key, std::vector<std::string> tables = {"photo"}) {
  return {key, std::move(tables)};
}

TEST(SchemaStore, KnowsWhatItLearnedUntilThatIsTooOld) {
  Store store({10, 1 << 20, 60 * kSecond});
  EXPECT_FALSE(store.find(0, "a"));
  EXPECT_TRUE(store.learn(0, subject("a"), "S", store.moment()));
  EXPECT_EQ(store.find(60 * kSecond, "a"), "S");
  EXPECT_FALSE(store.find(60 * kSecond + 1, "a"));
  EXPECT_EQ(store.size(), 0u);
  EXPECT_EQ(store.bytes(), 0u);
  EXPECT_EQ(store.counts().stale, 1u);
}

TEST(SchemaStore, ConfirmedColumnsStayYoung) {
  Store store({10, 1 << 20, 60 * kSecond});
  store.learn(0, subject("a"), "S", store.moment());
  store.learn(50 * kSecond, subject("a"), "S", store.moment());
  EXPECT_EQ(store.find(100 * kSecond, "a"), "S");
  EXPECT_EQ(store.counts().learned, 1u);
}

TEST(SchemaStore, KeepsItsBoundsAndDropsWhatWasUnusedLongest) {
  Store store({3, 1 << 20, 60 * kSecond});
  for (const char* key : {"a", "b", "c"}) store.learn(0, subject(key), key, store.moment());
  EXPECT_TRUE(store.find(1, "a"));
  store.learn(2, subject("d"), "d", store.moment());
  EXPECT_TRUE(store.find(3, "a"));
  EXPECT_FALSE(store.find(3, "b"));
  Store small({1000, 2000, 60 * kSecond});
  for (int i = 0; i < 100; ++i)
    small.learn(i, subject(std::to_string(i)), std::string(300, 'x'), small.moment());
  EXPECT_LE(small.bytes(), 2000u);
  EXPECT_GT(small.size(), 0u);
  EXPECT_FALSE(small.learn(0, subject("huge"), std::string(5000, 'x'), small.moment()));
  EXPECT_GT(small.size(), 0u) << "what can't be kept at all must not drive the others out";
}

TEST(SchemaStore, ForgetsWhatNamesADefinedTableByWhicheverName) {
  Store store({10, 1 << 20, 60 * kSecond});
  store.learn(0, subject("a", {"main.Photo", "gallery"}), "A", store.moment());
  store.learn(0, subject("b", {"gallery"}), "B", store.moment());
  store.defined({"archive.photo"});
  EXPECT_FALSE(store.find(1, "a"));
  EXPECT_TRUE(store.find(1, "b"));
  store.defined({});  // names no table that is understood
  EXPECT_FALSE(store.find(1, "b"));
  EXPECT_EQ(store.bytes(), 0u);
}

TEST(SchemaStore, DoesNotLearnWhatWasAskedBeforeTheTableWasDefined) {
  Store store({10, 1 << 20, 60 * kSecond});
  const Store::Moment before = store.moment();
  store.defined({"photo"});
  EXPECT_FALSE(store.learn(1, subject("a"), "old", before));
  EXPECT_TRUE(store.learn(1, subject("b", {"gallery"}), "B", before));
  EXPECT_TRUE(store.learn(1, subject("a"), "new", store.moment()));
  const Store::Moment long_ago = store.moment();
  for (int i = 0; i < 3000; ++i) store.defined({"other" + std::to_string(i)});
  EXPECT_FALSE(store.learn(2, subject("c"), "C", long_ago)) << "what can't be told any more isn't believed";
}

TEST(SchemaStore, BooksBalanceWhateverHappens) {
  rc::check([] {
    Store store({8, 6000, 50});
    std::set<std::string> keys;
    TimeUs now = 0;
    const auto steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
      const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 12)));
      const std::string table(1, static_cast<char>('t' + *rc::gen::inRange(0, 3)));
      now += *rc::gen::inRange(0, 10);
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
        case 1:
          store.learn(now, {key, {table, "u"}}, std::string(*rc::gen::inRange(0, 900), 's'), store.moment());
          break;
        case 2:
          store.find(now, key);
          break;
        case 3:
          store.defined({table});
          break;
        case 4:
          store.forget(key);
          break;
      }
      RC_ASSERT(store.size() <= 8u);
      RC_ASSERT(store.bytes() <= 6000u);
      RC_ASSERT((store.size() == 0) == (store.bytes() == 0));
    }
    store.clear();
    RC_ASSERT(store.bytes() == 0u);
  });
}

// ---- Planning ------------------------------------------------------------------------------------------

PlanningLimits limits() {
  PlanningLimits l;
  l.on = true;
  l.at_once = 3;
  l.window_us = 10 * kSecond;
  l.free = 5;
  l.per_statement = 0.5;
  return l;
}

TEST(Planning, AHundredWhoAskForOneStatementMakeOneCall) {
  Planning p(limits());
  EXPECT_EQ(p.want(0, "a", 1), Planning::Word::kAsk);
  for (Planning::Waiter w = 2; w <= 100; ++w) EXPECT_EQ(p.want(0, "a", w), Planning::Word::kWait);
  p.left("a", 50);
  EXPECT_EQ(p.waiting(), 99u);
  const std::vector<Planning::Waiter> waiters = p.ended("a");
  EXPECT_EQ(waiters.size(), 99u);
  EXPECT_EQ(std::count(waiters.begin(), waiters.end(), 50u), 0);
  EXPECT_EQ(p.out() + p.waiting(), 0u);
  EXPECT_EQ(p.counts().calls, 1u);
  EXPECT_EQ(p.counts().shared, 99u);
}

TEST(Planning, OneThatFailedIsAskedAgainByTheNext) {
  Planning p(limits());
  p.want(0, "a", 1);
  p.ended("a");
  EXPECT_EQ(p.want(1, "a", 2), Planning::Word::kAsk);
}

TEST(Planning, ACallThatNobodyWaitsForAnyMoreGoesOn) {
  Planning p(limits());
  p.want(0, "a", 1);
  p.left("a", 1);
  EXPECT_EQ(p.out(), 1u);
  EXPECT_EQ(p.want(1, "a", 2), Planning::Word::kWait);
  EXPECT_EQ(p.ended("a"), std::vector<Planning::Waiter>{2});
}

TEST(Planning, OnlySoManyAtOnce) {
  Planning p(limits());
  for (const char* key : {"a", "b", "c"}) EXPECT_EQ(p.want(0, key, 1), Planning::Word::kAsk);
  EXPECT_EQ(p.want(0, "d", 1), Planning::Word::kGoWithout);
  p.ended("a");
  EXPECT_EQ(p.want(0, "d", 1), Planning::Word::kAsk);
}

TEST(Planning, WhatIsOverTheBudgetGoesWithout) {
  PlanningLimits l = limits();
  l.at_once = 100;
  Planning p(l);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(p.want(0, std::to_string(i), 1), Planning::Word::kAsk);
  EXPECT_EQ(p.want(0, "5", 1), Planning::Word::kGoWithout);
  p.asked(1);
  EXPECT_EQ(p.want(1, "5", 1), Planning::Word::kGoWithout) << "half a call more";
  p.asked(1);
  EXPECT_EQ(p.want(1, "5", 1), Planning::Word::kAsk);
  EXPECT_EQ(p.want(2, "6", 1), Planning::Word::kGoWithout);
  EXPECT_EQ(p.want(10 * kSecond, "6", 1), Planning::Word::kGoWithout) << "still in the window of the first";
  EXPECT_EQ(p.want(10 * kSecond + 1, "6", 1), Planning::Word::kAsk);
  EXPECT_EQ(p.counts().over_budget, 4u);
}

TEST(Planning, StaysWithinItsBudgetInEveryWindow) {
  rc::check([] {
    PlanningLimits l = limits();
    l.at_once = 1000;
    Planning p(l);
    std::vector<TimeUs> asked, made;
    TimeUs now = 0;
    const auto steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      now += *rc::gen::inRange<TimeUs>(0, kSecond);
      if (*rc::gen::inRange(0, 2)) {
        p.asked(now);
        asked.push_back(now);
      }
      if (p.want(now, std::to_string(i), 1) != Planning::Word::kAsk) continue;
      made.push_back(now);
      const auto within = [&](const std::vector<TimeUs>& v) {
        return std::count_if(v.begin(), v.end(), [&](TimeUs at) { return at > now - l.window_us; });
      };
      RC_ASSERT(static_cast<double>(within(made)) <=
                l.free + l.per_statement * static_cast<double>(within(asked)));
    }
  });
}

TEST(Planning, OffMeansThatNobodyIsAsked) {
  Planning p({});
  EXPECT_EQ(p.want(0, "a", 1), Planning::Word::kGoWithout);
  EXPECT_EQ(p.out(), 0u);
}

TEST(Planning, WaitersAreBounded) {
  PlanningLimits l = limits();
  l.waiting = 2;
  Planning p(l);
  p.want(0, "a", 1);
  p.want(0, "a", 2);
  EXPECT_EQ(p.want(0, "a", 3), Planning::Word::kGoWithout);
}

// ---- Settings ------------------------------------------------------------------------------------------

std::string told(const std::string& text) {
  try {
    config::parse_gateway_config(
        "[[class]]\nname = \"safe\"\n[[class]]\nname = \"unsafe\"\nrepeat = \"unsafe\"\n" + text, "f.toml");
  } catch (const config::ConfigError& e) {
    return e.what();
  }
  return "";
}

TEST(PlanningSettings, WrongOnesAreNamed) {
  EXPECT_EQ(told("[planning]\nclass = \"safe\"\nwait = \"1s\"\ntime = \"2s\"\n"), "");
  EXPECT_EQ(told("[planning]\nclass = \"other\"\n"), "f.toml:7: planning.class: 'other' isn't configured");
  EXPECT_EQ(told("[planning]\nclass = \"unsafe\"\n"),
            "f.toml:7: planning.class: must be one whose repeat is \"safe\": a plan changes nothing");
  EXPECT_EQ(told("[planning]\nclass = \"safe\"\ntime = \"1ms\"\n"),
            "f.toml:8: planning.time: must not be under its class's aim: calls would be refused at once");
  EXPECT_EQ(told("[planning]\nclass = \"safe\"\nwait = \"3s\"\n"),
            "f.toml:8: planning.wait: must not be over the call's own time");
  EXPECT_EQ(told("[schemas]\nentries = -1\n"), "f.toml:7: schemas.entries: -1 is not from 0 to 10000000");
  EXPECT_EQ(told("[schemas]\nage = 5\n"),
            "f.toml:7: schemas.age: must be a time such as \"250ms\" or \"1.5s\"");
}

// ---- Contents ------------------------------------------------------------------------------------------

std::string read(const std::string& statement, const std::vector<std::pair<int64_t, int64_t>>& pieces,
                 bool served = true, const std::string& from = "", int added = 0) {
  const nodes::Content content(from.empty() ? statement : from, added);
  nodes::AnswerCheck check(statement);
  for (const auto& [first, count] : pieces) check.on_batch(content.schema(), content.batch(first, count));
  return check.fault(served);
}

TEST(Contents, AWholeAnswerIsRight) {
  const std::string sql = "SELECT * FROM gallery /*+ rows=20 */";
  EXPECT_EQ(read(sql, {{0, 8}, {8, 12}}), "");
  EXPECT_EQ(read(sql, {{0, 20}}, true, "", 2), "") << "columns added since don't hide the others";
  EXPECT_EQ(read("SELECT id, 'x', 5 FROM gallery /*+ rows=0 */", {{0, 0}}), "");
  EXPECT_EQ(read(sql, {{0, 8}}, false), "") << "a failed answer is the beginning of one";
}

TEST(Contents, WhateverIsWrongIsSaid) {
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

TEST(Contents, TablesGrowByWhatIsDefined) {
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
