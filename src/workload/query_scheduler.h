// Takes queries from their arrival through queues and attempts to their final response.
#pragma once

#include <map>
#include <vector>

#include "workload/admission.h"
#include "workload/decision_parts.h"
#include "workload/engine.h"
#include "workload/engine_queue.h"
#include "workload/events.h"
#include "workload/placement.h"
#include "workload/query.h"
#include "workload/send_guard.h"
#include "workload/types.h"
#include "workload/workload_manager.h"

namespace sablelink {

/// Owns the queries. Passes every action on a query, such as a send, a cancellation or a final response, to
/// the delegate. A pointer to a query becomes invalid with forget() or any call that may complete the query.
class QueryScheduler {
 public:
  /// parts must outlive this object.
  explicit QueryScheduler(DecisionParts& parts) : parts_(parts) {}

  /// Called before each event.
  void begin_event(TimeUs now, WorkloadManagerDelegate& delegate);
  /// Until this is called, a query without any engine waits instead of being completed.
  void set_endpoints_known() { endpoints_known_ = true; }

  /// Adds the request and places it. Its class must exist. Ignored if a request with this identifier exists
  /// already.
  void add(const QueryRequest& request);
  std::map<RequestId, Query>& queries() { return queries_; }
  /// Null if no such query exists.
  Query* find(RequestId id);
  /// Finds the query by its latest attempt; null if that attempt is not in flight.
  Query* find_in_flight(RequestId id, int attempt);

  /// Queues the query on the best engine, parks it if it cannot be placed now, or completes it if no engine
  /// can ever take it or its response would be useful on none of them.
  void place(Query& query);
  /// Places the parked queries again; called after each event that can free capacity.
  void place_parked();
  /// Places all queries in the engine's queue again.
  void requeue(Engine& engine);
  /// Sends queries from the engine's queue while the engine has capacity.
  void start_queued(Engine& engine);
  /// Starts queued queries on other engines that have become idle, as earlier placements become outdated.
  void steal_work();

  void cancel_attempt(Query& query);
  /// Whether an attempt that was decided earlier may still be sent.
  bool may_still_be_sent(RequestId id, int attempt);
  /// Updates the query and the engine after an outcome of the query's attempt.
  void end_attempt(Query& query, Engine& engine, Outcome outcome);

  /// Sends the final response if there was none yet, and cancels the attempt in flight.
  void complete(Query& query);
  /// Cancels the attempt in flight of a query whose client has disconnected; no response is sent.
  void abandon(Query& query);
  /// Deletes the query.
  void forget(const Query& query);
  /// Completes all queries except those whose response has started.
  void complete_all();
  /// Completes the queries whose deadline is near or whose response can no longer be useful.
  void complete_near_deadline_or_useless(bool may_cancel_useless_attempts);

 private:
  struct CandidateSearch {
    std::vector<PlacementCandidate> candidates;
    bool may_wait = false;  // an engine that can't take the query now may take it later
  };

  CandidateSearch find_candidates(const Query& query);
  void send(Query& query, Engine& engine);
  int execution_priority(const Query& query) const;
  void dequeue(Query& query);
  void send_final_response(const Query& query);
  void close(Query& query);

  DecisionParts& parts_;
  SendGuard send_guard_{parts_.slow_start, parts_.retry_policy, parts_.key_ordering};
  Placement placement_{parts_.settings, parts_.cost_model, parts_.load_estimator, parts_.limiter,
                       parts_.random};
  EngineQueueScheduler queue_scheduler_{parts_.cost_model, parts_.load_estimator, parts_.limiter,
                                        parts_.outlier_detector, send_guard_};
  Admission admission_{parts_.settings, parts_.cost_model, parts_.load_estimator};
  std::map<RequestId, Query> queries_;
  bool endpoints_known_ = false;
  // Time and delegate of the current event.
  TimeUs now_ = 0;
  WorkloadManagerDelegate* delegate_ = nullptr;
};

}  // namespace sablelink
