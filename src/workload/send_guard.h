// Checks every send against rules that hold whatever the other components decide.
#pragma once

#include "workload/key_ordering.h"
#include "workload/query.h"
#include "workload/retry_policy.h"
#include "workload/settings.h"
#include "workload/slow_start.h"
#include "workload/types.h"

namespace sablelink {

class SendGuard {
 public:
  /// All arguments must outlive this object.
  SendGuard(SlowStart& slow_start, RetryPolicy& retry_policy, const KeyOrdering& key_ordering)
      : slow_start_(slow_start), retry_policy_(retry_policy), key_ordering_(key_ordering) {}

  /// Whether the engine is ready and the query's class allows its zone and engine type.
  static bool is_eligible(const Query& query, const Engine& engine);
  /// Whether the query may be sent to the engine now or later.
  bool may_ever_send(const Query& query, const Engine& engine, TimeUs now) const;
  /// Whether the query may be sent to the engine now.
  bool may_send(const Query& query, Engine& engine, TimeUs now);
  /// Called for each send, before the attempt is counted in the query.
  void on_sent(const Query& query, Engine& engine, TimeUs now);
  /// Whether the query's latest attempt, decided earlier, may still be sent to the engine. If so, it counts
  /// against the budgets from now on; otherwise it no longer counts.
  bool may_still_be_sent(const Query& query, Engine& engine, TimeUs now);

 private:
  void count_send(const Query& query, Engine& engine, bool is_retry, TimeUs now);

  SlowStart& slow_start_;
  RetryPolicy& retry_policy_;
  const KeyOrdering& key_ordering_;
};

}  // namespace sablelink
