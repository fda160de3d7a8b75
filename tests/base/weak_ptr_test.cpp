#include "base/weak_ptr.h"

#include <gtest/gtest.h>

#include <array>
#include <memory>

namespace sablelink::test {
namespace {

class Owner {
 public:
  explicit Owner(int initial_value) : value(initial_value) {}
  WeakPtr<Owner> get_weak_ptr() const { return weak_factory_.get_weak_ptr(); }
  void invalidate_weak_ptrs() { weak_factory_.invalidate(); }

  int value;

 private:
  WeakPtrFactory<Owner> weak_factory_{this};
};

TEST(WeakPtr, DefaultConstructed_IsEmpty) {
  const WeakPtr<Owner> pointer;
  EXPECT_FALSE(pointer);
  EXPECT_EQ(pointer.get(), nullptr);
}

TEST(WeakPtr, OwnerAlive_PointsToOwner) {
  Owner owner(7);
  const WeakPtr<Owner> pointer = owner.get_weak_ptr();
  ASSERT_TRUE(pointer);
  EXPECT_EQ(pointer.get(), &owner);
  EXPECT_EQ(pointer->value, 7);
  (*pointer).value = 8;
  EXPECT_EQ(owner.value, 8);
}

TEST(WeakPtr, OwnerDestroyed_PointerAndItsCopiesAreEmpty) {
  auto owner = std::make_unique<Owner>(7);
  const WeakPtr<Owner> pointer = owner->get_weak_ptr();
  const std::array<WeakPtr<Owner>, 1> copies{pointer};
  ASSERT_TRUE(copies[0]);
  owner.reset();
  EXPECT_FALSE(pointer);
  EXPECT_EQ(copies[0].get(), nullptr);
}

TEST(WeakPtr, FactoryInvalidated_EmptiesEarlierAndLaterPointers) {
  Owner owner(7);
  const WeakPtr<Owner> earlier = owner.get_weak_ptr();
  owner.invalidate_weak_ptrs();
  EXPECT_FALSE(earlier);
  EXPECT_FALSE(owner.get_weak_ptr());
}

TEST(WeakPtr, TwoOwners_DestroyingOneKeepsTheOthersPointer) {
  Owner remaining(1);
  auto destroyed = std::make_unique<Owner>(2);
  const WeakPtr<Owner> to_remaining = remaining.get_weak_ptr();
  const WeakPtr<Owner> to_destroyed = destroyed->get_weak_ptr();
  destroyed.reset();
  EXPECT_TRUE(to_remaining);
  EXPECT_FALSE(to_destroyed);
}

}  // namespace
}  // namespace sablelink::test
