// Random numbers of the simulation. A counter-based generator (Philox 4x32-10, from Random123) gives each
// actor its own stream, selected by name. Drawing from one stream, or removing it, doesn't affect the others.
#pragma once

#include <Random123/philox.h>

#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sablelink::sim {

class RandomStream {
 public:
  RandomStream(uint64_t seed, std::string_view name);

  uint64_t next() {
    if (block_used_ == 2) {
      const r123::Philox4x32::ctr_type out = r123::Philox4x32()(counter_, key_);
      block_ = {uint64_t{out[0]} << 32 | out[1], uint64_t{out[2]} << 32 | out[3]};
      if (++counter_[0] == 0) ++counter_[1];
      block_used_ = 0;
    }
    return block_[block_used_++];
  }
  double uniform() { return static_cast<double>(next() >> 11) * 0x1p-53; }  // [0, 1)
  uint64_t below(uint64_t n) { return next() % n; }
  bool chance(double p) { return uniform() < p; }
  double exponential(double mean) { return -mean * std::log1p(-uniform()); }
  int64_t between(int64_t min, int64_t max) {
    return min + static_cast<int64_t>(below(static_cast<uint64_t>(max - min + 1)));
  }

 private:
  r123::Philox4x32::ctr_type counter_;
  r123::Philox4x32::key_type key_;
  std::array<uint64_t, 2> block_{};
  size_t block_used_ = 2;
};

}  // namespace sablelink::sim
