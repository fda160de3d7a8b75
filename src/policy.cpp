// The decisions of sablelink. The interface (settings, events, actions) is in gateway.h; docs/design.md tells
// what was kept of the paper's design, what was changed and when each exception acts.
//
// Reading order: constants, state, estimates, engine queues and gains, dispatch, outcomes and retries,
// health, rule guards, events. Every send passes Impl::may_send, where all rule checks stand.
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>

#include "gateway.h"
#include "state.h"

namespace sablelink {
namespace {

// ---- Constants -------------------------------------------------------------------------------------------

constexpr TimeUs kMs = 1'000;
constexpr TimeUs kSecond = 1'000'000;

constexpr double kGuard = 0.5;  // c of the design: drain times up to (1 + c) x the smallest compete
constexpr TimeUs kDrainSlackUs =
    30 * kMs;  // drain times this close count as equal, or idle engines never tie
constexpr TimeUs kZoneDetourUs =
    60 * kMs;  // a same-zone engine wins over one whose drain is this much shorter
constexpr size_t kRecentGroups =
    3;  // table groups that an engine is taken to keep warm: few, as others read too
constexpr double kThreadsPerCore = 1.85;  // run bound: engines peak between one and two threads a core
constexpr double kPressedShare = 0.8;     // of the run bound in threads: from here on the bound binds
constexpr double kDefaultCores = 8;       // where the kind's cores aren't told
constexpr double kFirstPace = 1.3;        // until answers tell: a shared engine takes a little longer
constexpr double kFitShare = 0.5;         // a query starts when this share of its threads is free

constexpr TimeUs kHousekeepingUs = 10 * kMs;  // pace of the checks that no event triggers
constexpr TimeUs kOthersTauUs = 400 * kMs;    // smoothing of reports; about their age, damps herding
constexpr double kLearnRate = 0.05;           // weight of a new outcome in slow averages (class work, grants)
constexpr double kPaceRate = 0.12;            // weight of a new outcome in paces: follows load within seconds
constexpr double kClipTimes = 6;              // a told cost counts up to this many class means (bad plans)
constexpr double kWaitMargin = 2.0;  // waits outrun estimates: who is just in time by estimate is late
constexpr double kReach = 0.7;       // hopeless only if even this share of the estimated wait is too long

constexpr double kBadPlanTimes = 3.0;  // an attempt this far past its expected time is taken for a bad plan
constexpr double kBadPlanEarly = 1.7;  // the same once only a fresh attempt could still meet the aim
constexpr double kBadPlanPace = 4.0;   // ... or whose progress notes foretell this many times the expected
constexpr TimeUs kBadPlanFloorUs = 300 * kMs;  // below this a late answer is noise
constexpr double kSharedShare = 0.35;  // more than this share of attempts overdue: the slowdown is shared
constexpr int kHeavyAfterTold = 2;     // slow attempts after which a query counts as heavy, cost told
constexpr int kHeavyAfterUntold = 1;   // ... cost not told: its own weight is likelier

constexpr double kErrRate = 0.2;           // weight of a new outcome in the failure share
constexpr double kErrEject = 0.35;         // failure share, over the fleet's, that takes an engine out
constexpr TimeUs kSilenceUs = 1200 * kMs;  // no sign of life for this long with overdue work: it hangs
constexpr TimeUs kEjectUs = 1500 * kMs;    // first rest of an ejected engine; doubles up to the next
constexpr TimeUs kEjectMostUs = 6 * kSecond;
constexpr int kTrialOks = 3;                   // answers in a row that bring an ejected engine back
constexpr double kSlowMost = 10;               // bound of an engine's slow factor: what outcomes can prove
constexpr TimeUs kForgetSlowUs = 8 * kSecond;  // a slow factor without news fades in this time

constexpr double kColdRate = 1.1;     // work a core of an engine takes at capacity, of its time
constexpr double kColdMargin = 1.3;   // share of the cold budget that is used: clocks and delays differ
constexpr double kColdWindow = 1.15;  // the budget's window is kept this much longer, for the same reason
constexpr double kGrantMargin = 1.1;  // memory granted over the corrected estimate
constexpr TimeUs kResubscribeUs = 500 * kMs;  // after a failed call to discovery
constexpr TimeUs kRetryAfterLeastUs = 200 * kMs;
constexpr uint32_t kHousekeepingToken = 1;
constexpr uint32_t kSubscribeToken = 2;

// ---- Estimates and gains, without an instance ------------------------------------------------------------

// f of the design: 1 within a table group, but a load makes others of its group stand still.
int interaction(const Query& a, const Query& b) {
  if (a.req.table_group < 0 || a.req.table_group != b.req.table_group) return 0;
  const bool clash = (a.cls->writes_tables && (b.cls->writes_tables || b.cls->waits_for_loads)) ||
                     (b.cls->writes_tables && a.cls->waits_for_loads);
  return clash ? -1 : 1;
}

}  // namespace

class Gateway::Impl {
 public:
  Impl(Settings settings, uint64_t seed) : s_(std::move(settings)), random_(seed), stats_(s_.classes.size()) {
    for (size_t c = 0; c < stats_.size(); ++c) {
      // Until answers tell better: half the aim on all threads, as an aim leaves room for about that much.
      stats_[c].work_us = 0.5 * s_.classes[c].aim_us * s_.classes[c].threads;
      stats_[c].pace = kFirstPace;
    }
  }

  Impl& at(TimeUs now, Actions& actions) {
    now_ = now;
    act_ = &actions;
    return *this;
  }

  // ---- Estimates -----------------------------------------------------------------------------------------

  ClassStats& stats(const Query& q) { return stats_[q.req.cls]; }

  double work(const Query& q) {
    const ClassStats& c = stats(q);
    return std::max(1.0, q.req.cost_us ? *q.req.cost_us * c.cost_ratio : c.work_us);
  }

  double slow(const Engine& e) const { return std::max(e.slow, e.live_slow); }

  // Expected time of an attempt on the engine as things are now.
  double run_us(const Query& q, const Engine& e) {
    return work(q) / q.cls->threads * stats(q).pace * slow(e) / warmth(e);
  }

  TimeUs aim_at(const Query& q) {
    const double aim = q.cls->aim_us + q.cls->aim_stretch * work(q) / q.cls->threads;
    return std::min(q.arrived + static_cast<TimeUs>(aim), q.req.due_us);
  }

  double worth_at(const Query& q, double finish) {
    if (finish <= aim_at(q)) return q.cls->worth;
    return finish <= q.req.due_us ? q.cls->worth * q.cls->late_worth : 0;
  }

  // Past this time an answer is worth nothing.
  TimeUs last_use(const Query& q) { return q.cls->late_worth > 0 ? q.req.due_us : aim_at(q); }

  bool cold(const Engine& e) const {
    return e.entry.started_us > 0 && now_ < e.entry.started_us + s_.warm_after_us;
  }

  // Share of its capacity that an engine is sure to have. The curve is not told: half of a straight rise.
  double warmth(const Engine& e) const {
    if (!cold(e)) return 1;
    const double age = std::max<double>(0, now_ - e.entry.started_us);
    return s_.cold_from + (1 - s_.cold_from) * 0.5 * age / s_.warm_after_us;
  }

  static double own_threads(const Engine& e) {
    double threads = 0;
    for (const Query* q : e.running) threads += q->cls->threads;
    return threads;
  }

  double remaining_work(const Query& q, const Engine& e) {
    const double whole = q.foretold_us > 0 ? q.foretold_us : run_us(q, e);
    const double left = std::max(whole - (now_ - q.sent_at), 0.15 * whole);
    return work(q) * std::min(left / std::max(run_us(q, e), 1.0), kClipTimes);
  }

  // Means over the own running queries of the fleet stand in for what others hold.
  void refresh_fleet_means() {
    double n = 0, threads = 0, left = 0, heard = 0, others = 0;
    for (auto& [id, e] : engines_) {
      for (const Query* q : e.running) {
        n += 1;
        threads += q->cls->threads;
        left += remaining_work(*q, e);
      }
      if (e.heard) heard += 1, others += e.others;
    }
    if (n > 0) {
      held_threads_ += kLearnRate * (threads / n - held_threads_);
      held_work_ += kLearnRate * (left / n - held_work_);
    }
    unheard_others_ = heard > 0 ? others / heard : 0;
  }

  double others(const Engine& e) const { return e.heard ? e.others : unheard_others_; }

  // ---- Engine queues and gains ---------------------------------------------------------------------------

  double run_bound(const Engine& e) const { return e.cores * warmth(e) * kThreadsPerCore; }

  // Threads that this gateway may keep on the engine: its equal share, or what the others leave if more.
  double allowance(const Engine& e) const {
    const double bound = run_bound(e);
    return std::max(bound / s_.instances, bound - others(e) * held_threads_);
  }

  // The bound binds only under pressure: a busy report or a recent 'full'.
  bool pressed(const Engine& e) const {
    return own_threads(e) + others(e) * held_threads_ >= kPressedShare * run_bound(e) ||
           (e.full_at > 0 && now_ - e.full_at < kSecond);
  }

  double free_threads(const Engine& e) const {
    const double room = pressed(e) ? allowance(e) : std::max(allowance(e), run_bound(e));
    return room - own_threads(e);
  }

  double work_rate(const Engine& e) { return allowance(e) / (pace_ * slow(e)); }

  // Time for all that the engine is known to hold and to be about to get.
  double drain_us(Engine& e) {
    double left = others(e) * held_work_;
    for (const Query* q : e.running) left += remaining_work(*q, e);
    for (const Query* q : e.queue) left += work(*q);
    return left * slow(e) / run_bound(e);
  }

  // Algorithm 8: the best position by balance gain, ties to the higher interaction gain, then to the end.
  // Starts are worked out anew each time from what still runs, so an overrunning query moves those behind it.
  Gain evaluate(Engine& e, Query& q) {
    const double free = free_threads(e), rate = work_rate(e);
    double out_work = 0;
    for (const Query* r : e.running) out_work += remaining_work(*r, e);
    out_work /= (e.running.size() + 1);
    const auto start = [&](double threads_ahead, double work_ahead) -> double {
      if (threads_ahead + kFitShare * q.cls->threads <= free) return now_;
      return now_ + kWaitMargin * (out_work + work_ahead) / rate;
    };
    const size_t n = e.queue.size();
    const double run = run_us(q, e), own = work(q);
    std::vector<double> begins(n + 1),
        loss(n + 1, 0.0);  // loss: of those from k on when the newcomer is at k
    double threads = 0, ahead = 0;
    for (size_t k = 0; k < n; ++k) {
      Query& other = *e.queue[k];
      begins[k] = start(threads, ahead);
      const double other_run = run_us(other, e);
      loss[k] = worth_at(other, begins[k] + other_run) -
                worth_at(other, start(threads + q.cls->threads, ahead + own) + other_run);
      threads += other.cls->threads;
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

  // Gain of standing at position j. An empty queue's front neighbours are the queries started there last: an
  // engine keeps a few table groups warm, not only one, so the design's single neighbour is widened to a few.
  static int interaction_at(const Engine& e, const Query& q, size_t j) {
    const Query* after = j < e.queue.size() ? e.queue[j] : nullptr;
    if (e.queue.empty()) {
      for (const Query* r : e.running) {
        if (interaction(*r, q) < 0) return -1;
      }
      const auto& recent = e.recent_groups;
      return q.req.table_group >= 0 &&
             std::find(recent.begin(), recent.end(), q.req.table_group) != recent.end();
    }
    if (j == 0) return interaction(q, *after);
    const Query& before = *e.queue[j - 1];
    return interaction(before, q) + (after ? interaction(q, *after) - interaction(before, *after) : 0);
  }

  // ---- Dispatch ------------------------------------------------------------------------------------------

  // Algorithm 5: best balance gain, then the drain guard, then interaction gain; ties go to the lower drain
  // time, the same zone counting for a little, and to a seeded pick.
  void place(Query& q) {
    q.engine = nullptr;
    std::vector<std::pair<Engine*, Gain>> options;
    bool later = false;
    for (int pass = 0; pass < 2 && options.empty(); ++pass) {
      for (auto& [id, e] : engines_) {
        if (pass == 0 && id == q.avoid) continue;  // elsewhere first after an attempt went wrong
        if (!allowed_target(q, e) || !effect_safe(q, e)) continue;  // no wait changes these
        if (!may_send(q, e) || !in_service(q, e)) {
          later = true;
          continue;
        }
        options.emplace_back(&e, evaluate(e, q));
      }
    }
    if (options.empty()) return hold(q, later);
    const auto reachable = [](const auto& option) { return option.second.reachable; };
    // Where worth is out of reach on every engine, waiting helps nobody.
    if (std::none_of(options.begin(), options.end(), reachable)) return conclude(q);
    double balance = options[0].second.balance;
    for (const auto& [e, g] : options) balance = std::max(balance, g.balance);
    std::erase_if(options, [&](const auto& option) { return option.second.balance < balance; });
    double least = options[0].second.drain_us;
    for (const auto& [e, g] : options) least = std::min(least, g.drain_us);
    const double guard = std::max((1 + kGuard) * least, least + kDrainSlackUs);
    Engine* chosen = nullptr;
    const Gain* best = nullptr;
    double best_cost = 0;
    int ties = 0;
    for (const auto& [e, g] : options) {
      if (g.drain_us > guard) continue;
      const bool far = e->entry.zone != s_.zone && s_.cross_zone_fee > 0;
      const double cost = g.drain_us + (far ? kZoneDetourUs : 0);
      const bool better = !best || g.interaction > best->interaction ||
                          (g.interaction == best->interaction && cost < best_cost);
      const bool tie = best && g.interaction == best->interaction && cost == best_cost;
      if (better) ties = 1;
      if (tie) ++ties;
      if (better || (tie && pick(ties) == 0)) {
        chosen = e;
        best = &g;
        best_cost = cost;
      }
    }
    q.engine = chosen;
    chosen->queue.insert(chosen->queue.begin() + static_cast<std::ptrdiff_t>(best->position), &q);
    pump(*chosen);
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
        return in_time && room >= kFitShare * w->cls->threads;
      });
      if (next == e.queue.end() && any_in_time) return;
      const auto chosen = next == e.queue.end() ? e.queue.begin() : next;
      if (room < kFitShare * (*chosen)->cls->threads) return;
      Query& q = **chosen;
      if (!may_send(q, e)) {
        e.queue.erase(chosen);
        q.engine = nullptr;
        hold(q, true);
        continue;
      }
      e.queue.erase(chosen);
      send(q, e);
    }
  }

  // An engine with room and an empty queue takes over a query that waits for a longer drain elsewhere: plans
  // go stale, above all with many gateways and thus few queries in each queue. What is late stays where it
  // is.
  void draw_in(Engine& e) {
    while (e.queue.empty() && e.entry.state == EngineState::kReady) {
      const double room = free_threads(e), own_drain = drain_us(e);
      Query* best = nullptr;
      int together = 0;
      double longest = 0;
      for (auto& [id, from] : engines_) {
        const double drain = from.queue.empty() ? 0 : drain_us(from);
        if (drain <= own_drain) continue;
        for (Query* q : from.queue) {
          if (room < kFitShare * q->cls->threads || now_ >= aim_at(*q)) continue;
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
    note_send(q, e);
    if (s_.priorities_heeded || s_.grants_heeded) {
      q.priority = s_.priorities_heeded ? priority(q) : 1;
      act_->set_terms(q.req.id, q.priority, grant_mb(q, e));
    }
    act_->send(q.req.id, e.entry.engine, s_.may_cancel ? 0 : patience(q, e));
    q.out = true;
    q.cancelling = false;
    q.engine = &e;
    q.sent_at = now_;
    q.foretold_us = 0;
    ++q.attempts;
    e.running.push_back(&q);
    std::erase(e.recent_groups, q.req.table_group);
    e.recent_groups.push_front(q.req.table_group);
    if (e.recent_groups.size() > kRecentGroups) e.recent_groups.pop_back();
  }

  // Short queries first where shares are heeded; what is past its aim yields to all that isn't.
  int priority(const Query& q) {
    if (now_ > aim_at(q)) return 0;
    double all = 0;
    for (const ClassStats& c : stats_) all += c.work_us;
    return work(q) < all / stats_.size() ? 3 : 1;
  }

  double grant_mb(const Query& q, const Engine& e) {
    if (!s_.grants_heeded) return 0;
    const ClassStats& c = stats(q);
    double grant = kGrantMargin * (q.req.need_mb > 0 ? q.req.need_mb * c.memory_ratio : c.memory_mb);
    if (e.entry.kind < static_cast<int>(s_.kind_memory_mb.size())) {
      grant = std::min(grant, s_.most_grant * s_.kind_memory_mb[e.entry.kind]);
    }
    return grant;
  }

  // Where attempts can't be cancelled, a time-out has to end a bad plan.
  TimeUs patience(const Query& q, const Engine& e) {
    if (q.attempts + 1 >= s_.max_attempts || q.cls->repeat != Repeat::kRetryable) return 0;
    return static_cast<TimeUs>(2 * kBadPlanTimes * run_us(q, e)) + kBadPlanFloorUs;
  }

  uint64_t pick(int n) {
    random_ += 0x9e3779b97f4a7c15ull;
    uint64_t z = random_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return (z ^ (z >> 31)) % static_cast<uint64_t>(n);
  }

  // ---- Outcomes and retries ------------------------------------------------------------------------------

  // The final answer, at once. Refused where that is allowed, as only then the client knows it may come back.
  void conclude(Query& q) {
    unqueue(q);
    if (!q.finished) {
      if (may_refuse(q)) {
        act_->refuse(q.req.id, s_.retry_after_heeded ? retry_after() : 0);
      } else {
        act_->fail(q.req.id);
      }
      if (q.out && s_.may_cancel && !q.streaming) act_->cancel(q.req.id, q.attempts - 1);
      q.finished = true;
    }
    if (!q.out) forget(q);
  }

  TimeUs retry_after() {
    double least = 0;
    bool first = true;
    for (auto& [id, e] : engines_) {
      if (e.entry.state != EngineState::kReady) continue;
      least = first ? drain_us(e) : std::min(least, drain_us(e));
      first = false;
    }
    return std::min(std::max(static_cast<TimeUs>(least), kRetryAfterLeastUs), s_.max_retry_after_us);
  }

  void unqueue(Query& q) {
    std::erase(waiting_, &q);
    if (q.engine && !q.out) {
      std::erase(q.engine->queue, &q);
      q.engine = nullptr;
    }
  }

  void forget(Query& q) {
    if (const auto it = turns_.find(q.req.key); it != turns_.end() && q.cls->in_order) {
      std::erase(it->second.line, q.req.id);
      if (it->second.line.empty() && it->second.rest_until <= now_) turns_.erase(it);
    }
    queries_.erase(q.req.id);
  }

  void learn_answer(Query& q, Engine& e, const AttemptEnd& end) {
    ClassStats& c = stats(q);
    const double took = std::max<double>(1, end.took_us);
    const double told = end.work_us ? *end.work_us : took * q.cls->threads / c.pace;
    if (told <= 0) return;
    const double rate = std::max(kLearnRate, 1 / (c.answers + 2));
    if (q.req.cost_us && *q.req.cost_us > 0 && end.work_us) {
      c.cost_ratio += rate * (std::min(told / *q.req.cost_us, kClipTimes) - c.cost_ratio);
    }
    c.work_us += rate * (std::min(told, kClipTimes * c.work_us) - c.work_us);
    if (end.used_mb && *end.used_mb > 0) {
      c.memory_mb += (c.answers == 0 ? 1 : rate) * (*end.used_mb - c.memory_mb);
      if (q.req.need_mb > 0) c.memory_ratio += rate * (*end.used_mb / q.req.need_mb - c.memory_ratio);
    }
    c.answers += 1;
    // Paces are learned from told work only: without it, work and pace can't be told apart.
    if (!end.work_us) return;
    const double pace = std::clamp(took * q.cls->threads / told, 0.3, 30.0);
    const double against_fleet = std::clamp(pace / c.pace, 0.25, 4.0);
    c.pace *= std::pow(against_fleet, kPaceRate / 2);
    pace_ *= std::pow(std::clamp(pace / pace_, 0.25, 4.0), kPaceRate / 4);
    e.slow = std::clamp(e.slow * std::pow(against_fleet / e.slow, kPaceRate), 0.5, kSlowMost);
    e.slow_at = now_;
  }

  void retry_or_conclude(Query& q) {
    const double left = (last_use(q) - now_);
    if (q.attempts >= s_.max_attempts || !within_budget(q) || left <= 0) {
      conclude(q);
    } else {
      place(q);
    }
  }

  // An attempt far past its expectation: its plan is taken for bad, unless the query is heavy in itself.
  bool overdue(const Query& q, const Engine& e) {
    const double age = (now_ - q.sent_at), expected = run_us(q, e);
    if (age < kBadPlanFloorUs) return false;
    if (q.foretold_us > 0) return q.foretold_us > kBadPlanPace * expected;
    if (age > kBadPlanTimes * expected) return true;
    return age > kBadPlanEarly * expected && (aim_at(q) - now_) < 1.2 * expected && now_ < aim_at(q);
  }

  bool worth_another(const Query& q, const Engine& e) {
    const int heavy = q.req.cost_us ? kHeavyAfterTold : kHeavyAfterUntold;
    const double fresh = run_us(q, e);
    return s_.may_cancel && !q.cancelling && !q.streaming && q.slow_seen < heavy &&
           q.attempts < s_.max_attempts && q.cls->repeat == Repeat::kRetryable && within_budget(q) &&
           now_ + fresh < last_use(q);
  }

  // Cancels attempts with bad plans, but none where so many are late that the slowdown must be shared.
  void check_overdue() {
    int all = 0, late = 0;
    std::vector<Query*> found;
    for (auto& [id, e] : engines_) {
      for (Query* q : e.running) {
        ++all;
        if (q->finished || !overdue(*q, e)) continue;
        ++late;
        if (worth_another(*q, e)) found.push_back(q);
      }
    }
    if (late > 2 && late > kSharedShare * all) return;
    for (Query* q : found) {
      ++q->slow_seen;
      cancel_attempt(*q);
    }
  }

  void cancel_attempt(Query& q) {
    q.cancelling = true;
    act_->cancel(q.req.id, q.attempts - 1);
  }

  // ---- Health --------------------------------------------------------------------------------------------

  // Takes the query? An ejected engine gets, after its rest, one short query at a time as a trial.
  bool in_service(const Query& q, const Engine& e) {
    if (e.ejected_until == 0) return true;
    return now_ >= e.ejected_until && e.running.empty() && e.queue.empty() && priority(q) != 1;
  }

  void eject(Engine& e, const char* why, bool unreachable = false) {
    size_t ready = 0, out = 0;
    for (const auto& [id, other] : engines_) {
      if (other.entry.state != EngineState::kReady) continue;
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
    for (Query* q : std::vector<Query*>(e.running)) {
      if (!q->finished && worth_another(*q, e)) cancel_attempt(*q);
    }
  }

  void requeue(Engine& e) {
    std::vector<Query*> moved;
    moved.swap(e.queue);
    for (Query* q : moved) place(*q);
  }

  void learn_health(Engine& e, Outcome outcome) {
    const bool ok = outcome == Outcome::kOk;
    const bool bad =
        outcome == Outcome::kError || outcome == Outcome::kReset || outcome == Outcome::kConnectFailed;
    const bool unreachable = outcome == Outcome::kConnectFailed;
    if (ok || bad) e.life_at = now_;
    if (outcome == Outcome::kFull) e.full_at = now_;
    if (!ok && !bad) return;
    const double rate = unreachable || outcome == Outcome::kReset ? 2 * kErrRate : kErrRate;
    e.errors += rate * ((bad ? 1.0 : 0.0) - e.errors);
    if (e.ejected_until != 0 && ok && ++e.trial_oks >= kTrialOks) {
      e.ejected_until = 0;
      e.eject_for = kEjectUs;
      e.errors = std::min(e.errors, kErrEject / 2);
      e.slow = std::max(1.0, e.slow);
      act_->log("engine back in service");
    } else if (bad && (e.ejected_until != 0 || e.errors > kErrEject + (unreachable ? 0 : fleet_errors(e)))) {
      eject(e, unreachable ? "unreachable" : "failures", unreachable);
    }
  }

  double fleet_errors(const Engine& but) const {
    double sum = 0, n = 0;
    for (const auto& [id, e] : engines_) {
      if (&e != &but && e.entry.state == EngineState::kReady) sum += e.errors, n += 1;
    }
    return n > 0 ? sum / n : 0;
  }

  void check_silence() {
    std::vector<Engine*> silent;
    for (auto& [id, e] : engines_) {
      size_t late = 0;
      double against = 0;
      for (const Query* q : e.running) {
        const double age = (now_ - q->sent_at);
        const double expected = run_us(*q, e) / slow(e);
        against += std::min(age / expected, kSlowMost);
        if (age > kBadPlanTimes * expected + kBadPlanFloorUs && q->sent_at >= e.life_at) ++late;
      }
      const size_t n = e.running.size();
      e.live_slow = n >= 2 ? std::max(1.0, against / n) : 1.0;
      if (e.slow > 1 && now_ - e.slow_at > kSecond) {
        e.slow += (1 - e.slow) * kHousekeepingUs / kForgetSlowUs;
      }
      const TimeUs quiet = now_ - e.life_at;
      if ((late >= 2 && quiet > kSilenceUs) || (late >= 1 && quiet > 2 * kSilenceUs)) silent.push_back(&e);
    }
    for (Engine* e : silent) {
      if (e->ejected_until <= now_) eject(*e, "silence");
    }
  }

  void take_report(Engine& e, const std::optional<LoadReport>& report) {
    if (!report || !report->held) return;
    const double seen = std::max(0.0, *report->held - e.own_avg);
    const double gap = (now_ - e.report_at);
    const double rate = e.heard ? 1 - std::exp(-gap / kOthersTauUs) : 1;
    e.others += std::max(rate, 0.1) * (seen - e.others);
    e.heard = true;
    e.report_at = now_;
  }

  // ---- Rule guards ---------------------------------------------------------------------------------------

  // Rule 3 and rule 6: only ready engines, only where the class may run.
  bool allowed_target(const Query& q, const Engine& e) const {
    const auto within = [](const std::vector<int>& only, int value) {
      return only.empty() || std::find(only.begin(), only.end(), value) != only.end();
    };
    return e.entry.state == EngineState::kReady && within(q.cls->only_zones, e.entry.zone) &&
           within(q.cls->only_kinds, e.entry.kind);
  }

  // The one gate that every send passes.
  bool may_send(const Query& q, Engine& e) {
    return !q.finished && !q.out && now_ < q.req.due_us && q.attempts < s_.max_attempts &&  // rules 1 and 2
           allowed_target(q, e) &&                                                          // rules 3 and 6
           effect_safe(q, e) &&                                                             // rule 2
           cold_room(q, e) &&                                                               // rule 4
           has_turn(q) &&                                                                   // rule 5
           within_budget(q);                                                                // rule 7
  }

  void note_send(const Query& q, Engine& e) {
    if (cold(e)) e.cold_sent.emplace_back(now_, stats(q).work_us);
    if (q.attempts > 0) extra_at_.push_back(now_);
  }

  // Rule 2: what may have run is sent again only where repeats are dropped, and only while they are.
  bool effect_safe(const Query& q, const Engine& e) const {
    if (!q.may_have_run || q.cls->repeat == Repeat::kRetryable) return true;
    if (q.cls->repeat == Repeat::kFragile) return false;
    return now_ <= q.ran_since + q.cls->window_us &&
           (q.cls->key_scope == KeyScope::kAll ||
            (q.cls->key_scope == KeyScope::kZone && q.ran_on.zone == e.entry.zone) ||
            (q.cls->key_scope == KeyScope::kCell && q.ran_on.cell == e.entry.cell));
  }

  bool may_refuse(const Query& q) const {
    if (q.cls->repeat == Repeat::kRetryable || !(q.may_have_run || q.out)) return true;
    return q.cls->repeat == Repeat::kDedup && q.cls->key_scope == KeyScope::kAll;
  }

  // Rule 4: this gateway's equal part of what a cold engine bears within the window; queries weigh their
  // class's usual work.
  bool cold_room(const Query& q, Engine& e) {
    if (!cold(e) || s_.fall_us <= 0) return true;
    const double window = s_.fall_us;
    while (!e.cold_sent.empty() && (now_ - e.cold_sent.front().first) > kColdWindow * window) {
      e.cold_sent.pop_front();
    }
    double sent = stats(q).work_us;
    for (const auto& [at, weight] : e.cold_sent) sent += weight;
    return sent <= cold_budget(e);
  }

  double cold_budget(const Engine& e) const {
    return kColdMargin * s_.fall_multiple * warmth(e) * e.cores * kColdRate * s_.fall_us /
           std::max(1, s_.instances);
  }

  // Rule 5: the front of its key's line, and the key has rested.
  bool has_turn(const Query& q) const {
    if (!q.cls->in_order || q.req.key == 0) return true;
    const auto it = turns_.find(q.req.key);
    return it != turns_.end() && !it->second.line.empty() && it->second.line.front() == q.req.id &&
           (q.attempts > 0 || now_ >= it->second.rest_until);
  }

  // Rule 7: attempts beyond the first within the window.
  bool within_budget(const Query& q) {
    if (q.attempts == 0 || !s_.attempts_rationed) return true;
    while (!extra_at_.empty() && now_ - extra_at_.front() > s_.budget_window_us) extra_at_.pop_front();
    while (!taken_at_.empty() && now_ - taken_at_.front() >= s_.budget_window_us) taken_at_.pop_front();
    return (extra_at_.size() + 1) <= s_.budget_free + s_.budget_per_request * taken_at_.size();
  }

  // ---- Events --------------------------------------------------------------------------------------------

  void on_start() {
    started_at_ = now_;
    if (s_.subscribe_discovery) act_->subscribe(true);
    act_->set_timer(kHousekeepingUs, kHousekeepingToken);
  }

  void on_list(ListForm form, const std::vector<EngineEntry>& entries) {
    if (form == ListForm::kFailed) {
      if (s_.subscribe_discovery) act_->set_timer(kResubscribeUs, kSubscribeToken);
      return;
    }
    engines_known_ = true;
    std::map<EngineId, bool> named;
    for (const EngineEntry& entry : entries) {
      named[entry.engine] = true;
      const auto it = engines_.find(entry.engine);
      if (it == engines_.end() && entry.state == EngineState::kGone) continue;
      Engine& e = it == engines_.end() ? engines_[entry.engine] : it->second;
      const bool fresh = it == engines_.end() || entry.started_us > e.entry.started_us;
      e.entry = entry;
      e.cores = kDefaultCores;
      if (entry.kind < static_cast<int>(s_.kind_cores.size()) && s_.kind_cores[entry.kind] > 0) {
        e.cores = s_.kind_cores[entry.kind];
      }
      if (!fresh) continue;
      e.slow = 1;
      e.errors = 0;
      e.ejected_until = 0;
      e.eject_for = kEjectUs;
      e.heard = false;
      e.recent_groups.clear();
      e.life_at = now_;
      e.averaged_at = now_;
      e.cold_sent.clear();
      // A gateway that has just started may have spent its budget in its former life.
      if (now_ - started_at_ <= s_.fall_us && cold(e)) e.cold_sent.emplace_back(now_, cold_budget(e));
    }
    if (form != ListForm::kDelta) {
      for (auto& [id, e] : engines_) {
        if (!named.contains(id)) e.entry.state = EngineState::kGone;
      }
    }
    for (auto& [id, e] : engines_) {
      if (e.entry.state != EngineState::kReady) requeue(e);
    }
    std::erase_if(engines_, [](const auto& item) {
      return item.second.entry.state == EngineState::kGone && item.second.running.empty();
    });
    serve_waiting();
  }

  void on_request(const QueryRequest& request) {
    if (request.cls < 0 || request.cls >= static_cast<int>(s_.classes.size())) {
      act_->refuse(request.id, 0);
      return;
    }
    if (queries_.contains(request.id)) return;
    Query& q = queries_[request.id];
    q.req = request;
    q.cls = &s_.classes[request.cls];
    q.arrived = now_;
    if (s_.attempts_rationed) taken_at_.push_back(now_);
    if (q.cls->in_order && request.key != 0) turns_[request.key].line.push_back(request.id);
    place(q);
  }

  void on_stream_started(RequestId id, int attempt) {
    const auto it = queries_.find(id);
    if (it == queries_.end() || !it->second.out || attempt != it->second.attempts - 1) return;
    it->second.streaming = true;
  }

  void on_attempt_end(const AttemptEnd& end) {
    const auto at = engines_.find(end.engine);
    if (at != engines_.end()) take_report(at->second, end.report);
    const auto it = queries_.find(end.id);
    if (it == queries_.end() || !it->second.out || end.attempt != it->second.attempts - 1) return;
    Query& q = it->second;
    Engine& e = *q.engine;
    std::erase(e.running, &q);
    q.out = false;
    q.engine = nullptr;
    const bool cancelled = q.cancelling;
    q.cancelling = false;
    const bool never_ran = end.outcome == Outcome::kFull || end.outcome == Outcome::kConnectFailed ||
                           end.outcome == Outcome::kMoot;
    if (!never_ran && !q.may_have_run) {
      q.may_have_run = true;
      q.ran_on = e.entry;
      q.ran_since = q.sent_at;
    }
    const bool may_still_run = end.outcome == Outcome::kTimeout || end.outcome == Outcome::kReset ||
                               end.outcome == Outcome::kCancelled;
    if (may_still_run && q.cls->in_order && q.req.key != 0) {
      TimeUs& rest = turns_[q.req.key].rest_until;
      rest = std::max(rest, now_ + s_.turn_gap_us);
    }
    if (end.outcome == Outcome::kOk) learn_answer(q, e, end);
    learn_health(e, end.outcome);
    q.avoid = end.outcome == Outcome::kOk ? 0 : end.engine;
    if (end.request_over || q.finished || end.outcome == Outcome::kOk) {
      q.finished = true;
      forget(q);
    } else if (q.streaming || end.outcome == Outcome::kMoot ||
               (end.outcome == Outcome::kCancelled && !cancelled)) {
      conclude(q);
    } else {
      retry_or_conclude(q);
    }
    pump(e);
    draw_in(e);
    serve_waiting();
  }

  void on_progress(const ProgressNote& note) {
    const auto it = queries_.find(note.id);
    if (it == queries_.end() || !it->second.out || note.attempt != it->second.attempts - 1) return;
    Query& q = it->second;
    q.engine->life_at = now_;
    if (note.kind == NoteKind::kProgress) {
      const double share = std::clamp(note.value, 0.002, 1.0);
      q.foretold_us = static_cast<TimeUs>((now_ - q.sent_at) / share);
    }
  }

  void on_client_left(RequestId id) {
    const auto it = queries_.find(id);
    if (it == queries_.end()) return;
    Query& q = it->second;
    unqueue(q);
    if (q.out && !q.finished && s_.may_cancel && !q.streaming) act_->cancel(id, q.attempts - 1);
    q.finished = true;
    if (!q.out) forget(q);
  }

  void on_timer(uint32_t token) {
    if (token == kSubscribeToken) act_->subscribe(true);
    if (token != kHousekeepingToken) return;
    act_->set_timer(kHousekeepingUs, kHousekeepingToken);
    for (auto& [id, e] : engines_) {
      const double rate = 1 - std::exp(-1.0 * (now_ - e.averaged_at) / kOthersTauUs);
      e.own_avg += rate * (e.running.size() - e.own_avg);
      e.averaged_at = now_;
    }
    refresh_fleet_means();
    end_hopeless();
    check_overdue();
    check_silence();
    for (auto& [id, e] : engines_) pump(e);
    for (auto& [id, e] : engines_) draw_in(e);
    serve_waiting();
  }

  // Gives the final answer to whatever can't earn anything any more, and in time to whatever is due.
  void end_hopeless() {
    std::vector<Query*> hopeless;
    for (auto& [id, q] : queries_) {
      if (q.finished || q.streaming) continue;
      const bool due = now_ + 2 * s_.tick_us + kHousekeepingUs >= q.req.due_us;
      if (due || (!q.out && now_ >= last_use(q))) {
        hopeless.push_back(&q);
      } else if (!q.out && q.engine) {
        const double run = run_us(q, *q.engine);
        if (now_ + kReach * run > last_use(q)) hopeless.push_back(&q);
      }
    }
    for (Query* q : hopeless) conclude(*q);
  }

  void serve_waiting() {
    std::vector<Query*> again;
    again.swap(waiting_);
    for (Query* q : again) place(*q);
  }

 private:
  Settings s_;
  uint64_t random_;
  std::vector<ClassStats> stats_;
  std::map<EngineId, Engine> engines_;
  std::map<RequestId, Query> queries_;
  std::map<uint64_t, Turns> turns_;
  std::vector<Query*> waiting_;
  std::deque<TimeUs> taken_at_, extra_at_;
  double pace_ = kFirstPace;    // time over work divided by threads, all classes
  double held_threads_ = 1.5;   // of a query that an engine holds
  double held_work_ = 500'000;  // work left of one, microseconds
  double unheard_others_ = 0;
  TimeUs started_at_ = 0;
  bool engines_known_ = false;
  TimeUs now_ = 0;
  Actions* act_ = nullptr;
};

Gateway::Gateway(Settings settings, uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;

using Entries = std::vector<EngineEntry>;

void Gateway::on_start(TimeUs now, Actions& a) { impl_->at(now, a).on_start(); }
void Gateway::on_list(TimeUs now, ListForm form, const Entries& entries, Actions& a) {
  impl_->at(now, a).on_list(form, entries);
}
void Gateway::on_request(TimeUs now, const QueryRequest& r, Actions& a) { impl_->at(now, a).on_request(r); }
void Gateway::on_stream_started(TimeUs now, RequestId id, int attempt, Actions& a) {
  impl_->at(now, a).on_stream_started(id, attempt);
}
void Gateway::on_attempt_end(TimeUs now, const AttemptEnd& e, Actions& a) {
  impl_->at(now, a).on_attempt_end(e);
}
void Gateway::on_progress(TimeUs now, const ProgressNote& n, Actions& a) { impl_->at(now, a).on_progress(n); }
void Gateway::on_client_left(TimeUs now, RequestId id, Actions& a) { impl_->at(now, a).on_client_left(id); }
void Gateway::on_timer(TimeUs now, uint32_t token, Actions& a) { impl_->at(now, a).on_timer(token); }
// Probes and peer messages are never asked for: reports come with answers, and both cost a fee.
void Gateway::on_probe_end(TimeUs, EngineId, Outcome, TimeUs, const std::optional<LoadReport>&, Actions&) {}
void Gateway::on_peer_message(TimeUs, int, std::string_view, Actions&) {}

}  // namespace sablelink
