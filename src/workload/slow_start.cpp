#include "workload/slow_start.h"

#include <algorithm>
#include <cmath>

#include "workload/engine.h"
#include "workload/engine_capacity.h"
#include "workload/housekeeping.h"

namespace sablelink {
namespace {

constexpr double kWorkPerCore = 1.1;  // work per core and time that an engine completes at capacity; above 1,
                                      // as part of the work is reading
constexpr double kCreditMarginDeviations = 3.3;  // safety margin for credit, in standard deviations
// Safety margin for the variance of the sent work, in standard deviations.
constexpr double kBudgetMarginDeviations = 1.5;
constexpr double kCountedWindows = 1.15;  // sends count for this many windows

}  // namespace

SlowStart::SlowStart(const Settings& settings, const CostModel& cost_model, Random& random)
    : settings_(settings), cost_model_(cost_model), random_(random) {}

void SlowStart::on_engine_started(Engine& engine, TimeUs gateway_started_at, TimeUs now) {
  SlowStartState& state = engine.slow_start;
  state.credit_accrued_at = now;
  state.random_price_fraction = random_.draw();
  if (now - gateway_started_at <= settings_.collapse_window_us &&
      is_warming_up(settings_, engine.endpoint, now))
    state.sends.push_back({now, 0, window_budget_us(engine, now), 0});
}

void SlowStart::accrue_credit(Engine& engine, TimeUs now) const {
  SlowStartState& state = engine.slow_start;
  const TimeUs elapsed_us = now - state.credit_accrued_at;
  state.credit_accrued_at = now;
  if (!is_warming_up(settings_, engine.endpoint, now)) return;
  const double windows =
      1.0 * std::min(elapsed_us, kStallThresholdUs) / std::max<TimeUs>(settings_.collapse_window_us, 1);
  state.send_credit_us += windows * window_budget_us(engine, now);
}

bool SlowStart::has_budget_for(const Query& query, Engine& engine, TimeUs now) const {
  if (!is_warming_up(settings_, engine.endpoint, now) || settings_.collapse_window_us <= 0) return true;
  const double window_us = settings_.collapse_window_us;
  std::deque<SlowStartState::Send>& sends = engine.slow_start.sends;
  while (!sends.empty() && (now - sends.front().sent_at) > kCountedWindows * window_us) sends.pop_front();
  const double budget_us = window_budget_us(engine, now);
  if (budget_us < cost_model_.max_class_work_us())
    return engine.slow_start.send_credit_us >= required_credit_us(query, engine, now);
  double work_us = cost_model_.class_statistics(query).mean_work_us;
  double variance_us2 = added_variance_us2(query, engine);
  for (const SlowStartState::Send& send : sends) {
    work_us += send.mean_work_us;
    variance_us2 += send.work_variance_us2;
  }
  // The deviations of gateways are independent, so each gateway leaves a margin only for its part of the
  // variance of the sum.
  return work_us + kBudgetMarginDeviations * std::sqrt(variance_us2 / std::max(1, settings_.gateway_count)) <=
         budget_us;
}

void SlowStart::record_send(const Query& query, Engine& engine, TimeUs now) {
  if (!is_warming_up(settings_, engine.endpoint, now)) return;
  SlowStartState& state = engine.slow_start;
  state.sends.push_back({now, query.request.id, cost_model_.class_statistics(query).mean_work_us,
                         added_variance_us2(query, engine)});
  state.send_credit_us = 0;
  state.random_price_fraction = random_.draw();
}

bool SlowStart::remove_send(const Query& query, Engine& engine, TimeUs now) const {
  const auto is_latest_attempt = [&](const SlowStartState::Send& send) {
    return send.request == query.request.id && send.sent_at == query.sent_at;
  };
  const bool removed = std::erase_if(engine.slow_start.sends, is_latest_attempt) > 0;
  return removed && window_budget_us(engine, now) >= cost_model_.max_class_work_us();
}

// This gateway's part of the work that the engine can take within one window.
double SlowStart::window_budget_us(const Engine& engine, TimeUs now) const {
  return settings_.collapse_load_multiple * warmed_capacity_fraction(settings_, engine.endpoint, now) *
         engine.cores * kWorkPerCore * settings_.collapse_window_us / std::max(1, settings_.gateway_count);
}

// If the budget of one gateway is smaller than one query, gateways send at random times. On average all
// gateways together send so much that the fleet's budget is kCreditMarginDeviations standard deviations above
// the mean of the total work. Twice the random fraction has a mean of 1.
double SlowStart::required_credit_us(const Query& query, const Engine& engine, TimeUs now) const {
  const ClassStatistics& statistics = cost_model_.class_statistics(query);
  const double work_us = statistics.mean_work_us;
  const double spread_us = work_us + statistics.work_variance_us2 / std::max(work_us, 1.0);
  const double half_margin = kCreditMarginDeviations * std::sqrt(spread_us) / 2;
  const double fleet_budget_us = window_budget_us(engine, now) * std::max(1, settings_.gateway_count);
  const double mean_us = std::pow(std::sqrt(half_margin * half_margin + fleet_budget_us) - half_margin, 2);
  return 2 * engine.slow_start.random_price_fraction * work_us * fleet_budget_us / mean_us;
}

// All attempts of a query have the same work, so their deviations from the mean are correlated and their
// variances don't simply add up.
double SlowStart::added_variance_us2(const Query& query, const Engine& engine) const {
  const std::deque<SlowStartState::Send>& sends = engine.slow_start.sends;
  const auto is_same_query = [&](const SlowStartState::Send& send) {
    return send.request == query.request.id;
  };
  const auto earlier_sends =
      query.attempts == 0 ? 0 : std::count_if(sends.begin(), sends.end(), is_same_query);
  return (1.0 + 2.0 * earlier_sends) * cost_model_.class_statistics(query).work_variance_us2;
}

}  // namespace sablelink
