#include "workload/engine_capacity.h"

#include <algorithm>

#include "workload/engine.h"

namespace sablelink {
namespace {

constexpr double kDefaultCores = 8;

}  // namespace

bool is_warming_up(const Settings& settings, const Endpoint& endpoint, TimeUs now) {
  return endpoint.started_at > 0 && now < endpoint.started_at + settings.slow_start_duration_us;
}

double warmed_capacity_fraction(const Settings& settings, const Endpoint& endpoint, TimeUs now) {
  if (!is_warming_up(settings, endpoint, now)) return 1;
  const double age_us = std::max<double>(0, now - endpoint.started_at);
  return settings.slow_start_min_capacity_fraction +
         (1 - settings.slow_start_min_capacity_fraction) * 0.5 * age_us / settings.slow_start_duration_us;
}

double concurrency_limit_threads(const Settings& settings, const Engine& engine, TimeUs now) {
  return engine.cores * warmed_capacity_fraction(settings, engine.endpoint, now) * kThreadsPerCore;
}

double core_count(const Settings& settings, const Endpoint& endpoint) {
  const bool known = endpoint.engine_type < static_cast<int>(settings.engine_type_cores.size()) &&
                     settings.engine_type_cores[endpoint.engine_type] > 0;
  return known ? settings.engine_type_cores[endpoint.engine_type] : kDefaultCores;
}

}  // namespace sablelink
