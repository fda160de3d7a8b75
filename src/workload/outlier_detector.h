// Ejects engines that fail or don't respond, and returns them to service once they respond again.
#pragma once

#include <cstddef>

#include "workload/cost_model.h"
#include "workload/events.h"
#include "workload/query.h"
#include "workload/types.h"

namespace sablelink {

struct EngineHealth {
  TimeUs last_response_at = 0;     // last outcome or progress update
  double smoothed_error_rate = 0;  // fraction of outcomes that are errors
  TimeUs ejected_until = 0;        // 0: in service
  TimeUs next_ejection_duration_us = 0;
  int consecutive_recovery_successes = 0;  // since the ejection

  bool is_ejected() const { return ejected_until != 0; }
};

enum class EjectionReason { kSilence, kErrors, kUnreachable };
enum class HealthChange { kNone, kShouldEject, kRecovered };

class OutlierDetector {
 public:
  /// Both arguments must outlive this object.
  OutlierDetector(const EngineMap& engines, const CostModel& cost_model)
      : engines_(engines), cost_model_(cost_model) {}

  static void on_engine_started(Engine& engine, TimeUs now);
  /// Called on each sign that the engine responds.
  static void on_response(Engine& engine, TimeUs now);
  /// Called with each outcome of an attempt or health check that depends on the engine's health. For the
  /// result kShouldEject the caller calls eject(), which makes the decision.
  static HealthChange on_outcome(Engine& engine, Outcome outcome, TimeUs now);
  /// Ejects the engine or extends its ejection. Returns false without any change if too many engines are
  /// ejected already: failures of most engines have a common cause, and ejections would only overload the
  /// remaining engines.
  bool eject(Engine& engine, EjectionReason reason, TimeUs now) const;
  /// Whether the engine may receive the query. After its ejection it receives one light query at a time as a
  /// recovery check.
  bool accepts(const Query& query, const Engine& engine, TimeUs now) const;

  /// Records that an attempt of the query ended with an error. The error is attributed to the engine later,
  /// unless errors of other engines show that the request itself is at fault: many malformed requests must
  /// not cause the ejection of the fleet.
  static void on_error(Query& query, Engine& engine, TimeUs now);
  static bool has_failed_on(const Query& query, EngineId engine);
  /// eligible_engines: number of engines on which the query is allowed to run.
  static bool is_request_at_fault(const Query& query, size_t eligible_engines);
  /// Whether the query's errors have waited long enough for the response of another engine.
  static bool is_error_attribution_due(const Query& query, TimeUs now);

 private:
  const EngineMap& engines_;
  const CostModel& cost_model_;
};

}  // namespace sablelink
