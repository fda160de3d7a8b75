#include "audit/auditor.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <set>

namespace sablelink::audit {
namespace {

using nodes::NodeEvent;
using End = NodeEvent::End;

// One attempt as its node saw it.
struct Attempt {
  std::string request, tag, node, gateway;
  int number = 0;
  TimeUs from = 0, to = 0;
  double work_us = 0;
  bool ended = false, ran = false;
  End end = End::kBroken;
  const ClientRecord* client = nullptr;
  const NodeFacts* facts = nullptr;
};

// Requests are named gateway/start/number.
std::string gateway_of(const std::string& request) { return request.substr(0, request.find('/')); }
std::string life_of(const std::string& request) { return request.substr(0, request.rfind('/')); }

bool allows(const std::vector<int>& only, int value) {
  return only.empty() || std::find(only.begin(), only.end(), value) != only.end();
}

std::string seconds(TimeUs us) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f s", us / 1e6);
  return text;
}

class Audit {
 public:
  Audit(const AuditSettings& settings, const Records& records) : s_(settings), in_(records) {
    for (const ClientRecord& c : in_.clients) by_tag_[c.tag] = &c;
    for (const NodeFacts& n : s_.nodes) facts_[n.name] = &n;
    read_attempts();
  }

  Report run() {
    answered();
    effects();
    drains();
    cold_nodes();
    order();
    placement();
    budget();
    account();
    std::stable_sort(out_.findings.begin(), out_.findings.end(),
                     [](const Finding& a, const Finding& b) { return a.rule < b.rule; });
    return std::move(out_);
  }

 private:
  void found(int rule, std::string what) { out_.findings.push_back({rule, std::move(what)}); }

  const ClassSettings& class_of(const Attempt& a) const { return s_.classes[a.client->cls]; }

  void read_attempts() {
    std::vector<NodeEvent> events = in_.nodes;
    std::stable_sort(events.begin(), events.end(),
                     [](const NodeEvent& a, const NodeEvent& b) { return a.at < b.at; });
    std::map<std::pair<std::string, int>, size_t> open;
    for (const NodeEvent& e : events) {
      if (e.kind == NodeEvent::Kind::kStarted) {
        starts_[e.node].push_back(e.at);
        // What the node's former life had open went down with it.
        for (Attempt& a : attempts_)
          if (a.node == e.node && !a.ended) a.to = std::min(a.to, e.at);
        continue;
      }
      const std::pair<std::string, int> key(e.request, e.attempt);
      if (e.kind == NodeEvent::Kind::kArrived) {
        if (open.contains(key))
          found(2, "attempt " + std::to_string(e.attempt) + " of " + e.request + " was sent twice");
        Attempt a;
        a.request = e.request;
        a.tag = e.tag;
        a.node = e.node;
        a.gateway = gateway_of(e.request);
        a.number = e.attempt;
        a.from = e.at;
        a.to = INT64_MAX;
        a.work_us = e.work_us;
        const auto client = by_tag_.find(e.tag);
        if (client != by_tag_.end()) a.client = client->second;
        const auto facts = facts_.find(e.node);
        if (facts != facts_.end()) a.facts = facts->second;
        open[key] = attempts_.size();
        attempts_.push_back(std::move(a));
      } else if (e.kind == NodeEvent::Kind::kEnded) {
        const auto it = open.find(key);
        if (it == open.end()) continue;
        Attempt& a = attempts_[it->second];
        a.ended = true;
        a.to = e.at;
        a.ran = e.ran;
        a.end = e.end;
      } else if (e.kind == NodeEvent::Kind::kFell) {
        found(4, e.node + " fell over, pushed while it was cold");
      }
    }
    // No end on record: the node died with it. It may have run.
    for (Attempt& a : attempts_) {
      for (const NodeKillRecord& k : in_.node_kills)
        if (!a.ended && k.node == a.node && k.at >= a.from) a.to = std::min(a.to, k.at);
      if (!a.ended) a.ran = true;
      by_request_[a.request].push_back(&a);
    }
    for (auto& [request, list] : by_request_)
      std::sort(list.begin(), list.end(),
                [](const Attempt* a, const Attempt* b) { return a->number < b->number; });
  }

  bool killed_within(const std::string& gateway, TimeUs from, TimeUs to) const {
    return std::any_of(in_.kills.begin(), in_.kills.end(), [&](const KillRecord& k) {
      return k.gateway == gateway && k.at <= to && (k.up_at == 0 || k.up_at >= from);
    });
  }

  // Rule 1: one final answer for each try, in time, and nothing sent after it.
  void answered() {
    for (const ClientRecord& c : in_.clients) {
      ++out_.checked[1];
      if (c.answers > 1) found(1, c.tag + " was answered " + std::to_string(c.answers) + " times");
      const bool lost_with_gateway = killed_within(c.gateway, c.asked_at, c.due_at);
      if (c.end == ClientRecord::End::kNoAnswer && !lost_with_gateway)
        found(1, c.tag + " got no answer from " + c.gateway + " in " + seconds(c.due_at - c.asked_at));
      const TimeUs latest = c.due_at + s_.rules.answer_slack_us + s_.slack_us;
      if (c.answers > 0 && !c.late_ok && c.ended_at > latest)
        found(1, c.tag + " was answered " + seconds(c.ended_at - c.due_at) + " after its time was up");
    }
    for (const Attempt& a : attempts_) {
      if (a.client == nullptr || a.client->ended_at == 0) continue;
      ++out_.checked[1];
      if (a.from > a.client->ended_at + s_.slack_us)
        found(1, a.request + " was sent to " + a.node + " " + seconds(a.from - a.client->ended_at) +
                     " after its end");
    }
  }

  bool same_group(const ClassSettings& c, const Attempt& a, const Attempt& b) const {
    if (c.key_scope == KeyScope::kAll) return true;
    if (a.facts == nullptr || b.facts == nullptr) return false;
    return c.key_scope == KeyScope::kZone ? a.facts->zone == b.facts->zone : a.facts->cell == b.facts->cell;
  }

  // Rule 2: nothing that may have run is repeated but where its class allows, and never two attempts at once.
  void effects() {
    for (const auto& [request, list] : by_request_) {
      for (size_t i = 1; i < list.size(); ++i) {
        const Attempt& a = *list[i];
        for (size_t k = 0; k < i; ++k) {
          const Attempt& before = *list[k];
          ++out_.checked[2];
          if (!s_.rules.second_copies && before.to > a.from + s_.slack_us)
            found(2, request + " had attempt " + std::to_string(a.number) + " out at " + a.node +
                         " while attempt " + std::to_string(before.number) + " was out at " + before.node);
          if (a.client == nullptr || !before.ran) continue;
          const ClassSettings& c = class_of(a);
          if (c.repeat == Repeat::kFragile)
            found(2, request + ", unsafe, was sent to " + a.node + " after it had run at " + before.node);
          if (c.repeat == Repeat::kDedup &&
              (!same_group(c, before, a) || a.from > before.from + c.window_us + s_.slack_us))
            found(2, request + ", keyed, was sent to " + a.node + " outside the group or time of " +
                         before.node);
        }
      }
      // A refusal promises that trying again is harmless.
      const Attempt& last = *list.back();
      if (last.client == nullptr || last.client->end != ClientRecord::End::kRefused) continue;
      const ClassSettings& c = class_of(last);
      const bool any_ran = std::any_of(list.begin(), list.end(), [](const Attempt* a) { return a->ran; });
      ++out_.checked[2];
      if (any_ran &&
          (c.repeat == Repeat::kFragile || (c.repeat == Repeat::kDedup && c.key_scope != KeyScope::kAll)))
        found(2, request + " was refused though it had run");
    }
  }

  // Rule 3: nothing new to a node that a gateway was told drains or is gone.
  void drains() {
    for (const ToldRecord& t : in_.told) {
      // Until the node's next start: after that it is another one.
      TimeUs until = INT64_MAX;
      for (const TimeUs start : starts_[t.node])
        if (start > t.at) until = std::min(until, start);
      for (const Attempt& a : attempts_) {
        if (a.node != t.node || a.gateway != t.gateway) continue;
        ++out_.checked[3];
        if (a.from > t.at + s_.rules.drain_grace_us + s_.slack_us && a.from < until)
          found(3, a.request + " was sent to " + t.node + " " + seconds(a.from - t.at) + " after " +
                       t.gateway + " was told that it drains");
      }
    }
  }

  // Rule 4, computed from the arrivals, whatever the node itself says.
  void cold_nodes() {
    if (s_.rules.fall_us <= 0) return;
    for (const auto& [name, starts] : starts_) {
      const auto facts = facts_.find(name);
      if (facts == facts_.end() || facts->second->warm_after_us <= 0) continue;
      const NodeFacts& n = *facts->second;
      for (const TimeUs start : starts) {
        std::deque<std::pair<TimeUs, double>> window;
        double pushed = 0;
        for (const Attempt& a : attempts_) {
          if (a.node != name || a.from < start || a.from >= start + n.warm_after_us) continue;
          ++out_.checked[4];
          window.emplace_back(a.from, a.work_us);
          pushed += a.work_us;
          while (a.from - window.front().first > s_.rules.fall_us) {
            pushed -= window.front().second;
            window.pop_front();
          }
          const double warmth =
              n.cold_from + (1 - n.cold_from) * static_cast<double>(a.from - start) / n.warm_after_us;
          const double bears = s_.rules.fall_multiple * warmth * n.cores * s_.rules.fall_us;
          if (pushed > bears) {
            found(4, name + " was sent " + seconds(static_cast<TimeUs>(pushed)) + " of work within " +
                         seconds(s_.rules.fall_us) + ", cold: it bears " +
                         seconds(static_cast<TimeUs>(bears)));
            break;
          }
        }
      }
    }
  }

  // Rule 5: requests of one key at one gateway take turns, and rest after an attempt that may still run.
  void order() {
    std::map<std::pair<std::string, std::string>, std::vector<const Attempt*>> lines;
    for (const Attempt& a : attempts_)
      if (a.client != nullptr && class_of(a).in_order && !a.client->key.empty())
        lines[{life_of(a.request), a.client->key}].push_back(&a);
    for (const auto& [line, list] : lines) {
      for (size_t i = 0; i < list.size(); ++i) {
        for (size_t k = 0; k < list.size(); ++k) {
          const Attempt &a = *list[i], &b = *list[k];
          if (a.request == b.request || a.from >= b.from) continue;
          ++out_.checked[5];
          if (b.from + s_.slack_us < a.to && a.ended)
            found(5, b.request + " of key " + line.second + " was sent while " + a.request + " was out");
          const bool may_run_on = !a.ended || a.end == End::kCancelled || a.end == End::kBroken;
          if (may_run_on && a.to != INT64_MAX && b.from >= a.to &&
              b.from + s_.slack_us < a.to + s_.rules.turn_gap_us)
            found(5, b.request + " of key " + line.second + " was sent " + seconds(b.from - a.to) +
                         " after " + a.request + ", which may still have run");
          if (b.client->asked_at + s_.slack_us < a.client->asked_at &&
              b.client->ended_at > a.from + s_.slack_us)
            found(5, a.request + " of key " + line.second + " was sent before " + b.request +
                         ", which came first");
        }
      }
    }
  }

  // Rule 6: bound classes go only where they may.
  void placement() {
    for (const Attempt& a : attempts_) {
      if (a.client == nullptr || a.facts == nullptr) continue;
      const ClassSettings& c = class_of(a);
      if (c.only_zones.empty() && c.only_kinds.empty()) continue;
      ++out_.checked[6];
      if (!allows(c.only_zones, a.facts->zone) || !allows(c.only_kinds, a.facts->kind))
        found(6, a.request + " of class " + s_.class_names[a.client->cls] + " was sent to " + a.node +
                     ", where it may not run");
    }
  }

  // Rule 7: further attempts of one gateway in any window. An attempt that no node saw counts by the number
  // of the next one.
  void budget() {
    if (!s_.rules.attempts_rationed) return;
    std::map<std::string, std::vector<std::pair<TimeUs, int>>> extra;
    for (const auto& [request, list] : by_request_) {
      int seen = -1;
      for (const Attempt* a : list) {
        const int further = a->number - std::max(seen, 0);
        if (a->number > 0 && further > 0) extra[life_of(request)].emplace_back(a->from, further);
        seen = std::max(seen, a->number);
      }
    }
    for (auto& [life, list] : extra) {
      std::sort(list.begin(), list.end());
      for (size_t i = 0; i < list.size(); ++i) {
        const TimeUs to = list[i].first, from = to - s_.rules.budget_window_us;
        int made = 0;
        for (const auto& [at, further] : list)
          if (at > from + s_.slack_us && at <= to) made += further;
        const auto taken = std::count_if(in_.clients.begin(), in_.clients.end(), [&](const ClientRecord& c) {
          return c.gateway == gateway_of(life) && c.asked_at > from - s_.slack_us && c.asked_at <= to;
        });
        ++out_.checked[7];
        const double allowed =
            s_.rules.budget_free + s_.rules.budget_per_request * static_cast<double>(taken);
        if (made > allowed) {
          char text[200];
          std::snprintf(text, sizeof(text),
                        "%s made %d further attempts within %s with %lld requests taken: %.1f allowed",
                        life.c_str(), made, seconds(s_.rules.budget_window_us).c_str(),
                        static_cast<long long>(taken), allowed);
          found(7, text);
        }
      }
    }
  }

  void account() {
    out_.classes.resize(s_.classes.size());
    for (const ClientRecord& c : in_.clients) {
      ClassReport& r = out_.classes[c.cls];
      const ClassSettings& k = s_.classes[c.cls];
      ++r.asked;
      r.worth_asked += k.worth;
      const TimeUs took = c.ended_at - c.asked_at;
      const double aim = k.aim_us + k.aim_stretch * c.asked_work_us / k.threads;
      switch (c.end) {
        case ClientRecord::End::kServed:
          ++r.served;
          if (took > aim) ++r.late;
          r.worth_got += took <= aim ? k.worth : k.worth * k.late_worth;
          break;
        case ClientRecord::End::kRefused:
          ++r.refused;
          break;
        case ClientRecord::End::kFailed:
          ++r.failed;
          break;
        case ClientRecord::End::kNoAnswer:
          ++r.unanswered;
          break;
        case ClientRecord::End::kLeft:
          ++r.left;
          break;
        case ClientRecord::End::kUnreachable:
          ++r.unreachable;
          break;
      }
    }
    out_.attempts = attempts_.size();
    out_.further_attempts = static_cast<uint64_t>(
        std::count_if(attempts_.begin(), attempts_.end(), [](const Attempt& a) { return a.number > 0; }));
  }

  const AuditSettings& s_;
  const Records& in_;
  std::map<std::string, const ClientRecord*> by_tag_;
  std::map<std::string, const NodeFacts*> facts_;
  std::map<std::string, std::vector<TimeUs>> starts_;
  std::vector<Attempt> attempts_;  // by arrival
  std::map<std::string, std::vector<const Attempt*>> by_request_;
  Report out_;
};

constexpr const char* kRuleNames[kRules + 1] = {"",
                                                "one answer for each request, in time",
                                                "no effect twice, one attempt at a time",
                                                "drains kept",
                                                "cold nodes not pushed over",
                                                "order of keys kept",
                                                "placement kept",
                                                "further attempts within budget"};

}  // namespace

double Report::service() const {
  double asked = 0, got = 0;
  for (const ClassReport& c : classes) {
    asked += c.worth_asked;
    got += c.worth_got;
  }
  return asked > 0 ? got / asked : 0;
}

Report audit(const AuditSettings& settings, const Records& records) { return Audit(settings, records).run(); }

std::string render(const AuditSettings& settings, const Report& report) {
  std::string out;
  char line[400];
  std::snprintf(line, sizeof(line), "%-14s %7s %7s %6s %8s %7s %7s %6s %9s %8s\n", "class", "asked", "served",
                "late", "refused", "failed", "no one", "left", "unanswered", "service");
  out += line;
  for (size_t i = 0; i < report.classes.size(); ++i) {
    const ClassReport& c = report.classes[i];
    std::snprintf(line, sizeof(line), "%-14s %7llu %7llu %6llu %8llu %7llu %7llu %6llu %9llu %9.3f\n",
                  settings.class_names[i].c_str(), static_cast<unsigned long long>(c.asked),
                  static_cast<unsigned long long>(c.served), static_cast<unsigned long long>(c.late),
                  static_cast<unsigned long long>(c.refused), static_cast<unsigned long long>(c.failed),
                  static_cast<unsigned long long>(c.unreachable), static_cast<unsigned long long>(c.left),
                  static_cast<unsigned long long>(c.unanswered),
                  c.worth_asked > 0 ? c.worth_got / c.worth_asked : 0.0);
    out += line;
  }
  std::snprintf(line, sizeof(line),
                "attempts %llu, further ones %llu; service %.3f (worth in time over worth asked for)\n\n",
                static_cast<unsigned long long>(report.attempts),
                static_cast<unsigned long long>(report.further_attempts), report.service());
  out += line;
  std::set<int> broken;
  for (const Finding& f : report.findings) broken.insert(f.rule);
  for (int rule = 1; rule <= kRules; ++rule) {
    const auto count = std::count_if(report.findings.begin(), report.findings.end(),
                                     [rule](const Finding& f) { return f.rule == rule; });
    std::snprintf(line, sizeof(line), "rule %d  %-40s %s (checked %llu times)\n", rule, kRuleNames[rule],
                  count == 0 ? (report.checked[rule] == 0 ? "not touched" : "kept")
                             : ("BROKEN " + std::to_string(count) + " times").c_str(),
                  static_cast<unsigned long long>(report.checked[rule]));
    out += line;
  }
  size_t shown = 0;
  for (const Finding& f : report.findings) {
    if (++shown > 20) break;
    out += "  rule " + std::to_string(f.rule) + ": " + f.what + "\n";
  }
  out += broken.empty() ? "audit: clean\n" : "audit: " + std::to_string(broken.size()) + " rules broken\n";
  return out;
}

}  // namespace sablelink::audit
