// Which queries may be sent again, where, and how many retries this gateway may make.
#pragma once

#include <deque>

#include "workload/query.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

/// Idempotency, the limit of attempts and the retry budget over a sliding window.
class RetryPolicy {
 public:
  /// settings must outlive the policy.
  explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

  /// Called for each request that a client has sent: the budget grows with them.
  void record_request(TimeUs now);
  void record_retry(TimeUs now) { retry_times_.push_back(now); }
  /// Takes back a retry that was recorded at the time given, if there is one.
  void remove_retry(TimeUs recorded_at);

  bool has_attempts_left(const Query& query) const { return query.attempts < settings_.max_attempts; }
  /// Whether the next attempt is the query's first, or a retry for which there is budget. Drops what has left
  /// the window.
  bool has_budget_for(const Query& query, TimeUs now);
  /// Whether running the query on the endpoint cannot repeat its effects: it never ran, is idempotent, or the
  /// endpoint still deduplicates the first run's key.
  bool is_safe_on(const Query& query, const Endpoint& endpoint, TimeUs now) const;
  /// Whether the query can be rejected. A client sends again what was rejected, so this must be safe.
  static bool may_reject(const Query& query);

 private:
  const Settings& settings_;
  std::deque<TimeUs> request_times_;
  std::deque<TimeUs> retry_times_;
};

}  // namespace sablelink
