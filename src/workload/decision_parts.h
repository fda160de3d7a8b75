// The components that hold the gateway's state, learn from events and limit sends.
#pragma once

#include <utility>

#include "workload/concurrency_limiter.h"
#include "workload/cost_model.h"
#include "workload/engine.h"
#include "workload/health_checker.h"
#include "workload/key_ordering.h"
#include "workload/load_estimator.h"
#include "workload/outlier_detector.h"
#include "workload/random.h"
#include "workload/retry_policy.h"
#include "workload/settings.h"
#include "workload/slow_start.h"
#include "workload/straggler_detector.h"

namespace sablelink {

/// Each component owns its state and refers only to components declared before it.
struct DecisionParts {
  DecisionParts(Settings initial_settings, uint64_t seed)
      : settings(std::move(initial_settings)), random(seed) {}
  DecisionParts(const DecisionParts&) = delete;
  DecisionParts& operator=(const DecisionParts&) = delete;

  const Settings settings;
  Random random;
  EngineMap engines;
  CostModel cost_model{settings};
  LoadEstimator load_estimator{settings, cost_model};
  ConcurrencyLimiter limiter{settings, cost_model, load_estimator};
  SlowStart slow_start{settings, cost_model, random};
  RetryPolicy retry_policy{settings};
  KeyOrdering key_ordering;
  OutlierDetector outlier_detector{engines, cost_model};
  StragglerDetector straggler_detector{settings, cost_model, retry_policy};
  HealthChecker health_checker{settings, cost_model, random};
};

}  // namespace sablelink
