// Limits the work that this gateway sends to a warming engine, which collapses under too much work at once.
#pragma once

#include <deque>

#include "workload/cost_model.h"
#include "workload/query.h"
#include "workload/random.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

/// Sends of this gateway to an engine during the engine's slow start.
struct SlowStartState {
  struct Send {
    TimeUs sent_at = 0;
    RequestId request = 0;  // 0: placeholder for sends that this gateway may have made before its restart
    double mean_work_us = 0;
    double work_variance_us2 = 0;  // contribution of this send to the variance of the total work
  };
  std::deque<Send> sends;     // in the order of sent_at
  double send_credit_us = 0;  // work that may be sent, accumulated since the last send
  double random_price_fraction =
      0;  // 0 to 1, drawn anew for each send, so that gateways don't send at the same time
  TimeUs credit_accrued_at = 0;  // last update of send_credit_us
};

/// Each gateway has an equal part of the work that the engine can take within the collapse window. A query
/// counts with the mean work of its class; a margin covers the variance of the actual work.
class SlowStart {
 public:
  /// All arguments must outlive this object.
  SlowStart(const Settings& settings, const CostModel& cost_model, Random& random);

  /// Called for each new and each restarted engine. A gateway that started within the last collapse window
  /// may have sent work to the engine before its own restart, so it counts its budget there as spent.
  void on_engine_started(Engine& engine, TimeUs gateway_started_at, TimeUs now);
  /// Called at regular intervals; increases the credit, which is used for engines whose budget is smaller
  /// than one query.
  void accrue_credit(Engine& engine, TimeUs now) const;
  /// Whether the query may be sent to the engine now. Removes sends that are older than the window.
  bool has_budget_for(const Query& query, Engine& engine, TimeUs now) const;
  void record_send(const Query& query, Engine& engine, TimeUs now);
  /// Removes the send of the query's latest attempt. Returns whether the attempt counts against the window's
  /// budget again when it is actually sent; credit is spent when the send is decided.
  bool remove_send(const Query& query, Engine& engine, TimeUs now) const;

 private:
  double window_budget_us(const Engine& engine, TimeUs now) const;
  double required_credit_us(const Query& query, const Engine& engine, TimeUs now) const;
  double added_variance_us2(const Query& query, const Engine& engine) const;

  const Settings& settings_;
  const CostModel& cost_model_;
  Random& random_;
};

}  // namespace sablelink
