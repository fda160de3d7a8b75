// Account of the memory that requests or results use in a gateway, and its limit. Pure.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <numeric>
#include <utility>

namespace sablelink::platform {

/// What reserved memory is used for.
enum class MemoryUse {
  kRequestBuffers,  // bytes received from clients that are not yet a complete request
  kStatements,      // statements of open requests
  kEngineCalls,     // calls to engines that are being written
  kResponses,       // responses to clients that are being written
  kResults,         // results of engines until their last page has been received
};
constexpr size_t kMemoryUses = 5;

/// Counts the reserved bytes, which may exceed the limit: users check is_exhausted() where they can refuse
/// more. Not thread-safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(size_t limit_bytes) : limit_bytes_(limit_bytes) {}

  size_t limit_bytes() const { return limit_bytes_; }
  size_t used_bytes() const { return std::accumulate(used_.begin(), used_.end(), size_t{0}); }
  size_t used_bytes(MemoryUse use) const { return used_[static_cast<size_t>(use)]; }
  /// The most bytes that have been in use at a time.
  size_t peak_bytes() const { return peak_bytes_; }
  bool is_exhausted() const { return used_bytes() > limit_bytes_; }

 private:
  friend class MemoryReservation;
  void add(MemoryUse use, size_t bytes) {
    used_[static_cast<size_t>(use)] += bytes;
    peak_bytes_ = std::max(peak_bytes_, used_bytes());
  }
  void remove(MemoryUse use, size_t bytes) { used_[static_cast<size_t>(use)] -= bytes; }

  const size_t limit_bytes_;
  std::array<size_t, kMemoryUses> used_{};
  size_t peak_bytes_ = 0;
};

/// Bytes that are counted for as long as this object exists. Keeps the budget alive.
class MemoryReservation {
 public:
  /// Does nothing if `budget` is null.
  MemoryReservation(std::shared_ptr<MemoryBudget> budget, MemoryUse use, size_t bytes = 0)
      : budget_(std::move(budget)), use_(use) {
    resize(bytes);
  }
  ~MemoryReservation() { resize(0); }
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  void resize(size_t bytes) {
    if (!budget_) return;
    budget_->remove(use_, std::exchange(bytes_, bytes));
    budget_->add(use_, bytes);
  }

 private:
  const std::shared_ptr<MemoryBudget> budget_;
  const MemoryUse use_;
  size_t bytes_ = 0;
};

}  // namespace sablelink::platform
