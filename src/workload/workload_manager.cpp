// The decisions of sablelink. gateway.h has the interface; docs/design.md tells what was kept of the paper's
// design, what was changed and when each exception acts. Every send passes Impl::may_send.
#include "workload/workload_manager.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "workload/cost_model.h"
#include "workload/engine.h"
#include "workload/key_ordering.h"
#include "workload/query.h"
#include "workload/random.h"
#include "workload/retry_policy.h"
#include "workload/slow_start.h"
#include "workload/warm_up.h"

namespace sablelink {
namespace {

struct Gain {
  double balance = 0;
  int interaction = 0;
  size_t position = 0;
  double drain_us = 0;
  bool reachable = false;
};

constexpr TimeUs kMs = 1'000, kSecond = 1'000'000;

constexpr double kGuard = 0.5;  // c of the design: drain times up to (1 + c) x the smallest compete
constexpr TimeUs kDrainSlackUs = 30 * kMs;  // drain times this close tie, or idle engines never would
constexpr TimeUs kZoneDetourUs = 60 * kMs;  // another zone's engine must have a drain this much shorter
constexpr size_t kHomes = 4;                // engines that gateways agree on for a table group
constexpr double kCheapCrossing = 0.01, kFarHome = 3;  // over this fee, engines far off are less likely homes
constexpr double kThreadsPerCore = 1.85;  // run bound: engines peak between one and two threads a core
constexpr double kPressedShare = 0.8;     // of the run bound in threads: from here on the bound binds
constexpr double kUnrankedShare = 0.65;   // of the fleet's bounds: from here heavy queries wait if unranked
constexpr double kLightShare = 1.8;       // ... and from here light ones where memory is overcommitted
constexpr int kProbes = 3;                // engines asked before a heavy query goes out
constexpr double kProbeFeeMost = 0.05;    // ... where that costs less than this
constexpr double kProbeMost = 4;          // run bounds that a late probe stands for at the most
constexpr TimeUs kProbeFreshUs = 500 * kMs;  // a report younger than this needs no probe
constexpr double kDefaultCores = 8;          // where the kind's cores aren't told
constexpr double kFirstPace = 1.3;           // until answers tell: a shared engine takes a little longer
constexpr double kFitShare = 0.5;            // a query starts when this share of its threads is free

constexpr TimeUs kHousekeepingUs = 20 * kMs;  // pace of the checks that no event triggers; half the CPU of 10
constexpr TimeUs kStallUs = 150 * kMs;        // no event for this long: this gateway stood still
constexpr TimeUs kOthersTauUs = 400 * kMs;    // smoothing of reports; about their age, damps herding
constexpr TimeUs kReportFadeUs = 3 * kSecond;  // in this a report fades to the fleet's mean
constexpr TimeUs kTypicalTauUs = 4 * kSecond;  // smoothing of what this gateway has out: it may be one query
constexpr double kFewOut = 0.02;               // under this many attempts out, smoothed, they tell nothing
constexpr TimeUs kFleetTauUs = 1 * kSecond;    // smoothing of the fleet's mean of reports
constexpr double kLearnRate = 0.05;  // weight of a new outcome in slow averages (class work, grants)
constexpr double kPaceRate = 0.12, kRareRate = 0.4;  // the same in paces; in slow factors where news is rare
constexpr double kClipTimes = 6;     // a told cost counts up to this many class means (bad plans)
constexpr double kWaitMargin = 2.0;  // waits outrun estimates: who is just in time by estimate is late
constexpr double kSpent = 1.3;       // an attempt out for this share of its useful time earns nothing more
constexpr double kReach = 0.7;       // hopeless only if even this share of the estimated wait is too long

constexpr double kBadPlanTimes = 3.0;  // an attempt this far past its expected time is taken for a bad plan
constexpr double kCutTimes = 1.7;      // cut short this far past its expected time, an attempt is news
constexpr double kBadPlanPace = 4.0;   // ... or whose progress notes foretell this many times the expected
constexpr double kLeastProgress = 0.002;       // a note's share below this tells no more than this
constexpr TimeUs kBadPlanFloorUs = 300 * kMs;  // below this a late answer is noise
constexpr double kSharedShare = 0.35;  // more than this share of attempts overdue: the slowdown is shared
constexpr TimeUs kLateTauUs = 2 * kSecond;                 // smoothing of that share
constexpr int kHeavyAfterTold = 2, kHeavyAfterUntold = 1;  // slow attempts that prove a query itself heavy

constexpr double kErrRate = 0.2, kErrEject = 0.35;  // weight of an outcome in the failure share; ejects from
constexpr size_t kErrProves = 3;           // engines that answer a request with an error: it is the request's
constexpr TimeUs kErrDoubtUs = 40 * kMs;   // ... that long after its last error it is the engines'
constexpr TimeUs kSilenceUs = 1200 * kMs;  // no sign of life for this long with overdue work: it hangs
constexpr TimeUs kEjectUs = 1500 * kMs, kEjectMostUs = 6 * kSecond;  // first rest once ejected; doubles up to
constexpr int kTrialOks = 3;                   // answers in a row that bring an ejected engine back
constexpr double kSlowMost = 10;               // bound of an engine's slow factor: what outcomes can prove
constexpr TimeUs kForgetSlowUs = 8 * kSecond;  // a slow factor without news fades in this time

constexpr double kColdRate = 1.1;     // work of a core at capacity: 85% busy, and over a fifth is reading
constexpr double kColdSigmas = 3.3;   // room for chance where gateways can only take their turns at random
constexpr double kColdSpread = 1.5;   // ... and, of the work sent, for costs that stray from their mean
constexpr double kColdWindow = 1.15;  // the budget's window is kept this much longer, for the same reason
constexpr double kGrantMargin = 1.1, kEngineMargin = 1.25;  // grants over the estimate, ours and engines' own
constexpr TimeUs kResubscribeUs = 500 * kMs;                // after a failed call to discovery
constexpr TimeUs kRetryAfterLeastUs = 200 * kMs;
constexpr uint32_t kHousekeepingToken = 1, kSubscribeToken = 2;

// f of the design: 1 within a table group, but a load makes others of its group stand still.
int interaction(const Query& a, const Query& b) {
  if (a.request.table_group < 0 || a.request.table_group != b.request.table_group) return 0;
  const bool clash = (a.class_settings->writes_tables &&
                      (b.class_settings->writes_tables || b.class_settings->blocked_by_table_loads)) ||
                     (b.class_settings->writes_tables && a.class_settings->blocked_by_table_loads);
  return clash ? -1 : 1;
}

}  // namespace

class WorkloadManager::Impl {
 public:
  Impl(Settings settings, uint64_t seed) : s_(std::move(settings)), random_(seed) {
    for (const ClassSettings& c : s_.classes) most_threads_ = std::max(most_threads_, c.threads);
  }

  Impl& at(TimeUs now, WorkloadManagerDelegate& actions) {
    if (now_ > 0 && now - now_ > kStallUs) woke_at_ = now;  // housekeeping comes far more often
    now_ = now;
    act_ = &actions;
    return *this;
  }

  double work(const Query& q) const { return cost_model_.work_us(q); }
  double slow(const Engine& e) const { return e.latency.current(); }
  double run_us(const Query& q, const Engine& e) const {
    return cost_model_.expected_duration_us(q, e, now_);
  }
  double remaining_work(const Query& q, const Engine& e) const {
    return cost_model_.remaining_work_us(q, e, now_);
  }
  bool light(const Query& q) const { return cost_model_.is_light(q); }
  double granted_mb(const Query& q, const Engine& e) const { return cost_model_.memory_grant_mb(q, e); }
  double warmth(const Engine& e) const { return warmed_capacity_fraction(s_, e.endpoint, now_); }

  TimeUs aim_at(const Query& q) {
    const double aim = q.class_settings->latency_objective_us +
                       q.class_settings->latency_objective_stretch * work(q) / q.class_settings->threads;
    return std::min(q.arrived_at + static_cast<TimeUs>(aim), q.request.deadline);
  }

  double worth_at(const Query& q, double finish) {
    if (finish <= aim_at(q)) return q.class_settings->priority_weight;
    return finish <= q.request.deadline
               ? q.class_settings->priority_weight * q.class_settings->late_weight_fraction
               : 0;
  }

  // Past this time an answer is worth nothing.
  TimeUs last_use(const Query& q) {
    return q.class_settings->late_weight_fraction > 0 ? q.request.deadline : aim_at(q);
  }

  // Means over the own running queries stand in for what others hold.
  void refresh_fleet() {
    double n = 0, threads = 0, left = 0, mb = 0;
    own_all_ = fleet_bound_ = fleet_cores_ = 0;
    for (auto& [id, e] : engines_) {
      const TimeUs gap = now_ - e.averaged_at;
      e.averaged_at = now_;
      e.own_avg += std::min(1.0, 1.0 * gap / kOthersTauUs) * (e.in_flight.size() - e.own_avg);
      slow_start_.accrue_credit(e, now_);
      for (const Query* q : e.in_flight) {
        left += remaining_work(*q, e);
        mb += granted_mb(*q, e);
      }
      n += e.in_flight.size();
      threads += e.in_flight_threads();
      if (e.endpoint.state != EndpointState::kReady) continue;
      own_all_ += e.in_flight_threads();
      fleet_bound_ += run_bound(e);
      fleet_cores_ += e.cores;
    }
    const double rate = 1.0 * kHousekeepingUs / kTypicalTauUs;
    own_n_ += rate * (n - own_n_);
    own_typical_ += rate * (threads - own_typical_);
    own_left_ += rate * (left - own_left_);
    own_mb_ += rate * (mb - own_mb_);
    if (own_n_ < kFewOut) return;
    held_threads_ = own_typical_ / own_n_;
    held_work_ = own_left_ / own_n_;
    held_mb_ = own_mb_ / own_n_;
  }

  // What others hold there: the last report, fading to the fleet's mean, as that does to this gateway's own
  // load, taken for typical. A mean that stayed kept one that sent and so heard nothing from ever sending.
  double others(const Engine& e) const {
    const double mean = fleet_mean() * e.cores * warmth(e);
    return e.heard ? mean + (e.others - mean) * std::exp(-1.0 * (now_ - e.report_at) / kReportFadeUs) : mean;
  }

  double fleet_mean() const {
    const double typical =
        own_typical_ * (s_.gateway_count - 1) / std::max(fleet_cores_, 1.0) / held_threads_;
    if (fleet_at_ == 0) return typical;
    return typical + (fleet_others_ - typical) * std::exp(-1.0 * (now_ - fleet_at_) / kReportFadeUs);
  }

  double run_bound(const Engine& e) const { return e.cores * warmth(e) * kThreadsPerCore; }

  // Threads that this gateway may keep on the engine: its equal share, or what the others leave if more.
  double allowance(const Engine& e) const {
    const double bound = run_bound(e);
    return std::max({bound / s_.gateway_count, most_threads_, bound - others(e) * held_threads_});
  }

  // The bound binds only under pressure: a busy report or a recent 'full'.
  bool pressed(const Engine& e) const {
    return e.in_flight_threads() + others(e) * held_threads_ >= kPressedShare * run_bound(e) ||
           (e.full_at > 0 && now_ - e.full_at < kSecond);
  }

  double free_threads(const Engine& e) const {
    return (pressed(e) ? allowance(e) : std::max(allowance(e), run_bound(e))) - e.in_flight_threads();
  }

  // Where the whole fleet is over its bound, heavy queries wait until this gateway holds less than its part.
  bool fits(const Query& q, double free) const {
    if (free < kFitShare * q.class_settings->threads) return false;
    const double held = own_all_ + fleet_mean() * fleet_cores_ * held_threads_;
    if (light(q) && s_.memory_pressure_policy != MemoryPressurePolicy::kOvercommit) return true;
    const double share = light(q) ? kLightShare : s_.engines_honor_priorities ? 1 : kUnrankedShare;
    if (held <= share * fleet_bound_) return true;
    return own_all_ + kFitShare * q.class_settings->threads <=
           std::max(fleet_bound_ / s_.gateway_count, most_threads_);
  }

  // Time for all that the engine is known to hold and to be about to get.
  double drain_us(Engine& e) {
    double left = others(e) * held_work_;
    for (const Query* q : e.in_flight) left += remaining_work(*q, e);
    for (const Query* q : e.queue) left += work(*q);
    return left * slow(e) / run_bound(e);
  }

  // Algorithm 8: the best position by balance gain, ties to the higher interaction gain, then to the end.
  // Starts are worked out anew each time from what still runs, so an overrunning query moves those behind it.
  Gain evaluate(Engine& e, Query& q) {
    const double free = free_threads(e), rate = allowance(e) / (cost_model_.service_time_ratio() * slow(e));
    double out_work = 0;
    for (const Query* r : e.in_flight) out_work += remaining_work(*r, e);
    out_work /= (e.in_flight.size() + 1);
    const auto start = [&](double threads_ahead, double work_ahead) -> double {
      if (fits(q, free - threads_ahead)) return now_;
      return now_ + kWaitMargin * (out_work + work_ahead) / rate;
    };
    const size_t n = e.queue.size();
    const double run = run_us(q, e), own = work(q);
    std::vector<double> begins(n + 1), loss(n + 1, 0.0);  // loss: of those from k on, the newcomer at k
    double threads = 0, ahead = 0;
    for (size_t k = 0; k < n; ++k) {
      Query& other = *e.queue[k];
      begins[k] = start(threads, ahead);
      const double other_run = run_us(other, e);
      loss[k] = worth_at(other, begins[k] + other_run) -
                worth_at(other, start(threads + q.class_settings->threads, ahead + own) + other_run);
      threads += other.class_settings->threads;
      ahead += work(other);
    }
    begins[n] = start(threads, ahead);
    for (size_t k = n; k-- > 0;) loss[k] += loss[k + 1];
    Gain best;
    best.drain_us = drain_us(e);
    for (size_t j = n + 1; j-- > 0;) {
      const double balance = worth_at(q, begins[j] + run) - loss[j];
      const int together = interaction_at(e, q, j);
      if (j == n || balance > best.balance || (balance == best.balance && together > best.interaction)) {
        best.balance = balance;
        best.interaction = together;
        best.position = j;
      }
    }
    const double hopeful = now_ + kReach * (begins[best.position] + run - now_);
    best.reachable = best.balance > 0 || hopeful <= last_use(q);
    return best;
  }

  // Gain of standing at position j; an empty queue's front neighbour is the query started there last.
  static int interaction_at(const Engine& e, const Query& q, size_t j) {
    const Query* after = j < e.queue.size() ? e.queue[j] : nullptr;
    if (e.queue.empty()) {
      for (const Query* r : e.in_flight)
        if (interaction(*r, q) < 0) return -1;
      return q.request.table_group >= 0 && q.request.table_group == e.last_table_group;
    }
    if (j == 0) return interaction(q, *after);
    const Query& before = *e.queue[j - 1];
    return interaction(before, q) + (after ? interaction(q, *after) - interaction(before, *after) : 0);
  }

  // Algorithm 5: best balance gain, then the drain guard, then interaction gain; ties go to the lower drain
  // time, the same zone counting for a little, and to a seeded pick.
  void place(Query& q) {
    q.engine = nullptr;
    if (now_ < q.health_checks_awaited_until || !key_ordering_.may_start(q, now_)) return hold(q, true);
    std::vector<std::pair<Engine*, Gain>> options;
    bool later = false;
    for (int pass = 0; pass < 2 && options.empty(); ++pass)
      for (auto& [id, e] : engines_) {
        if (pass == 0 && (id == q.avoided_engine || erred_on(q, id)))
          continue;  // elsewhere first after a wrong one
        if (!allowed_target(q, e) || !retry_policy_.is_safe_on(q, e.endpoint, now_))
          continue;  // no wait changes these
        if (may_send(q, e) && in_service(q, e))
          options.emplace_back(&e, evaluate(e, q));
        else
          later = true;
      }
    if (options.empty()) return hold(q, later);
    add_home_gain(q, options);
    if (ask_first(q, options)) return hold(q, true);
    const auto reachable = [](const auto& option) { return option.second.reachable; };
    // Where worth is out of reach on every engine, waiting helps nobody.
    if (std::none_of(options.begin(), options.end(), reachable)) return conclude(q);
    double balance = options[0].second.balance;
    for (const auto& [e, g] : options) balance = std::max(balance, g.balance);
    std::erase_if(options, [&](const auto& option) { return option.second.balance < balance; });
    double least = options[0].second.drain_us;
    for (const auto& [e, g] : options) least = std::min(least, g.drain_us);
    const double guard = std::max((1 + kGuard) * least, least + kDrainSlackUs);
    const Gain* best = nullptr;
    double best_cost = 0;
    int ties = 0;
    for (const auto& [e, g] : options) {
      if (g.drain_us > guard) continue;
      const bool far = e->endpoint.zone != s_.zone && s_.cross_zone_cost > 0;
      const double cost = g.drain_us + (far ? kZoneDetourUs : 0);
      const bool level = best && g.interaction == best->interaction, tie = level && cost == best_cost;
      const bool better = !best || g.interaction > best->interaction || (level && cost < best_cost);
      ties = better ? 1 : ties + tie;
      if (better || (tie && random_.pick(ties) == 0)) q.engine = e, best = &g, best_cost = cost;
    }
    auto& queue = q.engine->queue;
    queue.insert(queue.begin() + static_cast<std::ptrdiff_t>(best->position), &q);
    pump(*q.engine);
  }

  // The other gateways' last queries aren't seen, so all agree on homes of a table group,
  // the engines of highest rendezvous weight, and count them as neighbours.
  void add_home_gain(const Query& q, std::vector<std::pair<Engine*, Gain>>& options) {
    if (q.request.table_group < 0) return;
    std::vector<std::pair<double, Gain*>> order;
    for (auto& [e, g] : options) {
      const double u = unit(mix(e->endpoint.engine * 0x9e3779b97f4a7c15ull ^ q.request.table_group));
      const double far = e->endpoint.zone != s_.zone && s_.cross_zone_cost > kCheapCrossing ? kFarHome : 1;
      order.emplace_back(-std::log(u + 1e-12) / e->cores * far, &g);
    }
    const size_t homes = std::min<size_t>(order.size(), kHomes);
    std::partial_sort(order.begin(), order.begin() + homes, order.end());
    for (size_t k = 0; k < homes; ++k) order[k].second->interaction += 1;
  }

  // Where a gateway hears from an engine every 10 s or never, it asks a few before each heavy query goes out:
  // those of highest interaction gain, then any. The fee is paid by few queries, and the news serves all.
  bool ask_first(Query& q, const std::vector<std::pair<Engine*, Gain>>& options) {
    const bool pays = s_.health_checks_allowed && s_.load_reports_in_health_checks &&
                      kProbes * s_.health_check_cost <= kProbeFeeMost;
    if (!pays || light(q) || q.health_checks_awaited_until > 0) return false;
    std::vector<std::pair<double, Engine*>> order;
    for (const auto& [e, g] : options)
      if (e->probe_at == 0 && (!e->heard || now_ - e->report_at > kProbeFreshUs))
        order.emplace_back(random_.draw() - g.interaction, e);
    const size_t asked = std::min<size_t>(order.size(), kProbes);
    std::partial_sort(order.begin(), order.begin() + asked, order.end());
    for (size_t k = 0; k < asked; ++k) {
      order[k].second->probe_at = now_;
      act_->check_health(order[k].second->endpoint.engine);
    }
    if (asked > 0) q.health_checks_awaited_until = now_ + 3 * s_.tick_us;
    return asked > 0;
  }

  // Nothing can take the query now: it waits for a turn, a budget or an engine, while that can be in time.
  void hold(Query& q, bool later) {
    if (!later && engines_known_) return conclude(q);
    if (std::find(waiting_.begin(), waiting_.end(), &q) == waiting_.end()) waiting_.push_back(&q);
  }

  // Algorithm 9, for many at once: starts queries from the front while the run bound leaves room.
  void pump(Engine& e) {
    while (!e.queue.empty()) {
      // What has passed its aim yields to what can still make it, or waits misjudged make all of them late;
      // and in-time queries that need more threads than are free let lighter ones by.
      const double room = free_threads(e);
      bool any_in_time = false;
      const auto next = std::find_if(e.queue.begin(), e.queue.end(), [&](const Query* w) {
        const bool in_time = now_ < aim_at(*w);
        any_in_time = any_in_time || in_time;
        return in_time && fits(*w, room);
      });
      if (next == e.queue.end() && any_in_time) return;
      const auto chosen = next == e.queue.end() ? e.queue.begin() : next;
      if (!fits(**chosen, room)) return;
      Query& q = **chosen;
      e.queue.erase(chosen);
      q.engine = nullptr;
      if (may_send(q, e))
        send(q, e);
      else
        hold(q, true);
    }
  }

  // An engine with room and an empty queue takes over a query that waits for a longer drain elsewhere: plans
  // go stale. What is late stays where it is.
  void draw_in(Engine& e, const std::vector<Engine*>& sources) {
    while (e.queue.empty() && e.endpoint.state == EndpointState::kReady) {
      const double room = free_threads(e), own_drain = drain_us(e);
      Query* best = nullptr;
      int together = 0;
      double longest = 0;
      for (Engine* from : sources) {
        const double drain = from->queue.empty() ? 0 : drain_us(*from);
        if (drain <= own_drain) continue;
        for (Query* q : from->queue) {
          if (!fits(*q, room) || now_ >= aim_at(*q)) continue;
          const int gain = interaction_at(e, *q, 0);
          if (best && (gain < together || (gain == together && drain <= longest))) continue;
          if (may_send(*q, e) && in_service(*q, e)) best = q, together = gain, longest = drain;
        }
      }
      if (!best) return;
      unqueue(*best);
      send(*best, e);
    }
  }

  void send(Query& q, Engine& e) {
    note_send(q, e, q.attempts > 0);
    if (s_.engines_honor_priorities || s_.engines_honor_grants) {
      const int level = s_.engines_honor_priorities ? priority(q) : 1;
      act_->set_execution_hints(q.request.id, level, s_.engines_honor_grants ? granted_mb(q, e) : 0);
    }
    act_->send_attempt(q.request.id, e.endpoint.engine, s_.cancellation_allowed ? 0 : patience(q, e));
    q.attempt_in_flight = true;
    q.cancel_requested = false;
    q.engine = &e;
    q.sent_at = now_;
    q.predicted_duration_us = 0;
    ++q.attempts;
    e.in_flight.push_back(&q);
    own_all_ += q.class_settings->threads;
    e.last_table_group = q.request.table_group;
  }

  // Light queries first; what is late yields, or, its cost not told, may well be late.
  int priority(const Query& q) {
    return now_ > aim_at(q) ? 0 : light(q) ? 3 : q.request.estimated_cost_us ? 1 : 0;
  }

  // Where attempts can't be cancelled, a time-out has to end a bad plan.
  TimeUs patience(const Query& q, const Engine& e) {
    if (q.attempts + 1 >= s_.max_attempts || q.class_settings->idempotency != Idempotency::kIdempotent)
      return 0;
    return static_cast<TimeUs>(2 * kBadPlanTimes * run_us(q, e)) + kBadPlanFloorUs;
  }

  // ---- Outcomes and retries ------------------------------------------------------------------------------

  // The final answer, at once. Refused where that is allowed, as only then the client knows it may come back.
  void conclude(Query& q, bool owed = true) {
    unqueue(q);
    if (!q.completed) {
      if (owed && !RetryPolicy::may_reject(q))
        act_->fail(q.request.id);
      else if (owed)
        act_->reject(q.request.id, s_.clients_honor_retry_after ? retry_after() : 0);
      if (q.attempt_in_flight && s_.cancellation_allowed && !q.response_started)
        act_->cancel_attempt(q.request.id, q.attempts - 1);
      q.completed = true;
    }
    if (!q.attempt_in_flight) forget(q);
  }

  TimeUs retry_after() {
    double least = s_.max_retry_after_us;
    for (auto& [id, e] : engines_)
      if (e.endpoint.state == EndpointState::kReady) least = std::min(least, drain_us(e));
    return std::min(std::max(static_cast<TimeUs>(least), kRetryAfterLeastUs), s_.max_retry_after_us);
  }

  void unqueue(Query& q) {
    std::erase(waiting_, &q);
    if (q.engine && !q.attempt_in_flight) {
      std::erase(q.engine->queue, &q);
      q.engine = nullptr;
    }
  }

  void forget(Query& q) {
    key_ordering_.remove(q, now_);
    queries_.erase(q.request.id);
  }

  void retry_or_conclude(Query& q) {
    if (at_fault(q))
      q.failed_engines.clear();
    else if (q.attempts < s_.max_attempts && retry_policy_.has_budget_for(q, now_) && last_use(q) > now_)
      return place(q);
    settle_errors(q);
    conclude(q);
  }

  // An attempt far past its expectation: its plan is taken for bad, unless the query is heavy in itself.
  bool overdue(const Query& q, const Engine& e) {
    const double age = (now_ - q.sent_at), expected = run_us(q, e);
    if (age < kBadPlanFloorUs) return false;
    return q.predicted_duration_us > 0 ? q.predicted_duration_us > kBadPlanPace * expected
                                       : age > kBadPlanTimes * expected;
  }

  bool worth_another(const Query& q, const Engine& e) {
    const int heavy = q.request.estimated_cost_us ? kHeavyAfterTold : kHeavyAfterUntold;
    const double fresh = run_us(q, e);
    return s_.cancellation_allowed && !q.cancel_requested && !q.response_started &&
           q.cancelled_stragglers < heavy && q.attempts < s_.max_attempts &&
           q.class_settings->idempotency == Idempotency::kIdempotent &&
           retry_policy_.has_budget_for(q, now_) && now_ + fresh < last_use(q);
  }

  void cancel_attempt(Query& q) {
    q.cancel_requested = true;
    act_->cancel_attempt(q.request.id, q.attempts - 1);
  }

  // Takes the query? An ejected engine gets, after its rest, one short query at a time as a trial.
  bool in_service(const Query& q, const Engine& e) {
    if (e.ejected_until == 0) return true;
    return now_ >= e.ejected_until && e.in_flight.empty() && e.queue.empty() && light(q);
  }

  void eject(Engine& e, const char* why, bool unreachable = false) {
    size_t ready = 0, out = 0;
    for (const auto& [id, other] : engines_) {
      if (other.endpoint.state != EndpointState::kReady) continue;
      ++ready;
      if (other.ejected_until != 0) ++out;
    }
    // Most look bad: it is shared, eject none. But what can't be reached serves nothing, however many.
    if (e.ejected_until == 0 && (unreachable ? out + 2 > ready : 2 * (out + 1) > ready)) return;
    if (e.ejected_until == 0) act_->log(std::string("engine taken out: ") + why);
    e.ejected_until = now_ + e.eject_for;
    e.eject_for = std::min(2 * e.eject_for, kEjectMostUs);
    e.trial_oks = 0;
    requeue(e);
    if (e.in_flight.size() < 2) return;  // with one there, the check on late attempts decides
    for (Query* q : std::vector<Query*>(e.in_flight))
      if (!q->completed && worth_another(*q, e)) cancel_attempt(*q);
  }

  void requeue(Engine& e) {
    for (Query* q : std::exchange(e.queue, {})) place(*q);
  }

  void learn_health(Engine& e, Outcome outcome) {
    const bool ok = outcome == Outcome::kOk;
    const bool unreachable = outcome == Outcome::kConnectFailed;
    const bool bad = unreachable || outcome == Outcome::kError || outcome == Outcome::kReset;
    if (outcome == Outcome::kOverloaded) e.full_at = now_;
    if (!ok && !bad) return;
    e.life_at = now_;
    const double rate = unreachable || outcome == Outcome::kReset ? 2 * kErrRate : kErrRate;
    e.errors += rate * ((bad ? 1.0 : 0.0) - e.errors);
    if (e.ejected_until != 0 && ok && ++e.trial_oks >= kTrialOks) {
      e.ejected_until = 0;
      e.eject_for = kEjectUs;
      e.errors = std::min(e.errors, kErrEject / 2);
      e.latency.ratio = 1;
      act_->log("engine back in service");
    } else if (bad && (e.ejected_until != 0 || e.errors > kErrEject)) {
      eject(e, unreachable ? "unreachable" : "failures", unreachable);
    }
  }

  // An error is the engine's fault or the request's own, which the other engines tell: the request that goes
  // wrong on several blames none, and is over. Else a flood of such requests would take the fleet out.
  void learn_error(Query& q, Engine& e) {
    e.life_at = now_;
    if (!erred_on(q, e.endpoint.engine)) q.failed_engines.push_back(e.endpoint.engine);
    q.last_error_at = now_;
  }

  static bool erred_on(const Query& q, EngineId id) {
    return std::find(q.failed_engines.begin(), q.failed_engines.end(), id) != q.failed_engines.end();
  }

  bool at_fault(const Query& q) const {
    size_t ready = 0;
    for (const auto& [id, e] : engines_) ready += allowed_target(q, e);
    return q.failed_engines.size() >= std::max<size_t>(2, std::min(kErrProves, ready));
  }

  void settle_errors(Query& q) {
    for (const EngineId id : std::exchange(q.failed_engines, {}))
      if (const auto it = engines_.find(id); it != engines_.end()) learn_health(it->second, Outcome::kError);
  }

  void settle_doubted() {
    std::vector<RequestId> doubted;
    for (const auto& [id, q] : queries_)
      if (!q.failed_engines.empty() && now_ - q.last_error_at > kErrDoubtUs) doubted.push_back(id);
    for (const RequestId id : doubted)  // one may end others, as engines are taken out
      if (const auto it = queries_.find(id); it != queries_.end()) settle_errors(it->second);
  }

  // One look at all attempts that are out. Cancels bad plans and lost answers, none where so many are late
  // that the slowdown must be shared; takes out engines that show no sign of life. One late attempt proves
  // little where a gateway has few on each engine, so it takes an engine out only while few others are late.
  void check_attempts() {
    double all = 0, overdue_now = 0;
    std::vector<Query*> found;
    std::vector<Engine*> silent, lone;
    for (auto& [id, e] : engines_) {
      CostModel::decay_latency_ratio(e, kHousekeepingUs, now_);
      const size_t n = e.in_flight.size();
      size_t late = 0;
      double against = 0;
      for (Query* q : e.in_flight) {
        const double age = (now_ - q->sent_at), expected = run_us(*q, e) / slow(e);
        against += std::min(age / expected, kSlowMost);
        if (age > kBadPlanTimes * expected + kBadPlanFloorUs && q->sent_at >= e.life_at) ++late;
        const bool counts = e.ejected_until == 0;  // an engine taken out is no news
        all += counts;
        if (q->completed || !overdue(*q, e)) continue;
        overdue_now += counts;
        if (worth_another(*q, e)) found.push_back(q);
      }
      e.latency.in_flight_ratio = n >= 2 ? std::max(1.0, against / n) : 1.0;
      const TimeUs quiet = now_ - e.life_at;
      if (e.ejected_until > now_ || late == 0 || quiet <= (late >= 2 ? kSilenceUs : 2 * kSilenceUs)) continue;
      (late >= 2 ? silent : lone).push_back(&e);
    }
    if (all > 0) late_share_ += kHousekeepingUs * (overdue_now / all - late_share_) / kLateTauUs;
    const bool shared = (overdue_now > 2 && overdue_now > kSharedShare * all) || late_share_ > kSharedShare;
    for (Query* q : found) {
      if (shared) break;
      ++q->cancelled_stragglers;
      cancel_attempt(*q);
    }
    for (Engine* e : silent) eject(*e, "silence");
    if (lone.size() > 1 && late_share_ > kSharedShare / 2) return;
    for (Engine* e : lone) eject(*e, "silence");
  }

  // Queries that the engine holds, from whichever fields came. Busy cores stand for their share of the run
  // bound: they say nothing past it, and little where memory pages. Memory in use goes on growing.
  std::optional<double> held_by(const LoadReport& r, const Engine& e) const {
    const auto usable = [](const std::optional<double>& v) { return v && std::isfinite(*v) && *v >= 0; };
    if (usable(r.in_flight)) return *r.in_flight;
    const bool told =
        e.endpoint.engine_type < static_cast<int>(s_.engine_type_memory_mb.size()) && held_mb_ > 0;
    const double filled =
        told ? s_.engine_type_memory_mb[e.endpoint.engine_type] / held_mb_ : 0;  // queries that fill it
    std::optional<double> held;
    if (usable(r.cpu_utilization)) held = *r.cpu_utilization * e.cores * kThreadsPerCore / held_threads_;
    if (usable(r.memory_utilization) && told)
      held = std::max(held.value_or(0), *r.memory_utilization * filled);
    if (!usable(r.waiting_for_memory)) return held;
    if (!held) held = *r.waiting_for_memory > 0 ? filled : std::min(filled, e.own_avg + others(e));
    return *held + *r.waiting_for_memory;
  }

  void take_report(Engine& e, const std::optional<LoadReport>& report, double least = 0) {
    const std::optional<double> held = report ? held_by(*report, e) : std::nullopt;
    if (!held && least <= 0) return;
    const double seen = std::max(0.0, std::max(held.value_or(0), least) - e.own_avg);
    const double gap = (now_ - e.report_at);
    const double rate = e.heard ? 1 - std::exp(-gap / kOthersTauUs) : 1;
    e.others += std::max(rate, 0.1) * (seen - e.others);
    e.heard = true;
    e.report_at = now_;
    const double fleet_rate = fleet_at_ ? 1 - std::exp(-1.0 * (now_ - fleet_at_) / kFleetTauUs) : 1;
    fleet_others_ += std::max(fleet_rate, 0.02) * (seen / e.cores - fleet_others_);
    fleet_at_ = now_;
  }

  // ---- Rule guards ---------------------------------------------------------------------------------------

  // Rule 3 and rule 6: only ready engines, only where the class may run.
  bool allowed_target(const Query& q, const Engine& e) const {
    const auto within = [](const std::vector<int>& only, int value) {
      return only.empty() || std::find(only.begin(), only.end(), value) != only.end();
    };
    return e.endpoint.state == EndpointState::kReady &&
           within(q.class_settings->allowed_zones, e.endpoint.zone) &&
           within(q.class_settings->allowed_engine_types, e.endpoint.engine_type);
  }

  // The one gate that every send passes.
  bool may_send(const Query& q, Engine& e) {
    return !q.completed && !q.attempt_in_flight && now_ < q.request.deadline &&
           q.attempts < s_.max_attempts &&                   // rules 1 and 2
           allowed_target(q, e) &&                           // rules 3 and 6
           retry_policy_.is_safe_on(q, e.endpoint, now_) &&  // rule 2
           slow_start_.has_budget_for(q, e, now_) &&         // rule 4
           key_ordering_.may_start(q, now_) &&               // rule 5
           retry_policy_.has_budget_for(q, now_);            // rule 7
  }

  void note_send(const Query& q, Engine& e, bool further) {
    slow_start_.record_send(q, e, now_);
    if (further) retry_policy_.record_retry(now_);
  }

  // The same where a send leaves later than it was decided: what may have changed holds still, and it counts
  // from now. Credit is spent at the decision.
  bool may_leave(RequestId id, int attempt) {
    Query* const q = attempted(id, attempt);
    if (!q || q->completed) return false;
    Engine& e = *q->engine;
    const bool counted = slow_start_.remove_send(*q, e, now_);
    if (attempt > 0) retry_policy_.remove_retry(q->sent_at);
    const bool room = (!counted || slow_start_.has_budget_for(*q, e, now_)) &&
                      (attempt == 0 || retry_policy_.has_budget_for(*q, now_));
    if (!room || !allowed_target(*q, e) || !retry_policy_.is_safe_on(*q, e.endpoint, now_)) return false;
    note_send(*q, e, attempt > 0);
    return true;
  }

  void on_start() {
    started_at_ = now_;
    cost_model_.on_start(now_);
    if (s_.watch_endpoints) act_->watch_endpoints(true);
    act_->set_timer(kHousekeepingUs, kHousekeepingToken);
  }

  void on_list(EndpointUpdateKind form, const std::vector<Endpoint>& entries) {
    if (form == EndpointUpdateKind::kFailed) {
      if (s_.watch_endpoints) act_->set_timer(kResubscribeUs, kSubscribeToken);
      return;
    }
    engines_known_ = true;
    std::map<EngineId, bool> named;
    for (const Endpoint& entry : entries) {
      named[entry.engine] = true;
      const auto it = engines_.find(entry.engine);
      if (it == engines_.end() && entry.state == EndpointState::kRemoved) continue;
      Engine& e = it == engines_.end() ? engines_[entry.engine] : it->second;
      const bool fresh = it == engines_.end() || entry.started_at > e.endpoint.started_at;
      if (fresh) {  // nothing learned of its former life holds
        Engine anew;
        anew.queue.swap(e.queue);
        anew.in_flight.swap(e.in_flight);
        e = std::move(anew);
      }
      e.endpoint = entry;
      const bool told = entry.engine_type < static_cast<int>(s_.engine_type_cores.size()) &&
                        s_.engine_type_cores[entry.engine_type] > 0;
      e.cores = told ? s_.engine_type_cores[entry.engine_type] : kDefaultCores;
      if (!fresh) continue;
      e.eject_for = kEjectUs;
      e.life_at = e.averaged_at = now_;
      slow_start_.on_engine_started(e, started_at_, now_);
    }
    for (auto& [id, e] : engines_)
      if (form != EndpointUpdateKind::kDelta && !named.contains(id))
        e.endpoint.state = EndpointState::kRemoved;
    refresh_fleet();
    for (auto& [id, e] : engines_)
      if (e.endpoint.state != EndpointState::kReady) requeue(e);
    std::erase_if(engines_, [](const auto& item) {
      return item.second.endpoint.state == EndpointState::kRemoved && item.second.in_flight.empty();
    });
    serve_waiting();
  }

  void on_request(const QueryRequest& request) {
    if (request.class_index < 0 || request.class_index >= static_cast<int>(s_.classes.size())) {
      act_->reject(request.id, 0);
      return;
    }
    if (queries_.contains(request.id)) return;
    Query& q = queries_[request.id];
    q.request = request;
    q.class_settings = &s_.classes[request.class_index];
    q.arrived_at = now_;
    retry_policy_.record_request(now_);
    key_ordering_.add(q);
    place(q);
  }

  // The query whose latest attempt this is, if that is out.
  Query* attempted(RequestId id, int attempt) {
    const auto it = queries_.find(id);
    if (it == queries_.end() || !it->second.attempt_in_flight || attempt != it->second.attempts - 1)
      return nullptr;
    return &it->second;
  }

  void on_stream_started(RequestId id, int attempt) {
    if (Query* q = attempted(id, attempt)) q->response_started = true;
  }

  void on_attempt_end(const AttemptCompletion& end) {
    const auto at = engines_.find(end.engine);
    if (at != engines_.end()) take_report(at->second, end.load_report);
    Query* const found = attempted(end.id, end.attempt);
    if (!found) return;
    Query& q = *found;
    Engine& e = *q.engine;
    std::erase(e.in_flight, &q);
    own_all_ -= q.class_settings->threads;
    q.attempt_in_flight = false;
    q.engine = nullptr;
    const bool cancelled = std::exchange(q.cancel_requested, false);
    const bool never_ran = end.outcome == Outcome::kOverloaded || end.outcome == Outcome::kConnectFailed ||
                           end.outcome == Outcome::kSuperseded;
    if (!never_ran && !q.may_have_run) {
      q.may_have_run = true;
      q.first_run_endpoint = e.endpoint;
      q.first_run_at = q.sent_at;
    }
    const bool may_still_run = end.outcome == Outcome::kTimeout || end.outcome == Outcome::kReset ||
                               end.outcome == Outcome::kCancelled;
    if (may_still_run) key_ordering_.delay_key_until(q, now_ + s_.ordering_gap_us);
    if (end.outcome == Outcome::kOk) cost_model_.on_success(q, e, end, now_ != woke_at_, now_);
    if (end.outcome == Outcome::kCancelled || end.outcome == Outcome::kTimeout)
      cost_model_.on_interrupted(q, e, end.duration_us, now_);
    if (end.outcome == Outcome::kError)
      learn_error(q, e);
    else if (end.engine_responsive)
      e.life_at = now_;
    else
      learn_health(e, end.outcome);
    if (end.outcome == Outcome::kOk || q.completed || end.request_finished) settle_errors(q);
    q.avoided_engine = end.outcome == Outcome::kOk ? 0 : end.engine;
    if (end.request_finished || q.completed || end.outcome == Outcome::kOk) {
      q.completed = true;
      forget(q);
    } else if (q.response_started || end.outcome == Outcome::kSuperseded ||
               (end.outcome == Outcome::kCancelled && !cancelled)) {
      conclude(q);
    } else {
      retry_or_conclude(q);
    }
    pump(e);
    serve_waiting();
  }

  void on_progress(const ProgressUpdate& note) {
    Query* const q = attempted(note.id, note.attempt);
    if (!q) return;
    q->engine->life_at = now_;
    if (note.kind != ProgressKind::kProgress) return;
    q->predicted_duration_us =
        static_cast<TimeUs>((now_ - q->sent_at) / std::clamp(note.value, kLeastProgress, 1.0));
  }

  // A deep probe shares the engine with what runs there. Its time against the zone's best tells one past
  // its peak, jams or ages, where busy cores look like an idle engine's; none back in time, it hangs.
  void on_probe_end(EngineId id, Outcome outcome, TimeUs took, const std::optional<LoadReport>& report) {
    const auto it = engines_.find(id);
    if (it == engines_.end()) return;
    Engine& e = it->second;
    e.probe_at = 0;
    double least = 0;
    if (outcome == Outcome::kOk && took > 0) {
      TimeUs& best = best_probe_.try_emplace(e.endpoint.zone, took).first->second;
      best = std::min(best, took);
      least = std::min(1.0 * took / best - 1, kProbeMost) * run_bound(e) / held_threads_;
    }
    take_report(e, report, report ? least : 0);
    if (outcome == Outcome::kOk)
      e.life_at = now_;
    else if (outcome == Outcome::kTimeout && now_ != woke_at_)
      eject(e, "silence");
    else
      learn_health(e, outcome);
    serve_waiting();
  }

  void on_client_left(RequestId id) {
    if (const auto it = queries_.find(id); it != queries_.end()) conclude(it->second, false);
  }

  void on_timer(uint32_t token) {
    if (token == kSubscribeToken) act_->watch_endpoints(true);
    if (token != kHousekeepingToken) return;
    act_->set_timer(kHousekeepingUs, kHousekeepingToken);
    refresh_fleet();
    end_hopeless();
    settle_doubted();
    if (now_ != woke_at_) check_attempts();  // after a stall, what came in the meantime is read first
    for (auto& [id, e] : engines_) pump(e);
    std::vector<Engine*> sources;
    const auto movable = [&](const Query* q) {
      return now_ < aim_at(*q) && fits(*q, q->class_settings->threads);
    };
    for (auto& [id, e] : engines_)
      if (std::any_of(e.queue.begin(), e.queue.end(), movable)) sources.push_back(&e);
    for (auto& [id, e] : engines_)
      if (!sources.empty()) draw_in(e, sources);
    serve_waiting();
  }

  // Gives the final answer to whatever can't earn anything any more, in time to whatever is due, or to all.
  void end_hopeless(bool all = false) {
    std::vector<Query*> hopeless;
    for (auto& [id, q] : queries_) {
      if (q.completed || q.response_started) continue;
      const bool due = now_ + 2 * s_.tick_us + kHousekeepingUs >= q.request.deadline;
      const double run = q.engine ? run_us(q, *q.engine) : 0;
      // What is out past all worth holds room that others need; without an estimate its aim isn't known.
      const bool spent = q.attempt_in_flight && q.request.estimated_cost_us && s_.cancellation_allowed &&
                         RetryPolicy::may_reject(q) && now_ != woke_at_ &&
                         now_ > q.arrived_at + kSpent * (last_use(q) - q.arrived_at);
      if (all || due || spent || (!q.attempt_in_flight && now_ + kReach * run >= last_use(q)))
        hopeless.push_back(&q);
    }
    for (Query* q : hopeless) conclude(*q);
  }

  void serve_waiting() {
    for (Query* q : std::exchange(waiting_, {})) place(*q);
  }

 private:
  Settings s_;
  Random random_;
  CostModel cost_model_{s_};
  SlowStart slow_start_{s_, cost_model_, random_};
  RetryPolicy retry_policy_{s_};
  KeyOrdering key_ordering_;
  std::map<EngineId, Engine> engines_;
  std::map<RequestId, Query> queries_;
  std::vector<Query*> waiting_;
  std::map<int, TimeUs> best_probe_;                               // shortest time of a probe, by zone
  double held_threads_ = 1.5, held_work_ = 500'000, held_mb_ = 0;  // of a query held: work left (us), grant
  double fleet_others_ = 0;                   // queries of other gateways a core, mean of the fleet
  double most_threads_ = 1, late_share_ = 0;  // of a query of any class; of the attempts out, smoothed
  double own_all_ = 0, own_typical_ = 0, own_n_ = 0, own_left_ = 0, own_mb_ = 0;  // of own attempts (see use)
  double fleet_bound_ = 0, fleet_cores_ = 0;  // run bounds and cores of the engines that are ready, together
  TimeUs now_ = 0, started_at_ = 0, fleet_at_ = 0, woke_at_ = 0;  // woke: end of this gateway's last stall
  bool engines_known_ = false;
  WorkloadManagerDelegate* act_ = nullptr;
};

WorkloadManager::WorkloadManager(Settings s, uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(s), seed)) {}
WorkloadManager::~WorkloadManager() = default;
WorkloadManager::WorkloadManager(WorkloadManager&&) noexcept = default;
WorkloadManager& WorkloadManager::operator=(WorkloadManager&&) noexcept = default;

void WorkloadManager::on_start(TimeUs now, WorkloadManagerDelegate& a) { impl_->at(now, a).on_start(); }
void WorkloadManager::on_endpoints_changed(TimeUs now, EndpointUpdateKind form,
                                           const std::vector<Endpoint>& entries, WorkloadManagerDelegate& a) {
  impl_->at(now, a).on_list(form, entries);
}
void WorkloadManager::on_request(TimeUs now, const QueryRequest& r, WorkloadManagerDelegate& a) {
  impl_->at(now, a).on_request(r);
}
void WorkloadManager::on_response_started(TimeUs now, RequestId id, int attempt, WorkloadManagerDelegate& a) {
  impl_->at(now, a).on_stream_started(id, attempt);
}
void WorkloadManager::on_attempt_completed(TimeUs t, const AttemptCompletion& e, WorkloadManagerDelegate& a) {
  impl_->at(t, a).on_attempt_end(e);
}
void WorkloadManager::on_progress(TimeUs now, const ProgressUpdate& n, WorkloadManagerDelegate& a) {
  impl_->at(now, a).on_progress(n);
}
void WorkloadManager::on_client_disconnected(TimeUs now, RequestId id, WorkloadManagerDelegate& a) {
  impl_->at(now, a).on_client_left(id);
}
void WorkloadManager::on_timer(TimeUs now, uint32_t token, WorkloadManagerDelegate& a) {
  impl_->at(now, a).on_timer(token);
}
void WorkloadManager::on_health_check_completed(TimeUs now, EngineId engine, Outcome outcome, TimeUs took,
                                                const std::optional<LoadReport>& r,
                                                WorkloadManagerDelegate& a) {
  impl_->at(now, a).on_probe_end(engine, outcome, took, r);
}
void WorkloadManager::on_shutdown(TimeUs now, WorkloadManagerDelegate& a) {
  impl_->at(now, a).end_hopeless(true);
}
bool WorkloadManager::is_attempt_still_valid(TimeUs t, RequestId q, int n, WorkloadManagerDelegate& a) {
  return impl_->at(t, a).may_leave(q, n);
}
void WorkloadManager::on_gossip(TimeUs, int, std::string_view, WorkloadManagerDelegate&) {
}  // never asked for: they cost a fee

}  // namespace sablelink
