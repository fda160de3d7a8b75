#include "audit/rules.h"

#include <algorithm>
#include <cstdio>

namespace sablelink::audit {
namespace {

std::string gateway_of(const std::string& request) { return request.substr(0, request.find('/')); }
std::string life_of(const std::string& request) { return request.substr(0, request.rfind('/')); }

bool allows(const std::vector<int>& only, int value) {
  return only.empty() || std::find(only.begin(), only.end(), value) != only.end();
}

bool may_run_at(const ClassSettings& c, const NodeFacts& node) {
  return allows(c.allowed_zones, node.zone) && allows(c.allowed_engine_types, node.kind);
}

std::string seconds(TimeUs us) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f s", us / 1e6);
  return text;
}

}  // namespace

struct Rules::Client {
  ClientRecord record;
  bool over = false;
  std::vector<Request*> requests;  // that bear its tag
};

struct Rules::Attempt {
  std::string request, node, gateway;
  int number = 0;
  TimeUs from = 0, to = INT64_MAX;
  double work_us = 0;
  bool over = false, ran = false;
  AttemptOver how = AttemptOver::kMayRunOn;
  std::shared_ptr<Client> client;  // none where its tag isn't known
  const NodeFacts* facts = nullptr;
};

struct Rules::Request {
  std::vector<std::unique_ptr<Attempt>> attempts;  // in the order in which they began
  int most = -1;                                   // the highest number seen
};

Rules::Rules(AuditSettings settings) : s_(std::move(settings)) {
  for (const NodeFacts& n : s_.nodes) facts_[n.name] = &n;
}

Rules::~Rules() = default;

const ClassSettings& Rules::class_of(const Client& c) const { return s_.classes[c.record.cls]; }

Rules::Attempt* Rules::find(const std::string& request, int attempt) {
  const auto it = requests_.find(request);
  if (it == requests_.end()) return nullptr;
  // The last of the number: one that was sent twice is a finding of its own.
  for (auto a = it->second->attempts.rbegin(); a != it->second->attempts.rend(); ++a)
    if ((*a)->number == attempt) return a->get();
  return nullptr;
}

void Rules::asked(const ClientRecord& client) {
  auto c = std::make_shared<Client>();
  c->record = client;
  clients_[client.tag] = std::move(c);
  taken_[client.gateway].push_back(client.asked_at);
}

std::vector<Rules::Attempt*>* Rules::line_of(const Attempt& a) {
  if (!a.client || !class_of(*a.client).ordered_by_key || a.client->record.key.empty()) return nullptr;
  return &lines_[{life_of(a.request), a.client->record.key}];
}

bool Rules::killed_within(const std::string& gateway, TimeUs from, TimeUs to) const {
  const auto it = down_.find(gateway);
  if (it == down_.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(), [&](const auto& span) {
    return span.first <= to && (span.second == 0 || span.second >= from);
  });
}

TimeUs Rules::jumped_within(const std::string& gateway, TimeUs from, TimeUs to) const {
  TimeUs by = 0;
  const auto it = jumps_.find(gateway);
  if (it == jumps_.end()) return 0;
  for (const auto& [at, jump] : it->second)
    if (at >= from && at <= to) by += jump;
  return by;
}

// Rule 1: one final answer for each try, in time.
void Rules::ended(const ClientRecord& client) {
  const auto it = clients_.find(client.tag);
  if (it == clients_.end()) return;
  Client& known = *it->second;
  known.record = client;
  known.over = true;
  const ClientRecord& c = known.record;
  look(1, true);
  if (c.answers > 1) found(1, c.tag + " was answered " + std::to_string(c.answers) + " times");
  if (!c.fault.empty()) found(1, c.tag + " got a wrong answer from " + c.gateway + ": " + c.fault);
  if (c.end == ClientRecord::End::kNoAnswer && !killed_within(c.gateway, c.asked_at, c.due_at))
    found(1, c.tag + " got no answer from " + c.gateway + " in " + seconds(c.due_at - c.asked_at));
  const TimeUs latest = c.due_at + s_.rules.response_slack_us + s_.slack_us;
  if (c.answers > 0 && !c.late_ok && c.ended_at > latest)
    found(1, c.tag + " was answered " + seconds(c.ended_at - c.due_at) + " after its time was up");
  if (c.end == ClientRecord::End::kRefused)
    for (const Request* request : known.requests) check_refusal(*request);
}

void Rules::node_started(TimeUs at, const std::string& node, bool cold_start) {
  // What its former life had open went down with it.
  node_killed(at, node);
  for (auto it = told_.begin(); it != told_.end();) it = it->first.second == node ? told_.erase(it) : ++it;
  cold_.erase(node);
  if (cold_start) cold_[node].start = at;
}

void Rules::node_killed(TimeUs at, const std::string& node) {
  for (const auto& [name, request] : requests_)
    for (const auto& a : request->attempts)
      if (a->node == node && !a->over) attempt_over(at, a->request, a->number, AttemptOver::kMayRunOn);
}

void Rules::told_start(const std::string& gateway, const std::string& node) {
  if (const auto it = cold_.find(node); it != cold_.end()) it->second.told.insert(gateway);
}

void Rules::node_fell(TimeUs, const std::string& node) {
  if (const auto it = cold_.find(node); it != cold_.end() && !it->second.to_blame()) return;
  found(4, node + " fell over, pushed while it was cold");
}

void Rules::gateway_killed(TimeUs at, const std::string& gateway) { down_[gateway].emplace_back(at, 0); }

void Rules::gateway_started(TimeUs at, const std::string& gateway) {
  auto& spans = down_[gateway];
  if (!spans.empty() && spans.back().second == 0) spans.back().second = at;
}

void Rules::told(TimeUs at, const std::string& gateway, const std::string& node) {
  told_.emplace(std::make_pair(gateway, node), at);  // what was told first counts
}

void Rules::attempt_began(TimeUs at, const std::string& request, int attempt, const std::string& node,
                          const std::string& tag, double work_us) {
  ++attempts_;
  if (attempt > 0) ++further_;
  std::unique_ptr<Request>& r = requests_[request];
  if (!r) r = std::make_unique<Request>();
  for (const auto& other : r->attempts)
    if (other->number == attempt)
      found(2, "attempt " + std::to_string(attempt) + " of " + request + " was sent twice");
  auto made = std::make_unique<Attempt>();
  Attempt& a = *made;
  a.request = request;
  a.node = node;
  a.gateway = gateway_of(request);
  a.number = attempt;
  a.from = at;
  a.work_us = work_us;
  const auto client = clients_.find(tag);
  if (client != clients_.end()) {
    a.client = client->second;
    if (r->attempts.empty()) a.client->requests.push_back(r.get());
  }
  const auto facts = facts_.find(node);
  if (facts != facts_.end()) a.facts = facts->second;
  r->attempts.push_back(std::move(made));

  if (a.client) {
    const ClientRecord& c = a.client->record;
    look(1, false);
    if (a.client->over && at > c.ended_at + s_.slack_us)
      found(1, request + " was sent to " + node + " " + seconds(at - c.ended_at) + " after its end");
  }
  for (const auto& before : r->attempts) {
    if (before.get() == &a) continue;
    look(2, true);
    if (s_.slack_us == 0 && !before->over) check_overlap(*r, *before);
    if (before->ran) check_repeat(*before, a);
  }
  check_drain(a);
  check_cold(a);
  check_placement(a);
  const int unseen = attempt - std::max(r->most, 0) - 1;
  const TimeUs unseen_from = r->most >= 0 ? r->attempts[r->attempts.size() - 2]->from
                             : a.client   ? a.client->record.asked_at
                                          : at;
  if (attempt > std::max(r->most, 0)) check_budget(a, unseen, unseen_from);
  r->most = std::max(r->most, attempt);
  if (std::vector<Attempt*>* const line = line_of(a)) {
    check_turn(*line, a);
    line->push_back(&a);
  }
}

// Rule 2, the first part: whether a, which is over or certainly out, is out together with a later one.
void Rules::check_overlap(const Request& request, const Attempt& a) {
  if (s_.rules.hedging_allowed) return;
  bool later = false;
  for (const auto& b : request.attempts) {
    if (b.get() == &a) {
      later = true;
      continue;
    }
    if (later && a.to > b->from + s_.slack_us)
      found(2, a.request + " had attempt " + std::to_string(b->number) + " out at " + b->node +
                   " while attempt " + std::to_string(a.number) + " was out at " + a.node);
  }
}

bool Rules::same_group(const ClassSettings& c, const Attempt& a, const Attempt& b) const {
  if (c.dedup_scope == DedupScope::kAll) return true;
  if (a.facts == nullptr || b.facts == nullptr) return false;
  return c.dedup_scope == DedupScope::kZone ? a.facts->zone == b.facts->zone : a.facts->cell == b.facts->cell;
}

// Rule 2, the second part: what has run is repeated only where its class allows.
void Rules::check_repeat(const Attempt& before, const Attempt& a) {
  if (!a.client) return;
  const ClassSettings& c = class_of(*a.client);
  if (c.idempotency == Idempotency::kNotIdempotent)
    found(2, a.request + ", unsafe, was sent to " + a.node + " after it had run at " + before.node);
  if (c.idempotency == Idempotency::kIdempotentWithKey &&
      (!same_group(c, before, a) || a.from > before.from + c.dedup_window_us + s_.slack_us))
    found(2, a.request + ", keyed, was sent to " + a.node + " outside the group or time of " + before.node);
}

// Rule 2, the third part: a refusal promises that trying again is harmless.
void Rules::check_refusal(const Request& request) {
  const Attempt& first = *request.attempts.front();
  if (!first.client) return;
  const ClassSettings& c = class_of(*first.client);
  const bool harmless =
      c.idempotency != Idempotency::kNotIdempotent &&
      !(c.idempotency == Idempotency::kIdempotentWithKey && c.dedup_scope != DedupScope::kAll);
  look(2, !harmless);
  if (!harmless &&
      std::any_of(request.attempts.begin(), request.attempts.end(), [](const auto& a) { return a->ran; }))
    found(2, first.request + " was refused though it had run");
}

void Rules::attempt_over(TimeUs at, const std::string& name, int number, AttemptOver how) {
  Attempt* a = find(name, number);
  if (a == nullptr || a->over) return;
  a->over = true;
  a->to = at;
  a->how = how;
  if (s_.slack_us > 0) check_overlap(*requests_[name], *a);
  // Rule 5: the next of the key's line was sent while this one was out.
  const std::vector<Attempt*>* const line = line_of(*a);
  if (line == nullptr) return;
  const std::string& key = a->client->record.key;
  for (const Attempt* b : *line)
    if (b->request != name && b->from > a->from && b->from + s_.slack_us < at)
      found(5, std::string(b->request)
                   .append(" of key ")
                   .append(key)
                   .append(" was sent while ")
                   .append(name)
                   .append(" was out"));
}

void Rules::attempt_ran(const std::string& name, int number) {
  Attempt* a = find(name, number);
  if (a == nullptr || a->ran) return;
  a->ran = true;
  Request& request = *requests_[name];
  bool later = false;
  for (const auto& b : request.attempts) {
    if (later) check_repeat(*a, *b);
    if (b.get() == a) later = true;
  }
  if (a->client && a->client->over && a->client->record.end == ClientRecord::End::kRefused)
    check_refusal(request);
}

void Rules::close() {
  for (const auto& [name, request] : requests_)
    for (const auto& a : request->attempts) {
      if (a->over) continue;
      if (s_.slack_us > 0) check_overlap(*request, *a);
      attempt_ran(name, a->number);
    }
}

// Rule 3: nothing new to a node that a gateway was told drains or is gone.
void Rules::check_drain(const Attempt& a) {
  const auto could_go = [&](const std::string& node) {
    const auto facts = facts_.find(node);
    return facts != facts_.end() && a.client && may_run_at(class_of(*a.client), *facts->second);
  };
  bool at_stake = false;
  for (auto t = told_.lower_bound({a.gateway, ""}); t != told_.end() && t->first.first == a.gateway; ++t)
    at_stake = at_stake || (a.from > t->second + s_.rules.drain_grace_us && could_go(t->first.second));
  look(3, at_stake);
  const auto it = told_.find({a.gateway, a.node});
  if (it == told_.end()) return;
  if (a.from > it->second + s_.rules.drain_grace_us + s_.slack_us)
    found(3, a.request + " was sent to " + a.node + " " + seconds(a.from - it->second) + " after " +
                 a.gateway + " was told that it drains");
}

// Rule 4, computed from what was sent, whatever the node itself says.
void Rules::check_cold(const Attempt& a) {
  if (s_.rules.collapse_window_us <= 0 || a.facts == nullptr || a.facts->warm_after_us <= 0) return;
  const auto it = cold_.find(a.node);
  if (it == cold_.end() || a.from >= it->second.start + a.facts->warm_after_us) return;
  Cold& cold = it->second;
  const bool known = !s_.starts_are_told || cold.told.contains(a.gateway);
  cold.window.push_back({a.from, a.work_us, known});
  cold.pushed += a.work_us;
  cold.known += known ? a.work_us : 0;
  while (a.from - cold.window.front().at > s_.rules.collapse_window_us) {
    const Cold::Push& gone = cold.window.front();
    cold.pushed -= gone.work_us;
    cold.known -= gone.known ? gone.work_us : 0;
    cold.window.pop_front();
  }
  const double warmth = a.facts->cold_from + (1 - a.facts->cold_from) *
                                                 static_cast<double>(a.from - cold.start) /
                                                 a.facts->warm_after_us;
  const double bears =
      s_.rules.collapse_load_multiple * warmth * a.facts->cores * s_.rules.collapse_window_us;
  look(4, cold.pushed > bears / 3);
  if (cold.pushed > bears && cold.to_blame() && !cold.fallen) {
    cold.fallen = true;
    found(4, a.node + " was sent " + seconds(static_cast<TimeUs>(cold.pushed)) + " of work within " +
                 seconds(s_.rules.collapse_window_us) + ", cold: it bears " +
                 seconds(static_cast<TimeUs>(bears)));
  }
}

// Rule 5: requests of one key at one gateway take turns, and rest after an attempt that may still run.
void Rules::check_turn(const std::vector<Attempt*>& line, const Attempt& b) {
  const std::string& key = b.client->record.key;
  for (const Attempt* a : line) {
    if (a->request == b.request || a->from >= b.from) continue;
    look(5, !a->over || b.from < a->to + s_.rules.ordering_gap_us);
    if (s_.slack_us == 0 && !a->over)
      found(5, b.request + " of key " + key + " was sent while " + a->request + " was out");
    if (a->over && a->how == AttemptOver::kMayRunOn && b.from >= a->to &&
        b.from + s_.slack_us + jumped_within(b.gateway, a->to, b.from) < a->to + s_.rules.ordering_gap_us)
      found(5, b.request + " of key " + key + " was sent " + seconds(b.from - a->to) + " after " +
                   a->request + ", which may still have run");
    const ClientRecord& first = b.client->record;
    const ClientRecord& second = a->client->record;
    if (first.asked_at + s_.slack_us < second.asked_at &&
        (!b.client->over || first.ended_at > a->from + s_.slack_us))
      found(5, a->request + " of key " + key + " was sent before " + b.request + ", which came first");
  }
}

// Rule 6: bound classes go only where they may.
void Rules::check_placement(const Attempt& a) {
  if (!a.client || a.facts == nullptr) return;
  const ClassSettings& c = class_of(*a.client);
  if (c.allowed_zones.empty() && c.allowed_engine_types.empty()) return;
  look(6, true);
  if (!may_run_at(c, *a.facts))
    found(6, a.request + " of class " + s_.class_names[a.client->record.cls] + " was sent to " + a.node +
                 ", where it may not run");
}

// Rule 7: further attempts of one gateway in any window. unseen: attempts of its request that never left, as
// the number of this one tells. They were made at some time from unseen_from on, and only what is surely in
// the window counts.
void Rules::check_budget(const Attempt& a, int unseen, TimeUs unseen_from) {
  if (!s_.rules.retry_budget_enabled) return;
  const std::string life = life_of(a.request);
  std::deque<std::pair<TimeUs, int>>& list = extra_[life];
  if (unseen > 0)
    list.emplace(std::upper_bound(list.begin(), list.end(), std::make_pair(unseen_from, 0)), unseen_from,
                 unseen);
  list.emplace_back(a.from, 1);
  // The window by the gateway's own clock: where that went forward, it reaches back less far.
  TimeUs from = a.from - s_.rules.retry_budget_window_us;
  if (const auto jumps = jumps_.find(a.gateway); jumps != jumps_.end())
    for (auto it = jumps->second.rbegin(); it != jumps->second.rend(); ++it)
      if (it->first >= from && it->first <= a.from) from = std::min(from + it->second, it->first);
  while (list.front().first <= from) list.pop_front();
  int made = 0;
  for (const auto& [at, n] : list)
    if (at > from + s_.slack_us) made += n;
  const std::deque<TimeUs>& taken = taken_[a.gateway];
  const auto count = std::count_if(taken.begin(), taken.end(),
                                   [&](TimeUs at) { return at > from - s_.slack_us && at <= a.from; });
  const double allowed =
      s_.rules.retry_budget_base + s_.rules.retry_budget_per_request * static_cast<double>(count);
  look(7, made > allowed / 2);
  if (made > allowed) {
    char text[240];
    std::snprintf(text, sizeof(text),
                  "%s made %d further attempts within %s with %lld requests taken: %.1f allowed",
                  life.c_str(), made, seconds(s_.rules.retry_budget_window_us).c_str(),
                  static_cast<long long>(count), allowed);
    found(7, text);
  }
}

}  // namespace sablelink::audit
