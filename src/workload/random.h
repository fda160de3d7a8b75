// Seeded random numbers (SplitMix64). The same seed gives the same numbers on every platform.
#pragma once

#include <cstdint>

namespace sablelink {

inline uint64_t mix(uint64_t z) {
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
  return z ^ (z >> 31);
}

inline double unit(uint64_t mixed) { return (mixed >> 11) * 0x1p-53; }  // 0 up to, not including, 1

class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}
  uint64_t pick(uint64_t n) { return next() % n; }  // 0 to n - 1
  double draw() { return unit(next()); }

 private:
  uint64_t next() { return mix(state_ += 0x9e3779b97f4a7c15ull); }
  uint64_t state_;
};

}  // namespace sablelink
