// Observes a simulation from outside the gateways: the calls on the network, the events of the nodes and the
// actions of the driver. Of the gateways' own information, it uses only the log events of planning calls.
// Passes the events to the rules (audit/rules.h) and writes the event log.
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

// The number of client requests by their end.
struct EndCounts {
  std::array<uint64_t, audit::ClientRecord::kEnds> count{};
  uint64_t& operator[](audit::ClientRecord::End end) { return count[static_cast<size_t>(end)]; }
  uint64_t operator[](audit::ClientRecord::End end) const { return count[static_cast<size_t>(end)]; }
  EndCounts& operator+=(const EndCounts& other) {
    for (size_t i = 0; i < count.size(); ++i) count[i] += other.count[i];
    return *this;
  }
};

class Observer : public NetworkObserver, public nodes::Recorder {
 public:
  // The world must outlive the observer.
  Observer(World& world, audit::AuditSettings settings, const schemas::PlanningSettings& planning,
           int planning_class);
  ~Observer() override;

  // From the network.
  void on_call_sent(const CallInfo& call) override;
  void on_call_received(const CallInfo& call) override;
  void on_response_sent(const CallInfo& call, const rpc::Status& status) override;
  void on_call_ended_at_server(const CallInfo& call) override;
  void on_duplicate_response(const CallInfo& call) override;
  void on_call_ended_at_client(const CallInfo& call, const rpc::CallResult& result,
                               bool from_server) override;
  // From the nodes.
  void record(const nodes::NodeEvent& event) override;
  // From the driver of the simulation.
  void client_request_started(const audit::ClientRecord& client, const std::string& statement);
  void node_reported_unavailable(const std::string& gateway, const std::string& node);
  void node_reported_ready(const std::string& gateway, const std::string& node);
  void node_start_reported(const std::string& gateway, const std::string& node) {
    rules_.node_start_reported(gateway, node);
  }
  void gateway_killed(const std::string& gateway);
  void gateway_started(const std::string& gateway);
  void gateway_stalled(const std::string& gateway, TimeUs until);
  void clock_jumped(const std::string& gateway, TimeUs by);
  void node_killed(const std::string& node);
  // A gateway makes a planning call, as its log says. No call of a client corresponds to it.
  void planning_call_started(const std::string& gateway, const std::string& tag);
  // A client's request has ended. `cancelled`: the client cancelled it.
  void client_request_ended(audit::ClientRecord client, const flightsql::QueryResult& result, bool cancelled);

  void after_step();
  // Records a violation of a property outside the seven rules: a leak, an exceeded limit, or work that never
  // ends.
  void violation(const std::string& what);
  void close() { rules_.close(); }

  const std::vector<audit::Finding>& findings() const { return findings_; }
  const audit::Rules& rules() const { return rules_; }
  const EndCounts& ends() const { return ends_; }
  uint64_t planning_call_count() const { return planning_call_count_; }

 private:
  // A client's request that has arrived at its gateway.
  struct AcceptedRequest {
    TimeUs arrived_at = 0, response_sent_at = 0, deadline_at = 0;
    std::string gateway;
    uint64_t gateway_incarnation = 0;
    bool ended = false;  // at the gateway
  };
  bool is_excused(const AcceptedRequest& request, TimeUs ended_at) const;
  // Whether the gateway stalled or was killed during the request.
  bool gateway_interrupted(const AcceptedRequest& request, TimeUs ended_at) const;
  void log_event(const std::string& text) { world_.log_event(text); }

  World& world_;
  audit::Rules rules_;
  const schemas::PlanningSettings planning_;
  const int planning_class_;
  struct PlanningCalls {
    std::deque<TimeUs> statement_times, call_times;
  };
  std::map<std::string, PlanningCalls> planning_calls_;  // by gateway, of its current incarnation
  uint64_t planning_call_count_ = 0;
  std::map<std::string, audit::ClientRecord> client_requests_;  // by tag
  std::map<std::string, AcceptedRequest> accepted_;             // by tag
  // Requests that ended at their clients before they arrived at a gateway, where they may still arrive.
  std::map<std::string, audit::ClientRecord> ended_before_arrival_;
  // Requests that ended at their clients and not yet at their gateways.
  std::map<std::string, audit::ClientRecord> ended_at_client_;
  // Attempts in flight, by request and number. An attempt consists of a call for the ticket and one for the
  // result, or of a single call. True: the ticket has been received and the second call hasn't been sent.
  std::map<std::pair<std::string, int>, bool> attempts_in_flight_;
  std::vector<std::pair<std::string, int>> received_tickets_;  // during this step
  std::set<std::string> clock_jumped_;                         // gateways
  std::set<std::string> started_nodes_;                        // at least once
  std::map<std::string, uint64_t> incarnations_;
  std::map<std::string, std::vector<std::pair<TimeUs, TimeUs>>> stalls_;
  std::vector<audit::Finding> findings_;
  size_t copied_rule_findings_ = 0;  // number of findings of the rules that are in findings_
  EndCounts ends_;
};

}  // namespace sablelink::sim
