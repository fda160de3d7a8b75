#include "workload/health_checker.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "workload/engine.h"

namespace sablelink {
namespace {

constexpr size_t kMaxChecksPerQuery = 3;
constexpr double kMaxCostPerQuery = 0.05;
constexpr TimeUs kMaxFreshReportAgeUs =
    500 * kMillisecondUs;             // an engine with a younger load report needs no health check
constexpr int kMaxWaitTicks = 3;      // time to wait for responses, in ticks
constexpr double kMaxSaturation = 4;  // largest saturation derived from the duration of a health check

}  // namespace

std::vector<Engine*> HealthChecker::start_checks(Query& query,
                                                 const std::vector<PlacementCandidate>& candidates,
                                                 TimeUs now) {
  const bool worthwhile = settings_.health_checks_allowed && settings_.load_reports_in_health_checks &&
                          kMaxChecksPerQuery * settings_.health_check_cost <= kMaxCostPerQuery;
  if (!worthwhile || cost_model_.is_light(query) || query.health_check_wait_until > 0) return {};
  std::vector<std::pair<double, Engine*>> ranked;
  for (const PlacementCandidate& candidate : candidates) {
    Engine* const engine = candidate.engine;
    const bool stale = !engine->load.has_report || now - engine->load.reported_at > kMaxFreshReportAgeUs;
    if (engine->pending_health_check_sent_at == 0 && stale)
      ranked.emplace_back(random_.draw() - candidate.interaction_gain, engine);
  }
  const size_t count = std::min(ranked.size(), kMaxChecksPerQuery);
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
  std::vector<Engine*> chosen;
  for (size_t i = 0; i < count; ++i) {
    ranked[i].second->pending_health_check_sent_at = now;
    chosen.push_back(ranked[i].second);
  }
  if (count > 0) query.health_check_wait_until = now + kMaxWaitTicks * settings_.tick_us;
  return chosen;
}

double HealthChecker::on_completed(Engine& engine, Outcome outcome, TimeUs duration_us) {
  engine.pending_health_check_sent_at = 0;
  if (outcome != Outcome::kOk || duration_us <= 0) return 0;
  TimeUs& min_us = min_duration_us_.try_emplace(engine.endpoint.zone, duration_us).first->second;
  min_us = std::min(min_us, duration_us);
  return std::min(1.0 * duration_us / min_us - 1, kMaxSaturation);
}

}  // namespace sablelink
