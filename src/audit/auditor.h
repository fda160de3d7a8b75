// Checks the seven rules (audit/rules.h) on the records of a run: those of its nodes and clients, and those
// of its driver (which gateways it notified of what, and which processes it killed). Records of gateways
// aren't used. The records may be in any order; the auditor sorts them by time. It has no state and no side
// effects.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "audit/rules.h"
#include "nodes/recorder.h"
#include "workload/types.h"

namespace sablelink::audit {

// A gateway was notified that a node is draining or removed.
struct NodeUnavailableRecord {
  std::string gateway, node;
  TimeUs at = 0;
};

// A gateway was killed and, if restarted_at is set, restarted.
struct KillRecord {
  std::string gateway;
  TimeUs at = 0, restarted_at = 0;
};

// A node was killed, which ended all its attempts.
struct NodeKillRecord {
  std::string node;
  TimeUs at = 0;
};

struct Records {
  std::vector<nodes::NodeEvent> nodes;
  std::vector<ClientRecord> clients;
  std::vector<NodeUnavailableRecord> unavailable;
  std::vector<KillRecord> kills;
  std::vector<NodeKillRecord> node_kills;
};

struct ClassReport {
  uint64_t requests = 0, served = 0, late = 0, rejected = 0, failed = 0, cancelled = 0, unreachable = 0,
           unanswered = 0;
  double requested_weight = 0, achieved_weight = 0;
};

struct Report {
  std::vector<Finding> findings;  // ordered by rule
  RuleCounts counts;
  std::vector<ClassReport> classes;
  uint64_t attempts = 0, retries = 0;
  bool clean() const { return findings.empty(); }
  // A rule that was never at stake, so that it can't have been broken; 0: none.
  int rule_never_at_stake() const;
  double achieved_weight_fraction() const;  // achieved fraction of the requested priority weight
};

Report audit(const AuditSettings& settings, const Records& records);

// Returns one line for each rule: kept or broken, how often it was checked, and how often it was at stake.
std::string render_rules(const std::vector<Finding>& findings, const RuleCounts& counts);

// Formats the report as text, which ends in "audit: clean" or the number of broken rules.
std::string render(const AuditSettings& settings, const Report& report);

}  // namespace sablelink::audit
