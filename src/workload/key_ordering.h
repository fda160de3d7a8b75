// Runs the queries of one key one at a time, in the order of their arrival.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "workload/query.h"
#include "workload/types.h"

namespace sablelink {

/// One queue per key, over all classes that are ordered by key. Queries of other classes, and those without a
/// key, are never held back.
class KeyOrdering {
 public:
  void add(const Query& query);
  void remove(const Query& query, TimeUs now);
  /// Starts no other query of this one's key before the time given: an attempt of it may still be running.
  void delay_key_until(const Query& query, TimeUs until);
  /// Whether the query is at the head of its key's queue and the key isn't delayed. A retry needs no wait.
  bool may_start(const Query& query, TimeUs now) const;

 private:
  struct KeyQueue {
    std::deque<RequestId> requests;
    TimeUs delayed_until = 0;
  };
  std::map<uint64_t, KeyQueue> key_queues_;
};

}  // namespace sablelink
