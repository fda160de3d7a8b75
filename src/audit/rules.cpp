#include "audit/rules.h"

#include <algorithm>
#include <cstdio>

namespace sablelink::audit {
namespace {

std::string gateway_of(const std::string& request) { return request.substr(0, request.find('/')); }
std::string incarnation_of(const std::string& request) { return request.substr(0, request.rfind('/')); }

bool allows(const std::vector<int>& only, int value) {
  return only.empty() || std::find(only.begin(), only.end(), value) != only.end();
}

bool may_run_on(const ClassSettings& c, const NodeInfo& node) {
  return allows(c.allowed_zones, node.zone) && allows(c.allowed_engine_types, node.kind);
}

std::string format_seconds(TimeUs us) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f s", us / 1e6);
  return text;
}

}  // namespace

struct Rules::Client {
  ClientRecord record;
  bool ended = false;
  std::vector<Request*> requests;  // the gateways' requests with its tag
};

struct Rules::Attempt {
  std::string request, node, gateway;
  int number = 0;
  TimeUs started_at = 0, ended_at = INT64_MAX;
  double work_us = 0;
  bool ended = false, executed = false;
  AttemptEnd end = AttemptEnd::kMayStillRun;
  std::shared_ptr<Client> client;  // null if its tag is unknown
  const NodeInfo* node_info = nullptr;
};

struct Rules::Request {
  std::vector<std::unique_ptr<Attempt>> attempts;  // in order of their start
  int max_attempt_number = -1;                     // -1: no attempt yet
};

Rules::Rules(AuditSettings settings) : settings_(std::move(settings)) {
  for (const NodeInfo& n : settings_.nodes) node_info_[n.name] = &n;
}

Rules::~Rules() = default;

const ClassSettings& Rules::class_of(const Client& c) const { return settings_.classes[c.record.cls]; }

Rules::Attempt* Rules::find(const std::string& request, int attempt) {
  const auto it = requests_.find(request);
  if (it == requests_.end()) return nullptr;
  // The latest attempt with the number; equal numbers are reported by attempt_started().
  for (auto a = it->second->attempts.rbegin(); a != it->second->attempts.rend(); ++a)
    if ((*a)->number == attempt) return a->get();
  return nullptr;
}

void Rules::request_started(const ClientRecord& client) {
  auto c = std::make_shared<Client>();
  c->record = client;
  clients_[client.tag] = std::move(c);
  request_times_[client.gateway].push_back(client.started_at);
}

std::vector<Rules::Attempt*>* Rules::attempts_with_key(const Attempt& a) {
  if (!a.client || !class_of(*a.client).ordered_by_key || a.client->record.key.empty()) return nullptr;
  return &attempts_by_key_[{incarnation_of(a.request), a.client->record.key}];
}

bool Rules::was_down_between(const std::string& gateway, TimeUs from, TimeUs to) const {
  const auto it = downtimes_.find(gateway);
  if (it == downtimes_.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(), [&](const auto& span) {
    return span.first <= to && (span.second == 0 || span.second >= from);
  });
}

TimeUs Rules::clock_advance_between(const std::string& gateway, TimeUs from, TimeUs to) const {
  TimeUs by = 0;
  const auto it = clock_jumps_.find(gateway);
  if (it == clock_jumps_.end()) return 0;
  for (const auto& [at, jump] : it->second)
    if (at >= from && at <= to) by += jump;
  return by;
}

// Rule 1: one final response per request, by its deadline.
void Rules::request_ended(const ClientRecord& client) {
  const auto it = clients_.find(client.tag);
  if (it == clients_.end()) return;
  Client& state = *it->second;
  state.record = client;
  state.ended = true;
  const ClientRecord& c = state.record;
  count_check(1, true);
  if (c.responses > 1) add_finding(1, c.tag + " got " + std::to_string(c.responses) + " responses");
  if (!c.response_error.empty())
    add_finding(1, c.tag + " got a wrong answer from " + c.gateway + ": " + c.response_error);
  if (c.end == ClientRecord::End::kNoResponse && !was_down_between(c.gateway, c.started_at, c.deadline))
    add_finding(
        1, c.tag + " got no response from " + c.gateway + " in " + format_seconds(c.deadline - c.started_at));
  const TimeUs latest_end = c.deadline + settings_.rules.response_slack_us + settings_.slack_us;
  if (c.responses > 0 && !c.may_end_late && c.ended_at > latest_end)
    add_finding(
        1, c.tag + " got its response " + format_seconds(c.ended_at - c.deadline) + " after its deadline");
  if (c.end == ClientRecord::End::kRejected)
    for (const Request* request : state.requests) check_rejection(*request);
}

void Rules::node_started(TimeUs at, const std::string& node, bool slow_start) {
  // The attempts of its previous incarnation have ended.
  node_killed(at, node);
  for (auto it = unavailable_since_.begin(); it != unavailable_since_.end();)
    it = it->first.second == node ? unavailable_since_.erase(it) : ++it;
  warming_nodes_.erase(node);
  if (slow_start) warming_nodes_[node].start = at;
}

void Rules::node_killed(TimeUs at, const std::string& node) {
  for (const auto& [name, request] : requests_)
    for (const auto& a : request->attempts)
      if (a->node == node && !a->ended) attempt_ended(at, a->request, a->number, AttemptEnd::kMayStillRun);
}

void Rules::node_start_reported(const std::string& gateway, const std::string& node) {
  if (const auto it = warming_nodes_.find(node); it != warming_nodes_.end())
    it->second.notified_gateways.insert(gateway);
}

void Rules::node_collapsed(TimeUs, const std::string& node) {
  if (const auto it = warming_nodes_.find(node);
      it != warming_nodes_.end() && !it->second.gateways_responsible())
    return;
  add_finding(4, node + " collapsed under load during slow start");
}

void Rules::gateway_killed(TimeUs at, const std::string& gateway) { downtimes_[gateway].emplace_back(at, 0); }

void Rules::gateway_started(TimeUs at, const std::string& gateway) {
  auto& downtimes = downtimes_[gateway];
  if (!downtimes.empty() && downtimes.back().second == 0) downtimes.back().second = at;
}

void Rules::node_reported_unavailable(TimeUs at, const std::string& gateway, const std::string& node) {
  unavailable_since_.emplace(std::make_pair(gateway, node), at);  // the first notification counts
}

void Rules::attempt_started(TimeUs at, const std::string& request, int attempt, const std::string& node,
                            const std::string& tag, double work_us) {
  ++attempts_;
  if (attempt > 0) ++retry_count_;
  std::unique_ptr<Request>& r = requests_[request];
  if (!r) r = std::make_unique<Request>();
  for (const auto& other : r->attempts)
    if (other->number == attempt)
      add_finding(2, "attempt " + std::to_string(attempt) + " of " + request + " was sent twice");
  auto created = std::make_unique<Attempt>();
  Attempt& a = *created;
  a.request = request;
  a.node = node;
  a.gateway = gateway_of(request);
  a.number = attempt;
  a.started_at = at;
  a.work_us = work_us;
  const auto client = clients_.find(tag);
  if (client != clients_.end()) {
    a.client = client->second;
    if (r->attempts.empty()) a.client->requests.push_back(r.get());
  }
  const auto node_info = node_info_.find(node);
  if (node_info != node_info_.end()) a.node_info = node_info->second;
  r->attempts.push_back(std::move(created));

  if (a.client) {
    const ClientRecord& c = a.client->record;
    count_check(1, false);
    if (a.client->ended && at > c.ended_at + settings_.slack_us)
      add_finding(
          1, request + " was sent to " + node + " " + format_seconds(at - c.ended_at) + " after its end");
  }
  for (const auto& before : r->attempts) {
    if (before.get() == &a) continue;
    count_check(2, true);
    if (settings_.slack_us == 0 && !before->ended) check_overlap(*r, *before);
    if (before->executed) check_retry(*before, a);
  }
  check_drain(a);
  check_slow_start(a);
  check_placement(a);
  const int unseen = attempt - std::max(r->max_attempt_number, 0) - 1;
  const TimeUs unseen_from = r->max_attempt_number >= 0 ? r->attempts[r->attempts.size() - 2]->started_at
                             : a.client                 ? a.client->record.started_at
                                                        : at;
  if (attempt > std::max(r->max_attempt_number, 0)) check_budget(a, unseen, unseen_from);
  r->max_attempt_number = std::max(r->max_attempt_number, attempt);
  if (std::vector<Attempt*>* const same_key = attempts_with_key(a)) {
    check_ordering(*same_key, a);
    same_key->push_back(&a);
  }
}

// Rule 2, first part: attempts of a request don't overlap. `a` has ended or is still in flight; checks it
// against later attempts.
void Rules::check_overlap(const Request& request, const Attempt& a) {
  if (settings_.rules.hedging_allowed) return;
  bool later = false;
  for (const auto& b : request.attempts) {
    if (b.get() == &a) {
      later = true;
      continue;
    }
    if (later && a.ended_at > b->started_at + settings_.slack_us)
      add_finding(2, a.request + " had attempt " + std::to_string(b->number) + " in flight at " + b->node +
                         " while attempt " + std::to_string(a.number) + " was in flight at " + a.node);
  }
}

bool Rules::same_dedup_scope(const ClassSettings& c, const Attempt& a, const Attempt& b) const {
  if (c.dedup_scope == DedupScope::kAll) return true;
  if (a.node_info == nullptr || b.node_info == nullptr) return false;
  return c.dedup_scope == DedupScope::kZone ? a.node_info->zone == b.node_info->zone
                                            : a.node_info->cell == b.node_info->cell;
}

// Rule 2, second part: a request that was executed is retried only if its class permits it.
void Rules::check_retry(const Attempt& before, const Attempt& a) {
  if (!a.client) return;
  const ClassSettings& c = class_of(*a.client);
  if (c.idempotency == Idempotency::kNotIdempotent)
    add_finding(2, a.request + ", not idempotent, was sent to " + a.node + " after it was executed at " +
                       before.node);
  if (c.idempotency == Idempotency::kIdempotentWithKey &&
      (!same_dedup_scope(c, before, a) ||
       a.started_at > before.started_at + c.dedup_window_us + settings_.slack_us))
    add_finding(2, a.request + ", keyed, was sent to " + a.node +
                       " outside the deduplication scope or window of " + before.node);
}

// Rule 2, third part: a rejection guarantees that the client may retry.
void Rules::check_rejection(const Request& request) {
  const Attempt& first = *request.attempts.front();
  if (!first.client) return;
  const ClassSettings& c = class_of(*first.client);
  const bool safe_to_retry =
      c.idempotency != Idempotency::kNotIdempotent &&
      !(c.idempotency == Idempotency::kIdempotentWithKey && c.dedup_scope != DedupScope::kAll);
  count_check(2, !safe_to_retry);
  if (!safe_to_retry && std::any_of(request.attempts.begin(), request.attempts.end(),
                                    [](const auto& a) { return a->executed; }))
    add_finding(2, first.request + " was rejected although it was executed");
}

void Rules::attempt_ended(TimeUs at, const std::string& name, int number, AttemptEnd end) {
  Attempt* a = find(name, number);
  if (a == nullptr || a->ended) return;
  a->ended = true;
  a->ended_at = at;
  a->end = end;
  if (settings_.slack_us > 0) check_overlap(*requests_[name], *a);
  // Rule 5: a later attempt with the same key was sent before this one ended.
  const std::vector<Attempt*>* const same_key = attempts_with_key(*a);
  if (same_key == nullptr) return;
  const std::string& key = a->client->record.key;
  for (const Attempt* b : *same_key)
    if (b->request != name && b->started_at > a->started_at && b->started_at + settings_.slack_us < at)
      add_finding(5, std::string(b->request)
                         .append(" of key ")
                         .append(key)
                         .append(" was sent while ")
                         .append(name)
                         .append(" was in flight"));
}

void Rules::attempt_executed(const std::string& name, int number) {
  Attempt* a = find(name, number);
  if (a == nullptr || a->executed) return;
  a->executed = true;
  Request& request = *requests_[name];
  bool later = false;
  for (const auto& b : request.attempts) {
    if (later) check_retry(*a, *b);
    if (b.get() == a) later = true;
  }
  if (a->client && a->client->ended && a->client->record.end == ClientRecord::End::kRejected)
    check_rejection(request);
}

void Rules::close() {
  for (const auto& [name, request] : requests_)
    for (const auto& a : request->attempts) {
      if (a->ended) continue;
      if (settings_.slack_us > 0) check_overlap(*request, *a);
      attempt_executed(name, a->number);
    }
}

// Rule 3: after a grace period, a gateway sends no attempts to a node that it knows to be draining or
// removed.
void Rules::check_drain(const Attempt& a) {
  const auto is_candidate = [&](const std::string& node) {
    const auto node_info = node_info_.find(node);
    return node_info != node_info_.end() && a.client && may_run_on(class_of(*a.client), *node_info->second);
  };
  bool at_stake = false;
  for (auto t = unavailable_since_.lower_bound({a.gateway, ""});
       t != unavailable_since_.end() && t->first.first == a.gateway; ++t)
    at_stake = at_stake ||
               (a.started_at > t->second + settings_.rules.drain_grace_us && is_candidate(t->first.second));
  count_check(3, at_stake);
  const auto it = unavailable_since_.find({a.gateway, a.node});
  if (it == unavailable_since_.end()) return;
  if (a.started_at > it->second + settings_.rules.drain_grace_us + settings_.slack_us)
    add_finding(3, a.request + " was sent to " + a.node + " " + format_seconds(a.started_at - it->second) +
                       " after " + a.gateway + " was notified that the node is draining or removed");
}

// Rule 4: a node that is warming up isn't overloaded. Computed from the attempts sent, not from the node's
// reports.
void Rules::check_slow_start(const Attempt& a) {
  if (settings_.rules.collapse_window_us <= 0 || a.node_info == nullptr ||
      a.node_info->slow_start_duration_us <= 0)
    return;
  const auto it = warming_nodes_.find(a.node);
  if (it == warming_nodes_.end() || a.started_at >= it->second.start + a.node_info->slow_start_duration_us)
    return;
  WarmingNode& warming = it->second;
  const bool notified = !settings_.node_starts_are_reported || warming.notified_gateways.contains(a.gateway);
  warming.window.push_back({a.started_at, a.work_us, notified});
  warming.work_us += a.work_us;
  warming.notified_work_us += notified ? a.work_us : 0;
  while (a.started_at - warming.window.front().at > settings_.rules.collapse_window_us) {
    const WarmingNode::Load& expired = warming.window.front();
    warming.work_us -= expired.work_us;
    warming.notified_work_us -= expired.notified ? expired.work_us : 0;
    warming.window.pop_front();
  }
  const double capacity_fraction =
      a.node_info->slow_start_min_capacity_fraction + (1 - a.node_info->slow_start_min_capacity_fraction) *
                                                          static_cast<double>(a.started_at - warming.start) /
                                                          a.node_info->slow_start_duration_us;
  const double work_limit_us = settings_.rules.collapse_load_multiple * capacity_fraction *
                               a.node_info->cores * settings_.rules.collapse_window_us;
  count_check(4, warming.work_us > work_limit_us / 3);
  if (warming.work_us > work_limit_us && warming.gateways_responsible() && !warming.reported) {
    warming.reported = true;
    add_finding(4, a.node + " was sent " + format_seconds(static_cast<TimeUs>(warming.work_us)) +
                       " of work within " + format_seconds(settings_.rules.collapse_window_us) +
                       " during slow start; the limit is " +
                       format_seconds(static_cast<TimeUs>(work_limit_us)));
  }
}

// Rule 5: a gateway sends requests with the same key one after the other, in order of arrival, and with a
// delay after an attempt that may still run.
void Rules::check_ordering(const std::vector<Attempt*>& same_key, const Attempt& b) {
  const std::string& key = b.client->record.key;
  for (const Attempt* a : same_key) {
    if (a->request == b.request || a->started_at >= b.started_at) continue;
    count_check(5, !a->ended || b.started_at < a->ended_at + settings_.rules.ordering_gap_us);
    if (settings_.slack_us == 0 && !a->ended)
      add_finding(5, b.request + " of key " + key + " was sent while " + a->request + " was in flight");
    if (a->ended && a->end == AttemptEnd::kMayStillRun && b.started_at >= a->ended_at &&
        b.started_at + settings_.slack_us + clock_advance_between(b.gateway, a->ended_at, b.started_at) <
            a->ended_at + settings_.rules.ordering_gap_us)
      add_finding(5, b.request + " of key " + key + " was sent " +
                         format_seconds(b.started_at - a->ended_at) + " after " + a->request +
                         ", which might still be running");
    const ClientRecord& first = b.client->record;
    const ClientRecord& second = a->client->record;
    if (first.started_at + settings_.slack_us < second.started_at &&
        (!b.client->ended || first.ended_at > a->started_at + settings_.slack_us))
      add_finding(5,
                  a->request + " of key " + key + " was sent before " + b.request + ", which arrived first");
  }
}

// Rule 6: attempts are sent only to nodes that their class permits.
void Rules::check_placement(const Attempt& a) {
  if (!a.client || a.node_info == nullptr) return;
  const ClassSettings& c = class_of(*a.client);
  if (c.allowed_zones.empty() && c.allowed_engine_types.empty()) return;
  count_check(6, true);
  if (!may_run_on(c, *a.node_info))
    add_finding(6, a.request + " of class " + settings_.class_names[a.client->record.cls] + " was sent to " +
                       a.node + ", which its class does not permit");
}

// Rule 7: the retries of a gateway in any time window stay within its budget. `unseen` is the number of
// attempts of the request that were skipped by the attempt numbers because they were never sent. They were
// made at unseen_from or later; only attempts certainly within the window are counted.
void Rules::check_budget(const Attempt& a, int unseen, TimeUs unseen_from) {
  if (!settings_.rules.retry_budget_enabled) return;
  const std::string incarnation = incarnation_of(a.request);
  std::deque<std::pair<TimeUs, int>>& list = retries_[incarnation];
  if (unseen > 0)
    list.emplace(std::upper_bound(list.begin(), list.end(), std::make_pair(unseen_from, 0)), unseen_from,
                 unseen);
  list.emplace_back(a.started_at, 1);
  // The window is measured by the gateway's clock: if that jumped forward, the window starts later.
  TimeUs from = a.started_at - settings_.rules.retry_budget_window_us;
  if (const auto jumps = clock_jumps_.find(a.gateway); jumps != clock_jumps_.end())
    for (auto it = jumps->second.rbegin(); it != jumps->second.rend(); ++it)
      if (it->first >= from && it->first <= a.started_at) from = std::min(from + it->second, it->first);
  while (list.front().first <= from) list.pop_front();
  int retries_made = 0;
  for (const auto& [at, n] : list)
    if (at > from + settings_.slack_us) retries_made += n;
  const std::deque<TimeUs>& request_times = request_times_[a.gateway];
  const auto count = std::count_if(request_times.begin(), request_times.end(), [&](TimeUs at) {
    return at > from - settings_.slack_us && at <= a.started_at;
  });
  const double allowed = settings_.rules.retry_budget_base +
                         settings_.rules.retry_budget_per_request * static_cast<double>(count);
  count_check(7, retries_made > allowed / 2);
  if (retries_made > allowed) {
    char text[240];
    std::snprintf(text, sizeof(text), "%s made %d retries within %s with %lld requests: %.1f allowed",
                  incarnation.c_str(), retries_made,
                  format_seconds(settings_.rules.retry_budget_window_us).c_str(),
                  static_cast<long long>(count), allowed);
    add_finding(7, text);
  }
}

}  // namespace sablelink::audit
