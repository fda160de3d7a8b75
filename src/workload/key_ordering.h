// Runs queries with the same key one at a time, in the order of their arrival.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "workload/query.h"
#include "workload/types.h"

namespace sablelink {

/// One queue per key, shared by all classes that are ordered by key. Queries of other classes and queries
/// without a key are never delayed.
class KeyOrdering {
 public:
  void add(const Query& query);
  void remove(const Query& query, TimeUs now);
  /// Delays the start of other queries with this query's key until the given time, as an attempt of this
  /// query may still be running.
  void delay_key_until(const Query& query, TimeUs until);
  /// Whether the query is at the head of its key's queue and the key isn't delayed. The delay doesn't apply
  /// to retries.
  bool may_start(const Query& query, TimeUs now) const;

 private:
  struct KeyQueue {
    std::deque<RequestId> requests;
    TimeUs delayed_until = 0;
  };
  std::map<uint64_t, KeyQueue> key_queues_;
};

}  // namespace sablelink
