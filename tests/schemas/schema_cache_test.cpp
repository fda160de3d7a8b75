// The cache of result columns: lookups, limits and invalidation.
#include "schemas/schema_cache.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

namespace sablelink {
namespace {

using schemas::SchemaCache;

constexpr TimeUs kSecond = 1'000'000;

schemas::CachedStatement statement(const std::string& key, std::vector<std::string> tables = {"photo"}) {
  return {key, std::move(tables)};
}

TEST(SchemaCache, Entry_IsFoundUntilItsMaximumAge) {
  SchemaCache cache({10, 1 << 20, 60 * kSecond});
  EXPECT_FALSE(cache.find(0, "a"));
  EXPECT_TRUE(cache.put(0, statement("a"), "S", cache.change_count()));
  EXPECT_EQ(cache.find(60 * kSecond, "a"), "S");
  EXPECT_FALSE(cache.find(60 * kSecond + 1, "a"));
  EXPECT_EQ(cache.size(), 0u);
  EXPECT_EQ(cache.bytes(), 0u);
  EXPECT_EQ(cache.counts().stale, 1u);
}

TEST(SchemaCache, ConfirmedEntry_AgesFromTheConfirmation) {
  SchemaCache cache({10, 1 << 20, 60 * kSecond});
  cache.put(0, statement("a"), "S", cache.change_count());
  cache.put(50 * kSecond, statement("a"), "S", cache.change_count());
  EXPECT_EQ(cache.find(100 * kSecond, "a"), "S");
  EXPECT_EQ(cache.counts().inserted, 1u);
}

TEST(SchemaCache, OverItsLimits_EvictsTheLeastRecentlyUsed) {
  SchemaCache cache({3, 1 << 20, 60 * kSecond});
  for (const char* key : {"a", "b", "c"}) cache.put(0, statement(key), key, cache.change_count());
  EXPECT_TRUE(cache.find(1, "a"));
  cache.put(2, statement("d"), "d", cache.change_count());
  EXPECT_TRUE(cache.find(3, "a"));
  EXPECT_FALSE(cache.find(3, "b"));
  SchemaCache small({1000, 2000, 60 * kSecond});
  for (int i = 0; i < 100; ++i)
    small.put(i, statement(std::to_string(i)), std::string(300, 'x'), small.change_count());
  EXPECT_LE(small.bytes(), 2000u);
  EXPECT_GT(small.size(), 0u);
  EXPECT_FALSE(small.put(0, statement("huge"), std::string(5000, 'x'), small.change_count()));
  EXPECT_GT(small.size(), 0u) << "an entry over the limit must not evict others";
}

TEST(SchemaCache, InvalidatedTable_RemovesItsEntriesUnderAnyName) {
  SchemaCache cache({10, 1 << 20, 60 * kSecond});
  cache.put(0, statement("a", {"main.Photo", "gallery"}), "A", cache.change_count());
  cache.put(0, statement("b", {"gallery"}), "B", cache.change_count());
  cache.invalidate_tables({"archive.photo"});
  EXPECT_FALSE(cache.find(1, "a"));
  EXPECT_TRUE(cache.find(1, "b"));
  cache.invalidate_tables({});  // a statement whose tables are unknown
  EXPECT_FALSE(cache.find(1, "b"));
  EXPECT_EQ(cache.bytes(), 0u);
}

TEST(SchemaCache, ColumnsRequestedBeforeAChange_AreNotCached) {
  SchemaCache cache({10, 1 << 20, 60 * kSecond});
  const SchemaCache::ChangeCount before = cache.change_count();
  cache.invalidate_tables({"photo"});
  EXPECT_FALSE(cache.put(1, statement("a"), "old", before));
  EXPECT_TRUE(cache.put(1, statement("b", {"gallery"}), "B", before));
  EXPECT_TRUE(cache.put(1, statement("a"), "new", cache.change_count()));
  const SchemaCache::ChangeCount old_count = cache.change_count();
  for (int i = 0; i < 3000; ++i) cache.invalidate_tables({"other" + std::to_string(i)});
  EXPECT_FALSE(cache.put(2, statement("c"), "C", old_count))
      << "changes may have been dropped from the list since then";
}

TEST(SchemaCache, AnyOperations_KeepSizeAndBytesConsistent) {
  rc::check([] {
    SchemaCache cache({8, 6000, 50});
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
          cache.put(now, {key, {table, "u"}}, std::string(*rc::gen::inRange(0, 900), 's'),
                    cache.change_count());
          break;
        case 2:
          cache.find(now, key);
          break;
        case 3:
          cache.invalidate_tables({table});
          break;
        case 4:
          cache.remove(key);
          break;
      }
      RC_ASSERT(cache.size() <= 8u);
      RC_ASSERT(cache.bytes() <= 6000u);
      RC_ASSERT((cache.size() == 0) == (cache.bytes() == 0));
    }
    cache.clear();
    RC_ASSERT(cache.bytes() == 0u);
  });
}

}  // namespace
}  // namespace sablelink
