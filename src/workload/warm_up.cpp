#include "workload/warm_up.h"

#include <algorithm>

namespace sablelink {

bool is_warming_up(const Settings& settings, const Endpoint& endpoint, TimeUs now) {
  return endpoint.started_at > 0 && now < endpoint.started_at + settings.slow_start_duration_us;
}

double warmed_capacity_fraction(const Settings& settings, const Endpoint& endpoint, TimeUs now) {
  if (!is_warming_up(settings, endpoint, now)) return 1;
  const double age_us = std::max<double>(0, now - endpoint.started_at);
  return settings.slow_start_min_capacity_fraction +
         (1 - settings.slow_start_min_capacity_fraction) * 0.5 * age_us / settings.slow_start_duration_us;
}

}  // namespace sablelink
