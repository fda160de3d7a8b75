#include "audit/auditor.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <set>

namespace sablelink::audit {
namespace {

using nodes::NodeEvent;

void apply(Rules& rules, const NodeEvent& e) {
  switch (e.kind) {
    case NodeEvent::Kind::kStarted:
      rules.node_started(e.at, e.node);
      break;
    case NodeEvent::Kind::kCollapsed:
      rules.node_collapsed(e.at, e.node);
      break;
    case NodeEvent::Kind::kArrived:
      rules.attempt_started(e.at, e.request, e.attempt, e.node, e.tag, e.work_us);
      break;
    case NodeEvent::Kind::kEnded: {
      const bool interrupted = e.end == NodeEvent::End::kCancelled || e.end == NodeEvent::End::kReset;
      if (e.work_started) rules.attempt_executed(e.request, e.attempt);
      rules.attempt_ended(e.at, e.request, e.attempt,
                          interrupted ? AttemptEnd::kMayStillRun : AttemptEnd::kResponded);
      break;
    }
  }
}

void count_by_class(const AuditSettings& settings, const Records& in, Report* out) {
  out->classes.resize(settings.classes.size());
  for (const ClientRecord& c : in.clients) {
    ClassReport& r = out->classes[c.cls];
    const ClassSettings& k = settings.classes[c.cls];
    ++r.requests;
    r.requested_weight += k.priority_weight;
    const TimeUs latency_us = c.ended_at - c.started_at;
    const double objective_us =
        k.latency_objective_us + k.latency_objective_stretch * c.requested_work_us / k.threads;
    switch (c.end) {
      case ClientRecord::End::kServed:
        ++r.served;
        if (latency_us > objective_us) ++r.late;
        r.achieved_weight +=
            latency_us <= objective_us ? k.priority_weight : k.priority_weight * k.late_weight_fraction;
        break;
      case ClientRecord::End::kRejected:
        ++r.rejected;
        break;
      case ClientRecord::End::kFailed:
        ++r.failed;
        break;
      case ClientRecord::End::kNoResponse:
        ++r.unanswered;
        break;
      case ClientRecord::End::kCancelled:
        ++r.cancelled;
        break;
      case ClientRecord::End::kUnreachable:
        ++r.unreachable;
        break;
    }
  }
}

constexpr const char* kRuleNames[kRules + 1] = {"",
                                                "one response per request, in time",
                                                "no repeated effect or parallel attempt",
                                                "no attempts at draining nodes",
                                                "nodes in slow start not overloaded",
                                                "order of requests with the same key",
                                                "placement restrictions",
                                                "retries within budget"};

}  // namespace

double Report::achieved_weight_fraction() const {
  double requested = 0;
  double achieved = 0;
  for (const ClassReport& c : classes) {
    requested += c.requested_weight;
    achieved += c.achieved_weight;
  }
  return requested > 0 ? achieved / requested : 0;
}

int Report::rule_never_at_stake() const {
  for (int rule = 1; rule <= kRules; ++rule)
    if (counts.at_stake[rule] == 0) return rule;
  return 0;
}

std::string render_rules(const std::vector<Finding>& findings, const RuleCounts& counts) {
  std::string out;
  for (int rule = 1; rule <= kRules; ++rule) {
    const auto broken =
        std::count_if(findings.begin(), findings.end(), [rule](const Finding& f) { return f.rule == rule; });
    const std::string verdict = broken > 0                   ? "BROKEN " + std::to_string(broken) + " times"
                                : counts.at_stake[rule] == 0 ? "NOT AT STAKE"
                                                             : "kept";
    char line[200];
    std::snprintf(line, sizeof(line), "rule %d  %-40s %s (at stake %llu times, checked %llu)\n", rule,
                  kRuleNames[rule], verdict.c_str(), static_cast<unsigned long long>(counts.at_stake[rule]),
                  static_cast<unsigned long long>(counts.checked[rule]));
    out += line;
  }
  return out;
}

Report audit(const AuditSettings& settings, const Records& records) {
  Rules rules(settings);
  struct Step {
    TimeUs at;
    int rank;  // for equal times: the driver's actions, starts of requests, events of nodes, ends of requests
    std::function<void()> apply;
  };
  std::vector<Step> steps;
  const auto add = [&](TimeUs at, int rank, std::function<void()> fn) {
    steps.push_back({at, rank, std::move(fn)});
  };
  for (const NodeUnavailableRecord& t : records.unavailable)
    add(t.at, 0, [&] { rules.node_reported_unavailable(t.at, t.gateway, t.node); });
  for (const KillRecord& k : records.kills) {
    add(k.at, 0, [&] { rules.gateway_killed(k.at, k.gateway); });
    if (k.restarted_at > 0) add(k.restarted_at, 0, [&] { rules.gateway_started(k.restarted_at, k.gateway); });
  }
  for (const NodeKillRecord& k : records.node_kills) add(k.at, 0, [&] { rules.node_killed(k.at, k.node); });
  for (const ClientRecord& c : records.clients) {
    // Before any event of a node for this request, despite different clocks.
    add(c.started_at - settings.slack_us, 1, [&] { rules.request_started(c); });
    add(c.ended_at, 3, [&] { rules.request_ended(c); });
  }
  for (const NodeEvent& e : records.nodes) add(e.at, 2, [&] { apply(rules, e); });
  std::stable_sort(steps.begin(), steps.end(),
                   [](const Step& a, const Step& b) { return a.at != b.at ? a.at < b.at : a.rank < b.rank; });
  for (const Step& step : steps) step.apply();
  rules.close();

  Report out;
  out.findings = rules.findings();
  std::stable_sort(out.findings.begin(), out.findings.end(),
                   [](const Finding& a, const Finding& b) { return a.rule < b.rule; });
  out.counts = rules.counts();
  out.attempts = rules.attempts();
  out.retries = rules.retries();
  count_by_class(settings, records, &out);
  return out;
}

std::string render(const AuditSettings& settings, const Report& report) {
  std::string out;
  char line[400];
  std::snprintf(line, sizeof(line), "%-14s %7s %7s %6s %8s %7s %7s %6s %9s %8s\n", "class", "asked", "served",
                "late", "refused", "failed", "no one", "left", "unanswered", "service");
  out += line;
  for (size_t i = 0; i < report.classes.size(); ++i) {
    const ClassReport& c = report.classes[i];
    std::snprintf(line, sizeof(line), "%-14s %7llu %7llu %6llu %8llu %7llu %7llu %6llu %9llu %9.3f\n",
                  settings.class_names[i].c_str(), static_cast<unsigned long long>(c.requests),
                  static_cast<unsigned long long>(c.served), static_cast<unsigned long long>(c.late),
                  static_cast<unsigned long long>(c.rejected), static_cast<unsigned long long>(c.failed),
                  static_cast<unsigned long long>(c.unreachable),
                  static_cast<unsigned long long>(c.cancelled), static_cast<unsigned long long>(c.unanswered),
                  c.requested_weight > 0 ? c.achieved_weight / c.requested_weight : 0.0);
    out += line;
  }
  std::snprintf(line, sizeof(line),
                "attempts %llu, retries %llu; service %.3f (achieved over requested priority weight)\n\n",
                static_cast<unsigned long long>(report.attempts),
                static_cast<unsigned long long>(report.retries), report.achieved_weight_fraction());
  out += line;
  out += render_rules(report.findings, report.counts);
  size_t shown = 0;
  for (const Finding& f : report.findings) {
    if (++shown > 20) break;
    out += "  rule " + std::to_string(f.rule) + ": " + f.what + "\n";
  }
  std::set<int> broken;
  for (const Finding& f : report.findings) broken.insert(f.rule);
  out += broken.empty() ? "audit: clean\n" : "audit: " + std::to_string(broken.size()) + " rules broken\n";
  return out;
}

}  // namespace sablelink::audit
