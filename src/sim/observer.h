// Watches a simulated world from between its actors: what passes the sockets and what nodes do, never a
// gateway's own word. Feeds the rules (audit/rules.h) at every step and writes the account.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "audit/rules.h"
#include "flightsql/client.h"
#include "nodes/recorder.h"
#include "schemas/planning_coordinator.h"
#include "sim/network.h"
#include "sim/scenario.h"
#include "sim/world.h"

namespace sablelink::sim {

// How many tries came to each end.
struct Ends {
  std::array<uint64_t, audit::ClientRecord::kEnds> count{};
  uint64_t& operator[](audit::ClientRecord::End end) { return count[static_cast<size_t>(end)]; }
  uint64_t operator[](audit::ClientRecord::End end) const { return count[static_cast<size_t>(end)]; }
  Ends& operator+=(const Ends& other) {
    for (size_t i = 0; i < count.size(); ++i) count[i] += other.count[i];
    return *this;
  }
};

class Observer : public NetworkTap, public nodes::Recorder {
 public:
  // The world must outlive it. Times of the rules are the world's, so nothing is allowed for.
  Observer(World& world, audit::AuditSettings settings, const schemas::PlanningSettings& planning,
           int planning_class);
  ~Observer() override;

  // From the network.
  void call_left(const CallFacts& call) override;
  void call_arrived(const CallFacts& call) override;
  void answer_left(const CallFacts& call, const rpc::Status& status) override;
  void call_over_at_server(const CallFacts& call) override;
  void answered_again(const CallFacts& call) override;
  void call_over(const CallFacts& call, const rpc::CallResult& end, bool from_server) override;
  // From the nodes.
  void record(const nodes::NodeEvent& event) override;
  // From the world's driver.
  void asks(const audit::ClientRecord& client, const std::string& statement);  // about to
  void told_leaves(const std::string& gateway, const std::string& node);
  void told_ready(const std::string& gateway, const std::string& node);
  void told_start(const std::string& gateway, const std::string& node) { rules_.told_start(gateway, node); }
  void gateway_down(const std::string& gateway);
  void gateway_up(const std::string& gateway);
  void gateway_stalls(const std::string& gateway, TimeUs until);
  void clock_jumps(const std::string& gateway, TimeUs by);
  void node_down(const std::string& node);
  // A gateway makes a planning call: a request of its own, that no client's call shows.
  void plans(const std::string& gateway, const std::string& tag);
  // What a client makes of its try. leaves: it went away by itself.
  void client_ends(audit::ClientRecord client, const flightsql::QueryResult& result, bool leaves);

  void after_step();
  // A broken promise that is none of the seven rules: a leak, a bound, something held for ever.
  void broken(const std::string& what);
  void close() { rules_.close(); }

  const std::vector<audit::Finding>& findings() const { return all_; }
  const audit::Rules& rules() const { return rules_; }
  const Ends& ends() const { return ends_; }
  uint64_t plans_made() const { return plans_made_; }

 private:
  // A client's request at its gateway.
  struct Taken {
    TimeUs arrived_at = 0, answer_left_at = 0, deadline_at = 0;
    std::string gateway;
    uint64_t gateway_life = 0;
    bool over = false;  // at the gateway
  };
  bool excused(const Taken& taken, TimeUs ended_at) const;
  bool stood_still(const Taken& taken, TimeUs ended_at) const;  // its gateway, or died
  void tell(const std::string& text) { world_.tell(text); }

  World& world_;
  audit::Rules rules_;
  const schemas::PlanningSettings planning_;
  const int planning_class_;
  struct Plans {
    std::deque<TimeUs> asked, made;  // statements that clients asked about, and planning calls
  };
  std::map<std::string, Plans> plans_;  // by gateway, of its present life
  uint64_t plans_made_ = 0;
  std::map<std::string, audit::ClientRecord> asked_;  // by tag; until their end
  std::map<std::string, Taken> taken_;                // by tag
  // Ended at their clients before their requests arrived anywhere: these still may.
  std::map<std::string, audit::ClientRecord> gone_;
  // Ended at their clients, while their gateways haven't heard of it.
  std::map<std::string, audit::ClientRecord> ending_;
  // Attempts that are out, as their gateways' sockets show them: a call for the ticket and one for the
  // answer, or one alone. True: the ticket has come, and the next call hasn't left.
  std::map<std::pair<std::string, int>, bool> attempts_;
  std::vector<std::pair<std::string, int>> between_;  // since when no step has ended
  std::set<std::string> jumped_;                      // gateways whose clocks have
  std::set<std::string> started_;                     // nodes, once at least
  std::map<std::string, uint64_t> lives_;
  std::map<std::string, std::vector<std::pair<TimeUs, TimeUs>>> stalls_;
  std::vector<audit::Finding> all_;
  size_t seen_ = 0;  // findings of the rules that are in all_
  Ends ends_;
};

}  // namespace sablelink::sim
