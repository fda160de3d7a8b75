// Checks the seven rules on a stream of events in order of time: requests of clients, attempts at nodes,
// ends, and notifications of gateways. A finding is reported as soon as it is certain. The auditor passes the
// records of a finished run, the simulation passes the events of every step.
//
// slack_us is the tolerance for times recorded by different machines; 0 if all times are from the same clock.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dispatch/response_sink.h"
#include "nodes/recorder.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink::audit {

// One request of a client and its end. A retry by the client is another request.
struct ClientRecord {
  enum class End { kServed, kRejected, kFailed, kNoResponse, kCancelled, kUnreachable };
  static constexpr int kEnds = 6;
  std::string tag;  // unique in a run
  std::string gateway;
  int cls = 0;
  std::string key;  // ordering key; empty: none
  double requested_work_us = 0;
  TimeUs started_at = 0, deadline = 0, ended_at = 0;
  // Number of final responses. A gRPC client can't observe more than one; other clients can.
  int responses = 0;
  End end = End::kNoResponse;
  bool may_end_late = false;  // a streamed response may end after the deadline
  // The error that the client found in the response; empty: none.
  std::string response_error;
};

// The end of a request whose response came from its gateway.
constexpr ClientRecord::End end_of(dispatch::RequestStatus verdict) {
  switch (verdict) {
    case dispatch::RequestStatus::kServed:
      return ClientRecord::End::kServed;
    case dispatch::RequestStatus::kRejected:
      return ClientRecord::End::kRejected;
    default:
      return ClientRecord::End::kFailed;
  }
}

struct NodeInfo {
  std::string name;
  int zone = 0, kind = 0, cell = 0;
  double cores = 8;
  double slow_start_min_capacity_fraction = 1;
  TimeUs slow_start_duration_us = 0;  // 0: no slow start
};

struct AuditSettings {
  std::vector<ClassSettings> classes;
  std::vector<std::string> class_names;
  std::vector<NodeInfo> nodes;
  Settings rules;  // only the settings that the rules depend on are read
  TimeUs slack_us = 50'000;
  // Whether node_start_reported() is called for each gateway that learns of a node's start. If not, every
  // gateway is assumed to know of the start at once.
  bool node_starts_are_reported = false;
};

constexpr int kRules = 7;

struct Finding {
  int rule = 0;  // 1 to 7
  std::string what;
};

struct RuleCounts {
  std::array<uint64_t, kRules + 1> checked{}, at_stake{};
  RuleCounts& operator+=(const RuleCounts& other) {
    for (int rule = 1; rule <= kRules; ++rule) {
      checked[rule] += other.checked[rule];
      at_stake[rule] += other.at_stake[rule];
    }
    return *this;
  }
};

// How an attempt's call ended: with a response, or in a way that the node may still execute it.
enum class AttemptEnd { kResponded, kMayStillRun };

class Rules {
 public:
  explicit Rules(AuditSettings settings);
  ~Rules();
  Rules(const Rules&) = delete;
  Rules& operator=(const Rules&) = delete;

  void request_started(const ClientRecord& client);  // the fields that describe its end are ignored
  void request_ended(const ClientRecord& client);
  void node_started(TimeUs at, const std::string& node, bool slow_start = true);
  void node_killed(TimeUs at, const std::string& node);  // ends its attempts, which may have been executed
  void node_collapsed(TimeUs at, const std::string& node);
  void gateway_killed(TimeUs at, const std::string& gateway);
  void gateway_started(TimeUs at, const std::string& gateway);
  // A gateway's clock jumped forward, which ends its waiting times earlier by the same amount.
  void clock_jumped(TimeUs at, const std::string& gateway, TimeUs by) {
    clock_jumps_[gateway].emplace_back(at, by);
  }
  // A gateway was notified that a node is draining or removed, or that it is ready.
  void node_reported_unavailable(TimeUs at, const std::string& gateway, const std::string& node);
  void node_reported_ready(const std::string& gateway, const std::string& node) {
    unavailable_since_.erase({gateway, node});
  }
  // A gateway was notified of the node's latest start.
  void node_start_reported(const std::string& gateway, const std::string& node);
  // A request's name has the form gateway/start/number.
  void attempt_started(TimeUs at, const std::string& request, int attempt, const std::string& node,
                       const std::string& tag, double work_us);
  void attempt_ended(TimeUs at, const std::string& request, int attempt, AttemptEnd end);
  // The node executed the attempt, at least in part.
  void attempt_executed(const std::string& request, int attempt);
  // There are no further events: attempts that haven't ended never will, and may have been executed.
  void close();

  const std::vector<Finding>& findings() const { return findings_; }
  // For each rule, how often it was checked, and how often it was at stake: it could have been broken.
  // Rule 3, for example, is at stake when an attempt is sent while a node that may execute it is draining or
  // removed. docs/simulating.md lists the cases of all rules.
  const RuleCounts& counts() const { return counts_; }
  uint64_t attempts() const { return attempts_; }
  uint64_t retries() const { return retry_count_; }

 private:
  struct Client;
  struct Attempt;
  struct Request;

  void add_finding(int rule, std::string what) { findings_.push_back({rule, std::move(what)}); }
  // Counts a check of a rule, and whether the rule could have been broken there.
  void count_check(int rule, bool at_stake) {
    ++counts_.checked[rule];
    counts_.at_stake[rule] += at_stake;
  }
  const ClassSettings& class_of(const Client& c) const;
  Attempt* find(const std::string& request, int attempt);
  // The attempts with the same ordering key; null if the request has none.
  std::vector<Attempt*>* attempts_with_key(const Attempt& a);
  TimeUs clock_advance_between(const std::string& gateway, TimeUs from, TimeUs to) const;
  bool was_down_between(const std::string& gateway, TimeUs from, TimeUs to) const;
  bool same_dedup_scope(const ClassSettings& c, const Attempt& a, const Attempt& b) const;
  void check_overlap(const Request& request, const Attempt& a);
  void check_retry(const Attempt& before, const Attempt& a);
  void check_rejection(const Request& request);
  void check_drain(const Attempt& a);
  void check_slow_start(const Attempt& a);
  void check_ordering(const std::vector<Attempt*>& same_key, const Attempt& b);
  void check_placement(const Attempt& a);
  void check_budget(const Attempt& a, int unseen, TimeUs unseen_from);

  const AuditSettings settings_;
  std::map<std::string, const NodeInfo*> node_info_;
  std::map<std::string, std::shared_ptr<Client>> clients_;  // by tag
  std::map<std::string, std::unique_ptr<Request>> requests_;
  // Attempts by incarnation of a gateway and ordering key, in order of their start.
  std::map<std::pair<std::string, std::string>, std::vector<Attempt*>> attempts_by_key_;
  // Times of the notifications, by gateway and node.
  std::map<std::pair<std::string, std::string>, TimeUs> unavailable_since_;
  struct WarmingNode {
    TimeUs start = 0;
    struct Load {
      TimeUs at = 0;
      double work_us = 0;
      bool notified = false;  // its gateway had been notified of the start
    };
    std::deque<Load> window;                   // of the last collapse_window_us
    double work_us = 0, notified_work_us = 0;  // work in the window: all, and that of notified gateways
    std::set<std::string> notified_gateways;
    bool reported = false;
    // Gateways that weren't notified can't limit their load. If more than a third of the work is theirs,
    // there is no violation.
    bool gateways_responsible() const { return 3 * notified_work_us >= 2 * work_us; }
  };
  std::map<std::string, WarmingNode> warming_nodes_;
  // By gateway: the times at which it was killed and restarted; 0: not yet.
  std::map<std::string, std::vector<std::pair<TimeUs, TimeUs>>> downtimes_;
  // By gateway: the time and the amount of each jump of its clock.
  std::map<std::string, std::vector<std::pair<TimeUs, TimeUs>>> clock_jumps_;
  std::map<std::string, std::deque<TimeUs>> request_times_;  // by gateway
  // By incarnation of a gateway: the times of its retries, and the number of retries at each time.
  std::map<std::string, std::deque<std::pair<TimeUs, int>>> retries_;
  std::vector<Finding> findings_;
  RuleCounts counts_;
  uint64_t attempts_ = 0, retry_count_ = 0;
};

}  // namespace sablelink::audit
