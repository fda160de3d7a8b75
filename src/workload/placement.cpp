#include "workload/placement.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "workload/engine.h"
#include "workload/engine_queue.h"
#include "workload/latency_objective.h"

namespace sablelink {
namespace {

constexpr double kWaitEstimateMargin = 2.0;  // actual waits are longer than estimated

// Drain guard: engines are considered whose drain time is at most (1 + kDrainGuardFraction) times the
// shortest, or exceeds it by at most kDrainGuardSlackUs. Without the slack, a
// shortest drain time near 0 would exclude all other engines.
constexpr double kDrainGuardFraction = 0.5;
constexpr TimeUs kDrainGuardSlackUs = 30 * kMillisecondUs;
// Added to the drain time of engines in other zones.
constexpr TimeUs kRemoteZonePenaltyUs = 60 * kMillisecondUs;

constexpr size_t kPreferredEngineCount = 4;  // per table group
constexpr double kMinCostlyRemoteZone = 0.01;
// Factor for the rank of engines in other zones if attempts there are costly; lower ranks are preferred.
constexpr double kRemoteZoneRankFactor = 3;

// Rendezvous hashing, weighted by cores; gives the same ranks on every gateway.
double rendezvous_rank(int64_t table_group, const Engine& engine) {
  const double random =
      to_unit_interval(mix_bits(engine.endpoint.engine * 0x9e3779b97f4a7c15ull ^ table_group));
  return -std::log(random + 1e-12) / engine.cores;
}

}  // namespace

Placement::Placement(const Settings& settings, const CostModel& cost_model,
                     const LoadEstimator& load_estimator, const ConcurrencyLimiter& limiter, Random& random)
    : settings_(settings),
      cost_model_(cost_model),
      load_estimator_(load_estimator),
      limiter_(limiter),
      random_(random) {}

// Predicts starts from the queries that are still in flight, so that a query that exceeds its expected
// duration delays the queries behind it.
Placement::StartTimes Placement::predict_starts(const Query& query, const Engine& engine, TimeUs now) const {
  const double free_threads = limiter_.free_threads(engine, now);
  const double work_rate = limiter_.local_quota_threads(engine, now) /
                           (cost_model_.service_time_ratio() * engine.latency.current());
  double in_flight_work_us = 0;
  for (const Query* other : engine.in_flight)
    in_flight_work_us += cost_model_.remaining_work_us(*other, engine, now);
  in_flight_work_us /= (engine.in_flight.size() + 1);
  const auto start_after = [&](double threads, double work_us) -> double {
    if (limiter_.has_capacity_for(query, free_threads - threads, now)) return now;
    return now + kWaitEstimateMargin * (in_flight_work_us + work_us) / work_rate;
  };
  const size_t length = engine.queue.size();
  const double work_us = cost_model_.work_us(query);
  StartTimes starts;
  starts.start_by_position.resize(length + 1);
  starts.weight_loss_by_position.assign(length + 1, 0.0);
  double threads_ahead = 0;
  double work_ahead_us = 0;
  for (size_t i = 0; i < length; ++i) {
    const Query& other = *engine.queue[i];
    starts.start_by_position[i] = start_after(threads_ahead, work_ahead_us);
    const double delayed_start =
        start_after(threads_ahead + query.class_settings->threads, work_ahead_us + work_us);
    const double duration_us = cost_model_.expected_duration_us(other, engine, now);
    starts.weight_loss_by_position[i] =
        weight_at(cost_model_, other, starts.start_by_position[i] + duration_us) -
        weight_at(cost_model_, other, delayed_start + duration_us);
    threads_ahead += other.class_settings->threads;
    work_ahead_us += cost_model_.work_us(other);
  }
  starts.start_by_position[length] = start_after(threads_ahead, work_ahead_us);
  for (size_t i = length; i-- > 0;)
    starts.weight_loss_by_position[i] += starts.weight_loss_by_position[i + 1];
  return starts;
}

PlacementCandidate Placement::evaluate(const Query& query, Engine& engine, TimeUs now) const {
  const StartTimes starts = predict_starts(query, engine, now);
  const double duration_us = cost_model_.expected_duration_us(query, engine, now);
  const size_t last = engine.queue.size();
  PlacementCandidate best;
  best.engine = &engine;
  best.drain_time_us = load_estimator_.drain_time_us(engine, now);
  for (size_t position = last + 1; position-- > 0;) {
    const double balance_gain =
        weight_at(cost_model_, query, starts.start_by_position[position] + duration_us) -
        starts.weight_loss_by_position[position];
    const int interaction = interaction_gain(engine, query, position);
    if (position == last || balance_gain > best.balance_gain ||
        (balance_gain == best.balance_gain && interaction > best.interaction_gain)) {
      best.balance_gain = balance_gain;
      best.interaction_gain = interaction;
      best.position = position;
    }
  }
  const double optimistic_finish =
      now + kOptimisticDurationFraction * (starts.start_by_position[best.position] + duration_us - now);
  best.useful = best.balance_gain > 0 || optimistic_finish <= useful_until(cost_model_, query);
  return best;
}

void Placement::add_preferred_engine_gain(const Query& query,
                                          std::vector<PlacementCandidate>& candidates) const {
  if (query.request.table_group < 0) return;
  std::vector<std::pair<double, PlacementCandidate*>> ranked;
  for (PlacementCandidate& candidate : candidates) {
    const bool costly = is_remote_zone(*candidate.engine, kMinCostlyRemoteZone);
    const double factor = costly ? kRemoteZoneRankFactor : 1;
    ranked.emplace_back(rendezvous_rank(query.request.table_group, *candidate.engine) * factor, &candidate);
  }
  const size_t preferred = std::min<size_t>(ranked.size(), kPreferredEngineCount);
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(preferred), ranked.end());
  for (size_t i = 0; i < preferred; ++i) ranked[i].second->interaction_gain += 1;
}

const PlacementCandidate* Placement::choose(const std::vector<PlacementCandidate>& candidates) {
  const auto is_useful = [](const PlacementCandidate& candidate) { return candidate.useful; };
  if (std::none_of(candidates.begin(), candidates.end(), is_useful)) return nullptr;
  double balance_gain = candidates[0].balance_gain;
  for (const PlacementCandidate& candidate : candidates)
    balance_gain = std::max(balance_gain, candidate.balance_gain);
  const PlacementCandidate* shortest = nullptr;
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.balance_gain < balance_gain) continue;
    if (shortest == nullptr || candidate.drain_time_us < shortest->drain_time_us) shortest = &candidate;
  }
  const double guard_us = std::max((1 + kDrainGuardFraction) * shortest->drain_time_us,
                                   shortest->drain_time_us + kDrainGuardSlackUs);
  const PlacementCandidate* best = nullptr;
  double best_cost_us = 0;
  int ties = 0;
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.balance_gain < balance_gain || candidate.drain_time_us > guard_us) continue;
    const TimeUs penalty_us = is_remote_zone(*candidate.engine, 0) ? kRemoteZonePenaltyUs : 0;
    const double cost_us = candidate.drain_time_us + penalty_us;
    const bool same_gain = best != nullptr && candidate.interaction_gain == best->interaction_gain;
    const bool tie = same_gain && cost_us == best_cost_us;
    const bool better = best == nullptr || candidate.interaction_gain > best->interaction_gain ||
                        (same_gain && cost_us < best_cost_us);
    ties = better ? 1 : ties + tie;
    if (better || (tie && random_.pick(ties) == 0)) {
      best = &candidate;
      best_cost_us = cost_us;
    }
  }
  return best;
}

bool Placement::is_remote_zone(const Engine& engine, double min_cost) const {
  return engine.endpoint.zone != settings_.zone && settings_.cross_zone_cost > min_cost;
}

}  // namespace sablelink
