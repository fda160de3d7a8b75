// Seeded random numbers (SplitMix64). The same seed gives the same numbers on every platform.
#pragma once

#include <cstdint>

namespace sablelink {

/// Mixes the 64 input bits; each bit of the result depends on all of them.
inline uint64_t mix_bits(uint64_t bits) {
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ull;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebull;
  return bits ^ (bits >> 31);
}

/// Maps the output of mix_bits() to [0, 1).
inline double to_unit_interval(uint64_t mixed) { return (mixed >> 11) * 0x1p-53; }

class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}
  /// Integer in [0, n - 1]; n must be at least 1.
  uint64_t pick(uint64_t n) { return next() % n; }
  /// Number in [0, 1).
  double draw() { return to_unit_interval(next()); }

 private:
  uint64_t next() { return mix_bits(state_ += 0x9e3779b97f4a7c15ull); }
  uint64_t state_;
};

}  // namespace sablelink
