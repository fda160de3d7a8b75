// The check that every send passes, with the rules that no other part may get round.
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
  /// All must outlive this object.
  SendGuard(SlowStart& slow_start, RetryPolicy& retry_policy, const KeyOrdering& key_ordering)
      : slow_start_(slow_start), retry_policy_(retry_policy), key_ordering_(key_ordering) {}

  /// Whether the engine is ready, and in a zone and of a type that the query's class allows.
  static bool is_eligible(const Query& query, const Engine& engine);
  /// Whether the query might be sent to the engine now or later.
  bool may_ever_send(const Query& query, const Engine& engine, TimeUs now) const;
  /// Whether the query may be sent to the engine now.
  bool may_send(const Query& query, Engine& engine, TimeUs now);
  /// Called for each send, before the attempt is counted.
  void on_sent(const Query& query, Engine& engine, TimeUs now);
  /// Whether the query's latest attempt, decided earlier, may still leave for the engine. It then counts from
  /// now against the budgets, else no more.
  bool may_still_leave(const Query& query, Engine& engine, TimeUs now);

 private:
  void record(const Query& query, Engine& engine, bool is_retry, TimeUs now);

  SlowStart& slow_start_;
  RetryPolicy& retry_policy_;
  const KeyOrdering& key_ordering_;
};

}  // namespace sablelink
