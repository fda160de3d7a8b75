#include "workload/slow_start.h"

#include <algorithm>
#include <cmath>

#include "workload/engine.h"
#include "workload/engine_capacity.h"
#include "workload/housekeeping.h"

namespace sablelink {
namespace {

constexpr double kWorkUsPerCoreUs = 1.1;   // that an engine does at capacity; part of it is reading
constexpr double kCreditDeviations = 3.3;  // margin where gateways send at random times
constexpr double kBudgetDeviations = 1.5;  // margin for the variance of the work sent
constexpr double kWindowMargin = 1.15;     // sends count this many windows

}  // namespace

SlowStart::SlowStart(const Settings& settings, const CostModel& cost_model, Random& random)
    : settings_(settings), cost_model_(cost_model), random_(random) {}

void SlowStart::on_engine_started(Engine& engine, TimeUs gateway_started_at, TimeUs now) {
  SlowStartState& state = engine.slow_start;
  state.accrued_at = now;
  state.draw = random_.draw();
  if (now - gateway_started_at <= settings_.collapse_window_us &&
      is_warming_up(settings_, engine.endpoint, now))
    state.sends.push_back({now, 0, window_budget_us(engine, now), 0});
}

void SlowStart::accrue_credit(Engine& engine, TimeUs now) const {
  SlowStartState& state = engine.slow_start;
  const TimeUs elapsed_us = now - state.accrued_at;
  state.accrued_at = now;
  if (!is_warming_up(settings_, engine.endpoint, now)) return;
  const double windows =
      1.0 * std::min(elapsed_us, kStallThresholdUs) / std::max<TimeUs>(settings_.collapse_window_us, 1);
  state.credit_us += windows * window_budget_us(engine, now);
}

bool SlowStart::has_budget_for(const Query& query, Engine& engine, TimeUs now) const {
  if (!is_warming_up(settings_, engine.endpoint, now) || settings_.collapse_window_us <= 0) return true;
  const double window_us = settings_.collapse_window_us;
  std::deque<SlowStartState::Send>& sends = engine.slow_start.sends;
  while (!sends.empty() && (now - sends.front().sent_at) > kWindowMargin * window_us) sends.pop_front();
  const double budget_us = window_budget_us(engine, now);
  if (budget_us < cost_model_.max_class_work_us())
    return engine.slow_start.credit_us >= credit_price_us(query, engine, now);
  double work_us = cost_model_.class_statistics(query).mean_work_us;
  double variance_us2 = added_variance_us2(query, engine);
  for (const SlowStartState::Send& send : sends) {
    work_us += send.mean_work_us;
    variance_us2 += send.work_variance_us2;
  }
  // Gateways' deviations are independent: each leaves room for its part of the sum's deviation alone.
  return work_us + kBudgetDeviations * std::sqrt(variance_us2 / std::max(1, settings_.gateway_count)) <=
         budget_us;
}

void SlowStart::record_send(const Query& query, Engine& engine, TimeUs now) {
  if (!is_warming_up(settings_, engine.endpoint, now)) return;
  SlowStartState& state = engine.slow_start;
  state.sends.push_back({now, query.request.id, cost_model_.class_statistics(query).mean_work_us,
                         added_variance_us2(query, engine)});
  state.credit_us = 0;
  state.draw = random_.draw();
}

bool SlowStart::remove_send(const Query& query, Engine& engine, TimeUs now) const {
  const auto is_latest_attempt = [&](const SlowStartState::Send& send) {
    return send.request == query.request.id && send.sent_at == query.sent_at;
  };
  const bool removed = std::erase_if(engine.slow_start.sends, is_latest_attempt) > 0;
  return removed && window_budget_us(engine, now) >= cost_model_.max_class_work_us();
}

// This gateway's part of the work that the engine bears within the window.
double SlowStart::window_budget_us(const Engine& engine, TimeUs now) const {
  return settings_.collapse_load_multiple * warmed_capacity_fraction(settings_, engine.endpoint, now) *
         engine.cores * kWorkUsPerCoreUs * settings_.collapse_window_us /
         std::max(1, settings_.gateway_count);
}

// Where this gateway's part is below one query, all gateways together send in the mean what leaves a margin
// of kCreditDeviations standard deviations of a sum of such queries. Twice the draw has a mean of 1.
double SlowStart::credit_price_us(const Query& query, const Engine& engine, TimeUs now) const {
  const ClassStatistics& statistics = cost_model_.class_statistics(query);
  const double work_us = statistics.mean_work_us;
  const double spread_us = work_us + statistics.work_variance_us2 / std::max(work_us, 1.0);
  const double half_margin = kCreditDeviations * std::sqrt(spread_us) / 2;
  const double fleet_budget_us = window_budget_us(engine, now) * std::max(1, settings_.gateway_count);
  const double mean_us = std::pow(std::sqrt(half_margin * half_margin + fleet_budget_us) - half_margin, 2);
  return 2 * engine.slow_start.draw * work_us * fleet_budget_us / mean_us;
}

// A query that is sent again deviates from its mean exactly as before, so its variances don't just add up.
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
