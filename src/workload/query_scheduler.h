// Moves queries from their arrival through engines' queues and attempts to their final response.
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

/// Owns the queries. Every action on a query, such as a send, a cancellation or a final response, is given to
/// the delegate here. Pointers to queries hold until forget(), and until a call that may complete the query.
class QueryScheduler {
 public:
  /// parts must outlive this object.
  explicit QueryScheduler(DecisionParts& parts) : parts_(parts) {}

  /// Called before each event.
  void begin_event(TimeUs now, WorkloadManagerDelegate& delegate);
  /// Until the endpoints are known, a query that no engine can take waits.
  void set_endpoints_known() { endpoints_known_ = true; }

  /// Adds the request, whose class must exist, and places it. Ignored where the request is known already.
  void add(const QueryRequest& request);
  std::map<RequestId, Query>& queries() { return queries_; }
  /// Null where the query isn't known.
  Query* find(RequestId id);
  /// The query whose latest attempt this is; null where that isn't in flight.
  Query* find_in_flight(RequestId id, int attempt);

  /// Queues the query on the best engine, parks it while none can take it now, or completes it.
  void place(Query& query);
  /// Places the parked queries again; called after each event that can free capacity.
  void place_parked();
  /// Places the engine's queued queries again.
  void requeue(Engine& engine);
  /// Sends queries from the engine's queue while there is capacity.
  void start_queued(Engine& engine);
  /// Starts queued queries on other engines that are idle: placements become outdated.
  void steal_work();

  void cancel_attempt(Query& query);
  /// Whether the attempt, decided earlier, may still leave.
  bool may_still_leave(RequestId id, int attempt);
  /// The query's attempt has an outcome.
  void end_attempt(Query& query, Engine& engine, Outcome outcome);

  /// Gives the final response, unless it was given, and cancels the attempt in flight.
  void complete(Query& query);
  /// The client has disconnected and awaits no response; cancels the attempt in flight.
  void abandon(Query& query);
  /// Deletes the query.
  void forget(const Query& query);
  /// Completes all queries but those whose response has begun.
  void complete_all();
  /// Completes the queries whose deadline is near or that can't be useful any more.
  void complete_due_and_hopeless(bool may_cancel_wasteful);

 private:
  struct CandidateSearch {
    std::vector<PlacementCandidate> candidates;
    bool may_wait = false;  // an engine that can't take the query now might take it later
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
  // Of the present event.
  TimeUs now_ = 0;
  WorkloadManagerDelegate* delegate_ = nullptr;
};

}  // namespace sablelink
