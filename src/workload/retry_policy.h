// Decides which queries may be sent again, on which endpoints, and how many retries this gateway may make.
#pragma once

#include <deque>

#include "workload/query.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

/// Applies idempotency, the limit of attempts and the retry budget over a sliding window.
class RetryPolicy {
 public:
  /// settings must outlive the policy.
  explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

  /// Called for each request of a client; the budget grows with the number of requests.
  void record_request(TimeUs now);
  void record_retry(TimeUs now) { retry_times_.push_back(now); }
  /// Removes a retry recorded at the given time, if there is one.
  void remove_retry(TimeUs recorded_at);

  bool has_attempts_left(const Query& query) const { return query.attempts < settings_.max_attempts; }
  /// Whether the next attempt is the query's first, or a retry within the budget. Removes entries older than
  /// the window.
  bool has_budget_for(const Query& query, TimeUs now);
  /// Whether the query can run on the endpoint without repeating its effects: it never ran, it is idempotent,
  /// or the endpoint still deduplicates the key of the first run.
  bool is_retry_safe_on(const Query& query, const Endpoint& endpoint, TimeUs now) const;
  /// Whether the query can be rejected safely: clients send rejected queries again.
  static bool is_rejection_safe(const Query& query);

 private:
  const Settings& settings_;
  std::deque<TimeUs> request_times_;
  std::deque<TimeUs> retry_times_;
};

}  // namespace sablelink
