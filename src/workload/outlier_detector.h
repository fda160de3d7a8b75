// Ejects engines that fail or hang, and takes them back once they answer again.
#pragma once

#include <cstddef>

#include "workload/cost_model.h"
#include "workload/events.h"
#include "workload/query.h"
#include "workload/types.h"

namespace sablelink {

struct EngineHealth {
  TimeUs last_response_at = 0;      // last sign that the engine works: an outcome or a progress update
  double error_rate = 0;            // fraction of bad outcomes, smoothed
  TimeUs ejected_until = 0;         // 0: in service
  TimeUs ejection_duration_us = 0;  // of the next ejection
  int recovery_successes = 0;       // in a row since the ejection

  bool is_ejected() const { return ejected_until != 0; }
};

enum class EjectionReason { kSilence, kErrors, kUnreachable };
enum class HealthChange { kNone, kShouldEject, kRecovered };

class OutlierDetector {
 public:
  /// Both must outlive this object.
  OutlierDetector(const EngineMap& engines, const CostModel& cost_model)
      : engines_(engines), cost_model_(cost_model) {}

  static void on_engine_started(Engine& engine, TimeUs now);
  /// Called whenever the engine shows that it works.
  static void on_response(Engine& engine, TimeUs now);
  /// Called with the outcome of an attempt, or of a health check, that tells something about the engine.
  /// Where the result is kShouldEject, the caller decides with eject().
  static HealthChange on_outcome(Engine& engine, Outcome outcome, TimeUs now);
  /// Ejects the engine, or extends its ejection. False, and nothing changes, where too many engines are
  /// ejected already: most engines fail for a cause that they share, and ejecting them would only overload
  /// the others.
  bool eject(Engine& engine, EjectionReason reason, TimeUs now) const;
  /// Whether the engine may get the query. After its ejection it gets one light query at a time for a check.
  bool accepts(const Query& query, const Engine& engine, TimeUs now) const;

  /// Notes an error answer to the query. It is blamed on the engine later, unless other engines show that the
  /// request is at fault: a flood of malformed requests must not get the fleet ejected.
  static void on_error(Query& query, Engine& engine, TimeUs now);
  static bool has_failed_on(const Query& query, EngineId engine);
  /// eligible_engines: number of engines on which the query may run at all.
  static bool is_request_at_fault(const Query& query, size_t eligible_engines);
  /// Whether the query's errors have waited long enough for an answer by another engine.
  static bool is_blame_due(const Query& query, TimeUs now);

 private:
  const EngineMap& engines_;
  const CostModel& cost_model_;
};

}  // namespace sablelink
