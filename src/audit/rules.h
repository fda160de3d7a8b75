// The seven rules, checked as things happen. Told in the order of time what passed: who asked, what reached
// which node, what ended, who was told what. A finding is made at the moment from which it is sure. The
// auditor feeds it recorded days, the simulation feeds it every step.
//
// slack_us is what comparing the times of two machines' records allows; 0 where all times are of one clock.
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

// One try of one client, whole.
struct ClientRecord {
  enum class End { kServed, kRefused, kFailed, kNoAnswer, kLeft, kUnreachable };
  static constexpr int kEnds = 6;
  std::string tag;      // unique in a run
  std::string gateway;  // that it went to
  int cls = 0;
  std::string key;  // of order; empty: none
  double asked_work_us = 0;
  TimeUs asked_at = 0, due_at = 0, ended_at = 0;
  int answers = 0;  // final answers seen; more than one can't be told from gRPC, but from other fronts
  End end = End::kNoAnswer;
  bool late_ok = false;  // a stream: it may end after its time
  // What was wrong with what it read; empty: nothing, as far as it could tell.
  std::string fault;
};

// How a try ended whose answer came from its gateway.
constexpr ClientRecord::End end_of(dispatch::RequestStatus verdict) {
  switch (verdict) {
    case dispatch::RequestStatus::kServed:
      return ClientRecord::End::kServed;
    case dispatch::RequestStatus::kRejected:
      return ClientRecord::End::kRefused;
    default:
      return ClientRecord::End::kFailed;
  }
}

struct NodeFacts {
  std::string name;
  int zone = 0, kind = 0, cell = 0;
  double cores = 8;
  double cold_from = 1;
  TimeUs warm_after_us = 0;  // 0: it starts warm
};

struct AuditSettings {
  std::vector<ClassSettings> classes;
  std::vector<std::string> class_names;
  std::vector<NodeFacts> nodes;
  Settings rules;  // its rule figures alone
  TimeUs slack_us = 50'000;
  // Whether told_start() tells which gateways know of a node's start; else all know at once.
  bool starts_are_told = false;
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

// How an attempt's call was over: answered, or so that it may still run.
enum class AttemptOver { kAnswered, kMayRunOn };

class Rules {
 public:
  explicit Rules(AuditSettings settings);
  ~Rules();
  Rules(const Rules&) = delete;
  Rules& operator=(const Rules&) = delete;

  void asked(const ClientRecord& client);  // its end isn't looked at
  void ended(const ClientRecord& client);
  void node_started(TimeUs at, const std::string& node, bool cold = true);
  void node_killed(TimeUs at, const std::string& node);  // what it had ended with it, and may have run
  void node_fell(TimeUs at, const std::string& node);
  void gateway_killed(TimeUs at, const std::string& gateway);
  void gateway_started(TimeUs at, const std::string& gateway);
  // A gateway's clock went forward: what it waits for may seem over to it so much earlier.
  void clock_jumped(TimeUs at, const std::string& gateway, TimeUs by) {
    jumps_[gateway].emplace_back(at, by);
  }
  // A gateway was told that a node drains or is gone, or that it is ready, again or still.
  void told(TimeUs at, const std::string& gateway, const std::string& node);
  void told_ready(const std::string& gateway, const std::string& node) { told_.erase({gateway, node}); }
  // A gateway was told of the node's present start.
  void told_start(const std::string& gateway, const std::string& node);
  // A request is named gateway/start/number.
  void attempt_began(TimeUs at, const std::string& request, int attempt, const std::string& node,
                     const std::string& tag, double work_us);
  void attempt_over(TimeUs at, const std::string& request, int attempt, AttemptOver how);
  // The node worked on it, more or less.
  void attempt_ran(const std::string& request, int attempt);
  // All is told: what has no end yet has none, and may have run.
  void close();

  const std::vector<Finding>& findings() const { return findings_; }
  // By rule: how often something was compared, and how often it could have gone wrong there. For rule 3, say,
  // sends while a node that the request might have gone to was draining or gone. docs/simulating.md has all.
  const RuleCounts& counts() const { return counts_; }
  uint64_t attempts() const { return attempts_; }
  uint64_t further_attempts() const { return further_; }

 private:
  struct Client;
  struct Attempt;
  struct Request;

  void found(int rule, std::string what) { findings_.push_back({rule, std::move(what)}); }
  // Notes that a rule was looked at, and whether it could have gone wrong there.
  void look(int rule, bool at_stake) {
    ++counts_.checked[rule];
    counts_.at_stake[rule] += at_stake;
  }
  const ClassSettings& class_of(const Client& c) const;
  Attempt* find(const std::string& request, int attempt);
  // Of the key that its request takes turns by; none where it has none.
  std::vector<Attempt*>* line_of(const Attempt& a);
  TimeUs jumped_within(const std::string& gateway, TimeUs from, TimeUs to) const;
  bool killed_within(const std::string& gateway, TimeUs from, TimeUs to) const;
  bool same_group(const ClassSettings& c, const Attempt& a, const Attempt& b) const;
  void check_overlap(const Request& request, const Attempt& a);
  void check_repeat(const Attempt& before, const Attempt& a);
  void check_refusal(const Request& request);
  void check_drain(const Attempt& a);
  void check_cold(const Attempt& a);
  void check_turn(const std::vector<Attempt*>& line, const Attempt& b);
  void check_placement(const Attempt& a);
  void check_budget(const Attempt& a, int unseen, TimeUs unseen_from);

  const AuditSettings s_;
  std::map<std::string, const NodeFacts*> facts_;
  std::map<std::string, std::shared_ptr<Client>> clients_;  // by tag
  std::map<std::string, std::unique_ptr<Request>> requests_;
  // Attempts of one key at one life of a gateway, in the order in which they began.
  std::map<std::pair<std::string, std::string>, std::vector<Attempt*>> lines_;
  std::map<std::pair<std::string, std::string>, TimeUs> told_;  // by gateway and node
  struct Cold {
    TimeUs start = 0;
    struct Push {
      TimeUs at = 0;
      double work_us = 0;
      bool known = false;  // its gateway had been told of the start
    };
    std::deque<Push> window;       // of the last fall_us
    double pushed = 0, known = 0;  // work in the window, and that of gateways that knew
    std::set<std::string> told;    // gateways
    bool fallen = false;
    // Those that weren't told can't be asked to hold back: as long as they sent over a third, nobody is.
    bool to_blame() const { return 3 * known >= 2 * pushed; }
  };
  std::map<std::string, Cold> cold_;
  std::map<std::string, std::vector<std::pair<TimeUs, TimeUs>>> down_;   // gateways: killed, up again or 0
  std::map<std::string, std::vector<std::pair<TimeUs, TimeUs>>> jumps_;  // of clocks: when, by how much
  std::map<std::string, std::deque<TimeUs>> taken_;                      // by gateway
  std::map<std::string, std::deque<std::pair<TimeUs, int>>> extra_;      // further attempts, by life
  std::vector<Finding> findings_;
  RuleCounts counts_;
  uint64_t attempts_ = 0, further_ = 0;
};

}  // namespace sablelink::audit
