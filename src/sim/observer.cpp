#include "sim/observer.h"

#include <algorithm>

#include "flightsql/protocol.h"

namespace sablelink::sim {
namespace {

using audit::AttemptEnd;
using audit::ClientRecord;
using nodes::NodeEvent;

constexpr double kPlanningWorkUs = 2'000;       // work of a stand-in's planning call
constexpr TimeUs kEndTolerance = 2'000;         // between a call's deadline and its end at its server
constexpr TimeUs kAfterStallTolerance = 5'000;  // for responding after the end of a gateway's stall

std::string_view short_method(std::string_view method) { return method.substr(method.rfind('/') + 1); }

bool is_query(const CallInfo& call) {
  const std::string_view m = short_method(call.method);
  return m == "DoGet" || m == "DoPut";
}

// Includes planning calls, which are sent to nodes as attempts too.
bool is_attempt(const CallInfo& call) {
  const std::string_view m = short_method(call.method);
  return is_query(call) || m == "GetSchema" || m == "DoAction";
}

int attempt_number(const CallInfo& call) {
  return flightsql::find_number(call.metadata, flightsql::kAttemptKey, 0);
}

std::string request_id(const CallInfo& call) {
  return std::string(rpc::find_value(call.metadata, flightsql::kRequestKey));
}

std::string client_tag(const CallInfo& call) {
  return std::string(rpc::find_value(call.metadata, flightsql::kClientTagKey));
}

}  // namespace

Observer::Observer(World& world, audit::AuditSettings settings, const schemas::PlanningSettings& planning,
                   int planning_class)
    : world_(world), rules_(std::move(settings)), planning_(planning), planning_class_(planning_class) {}

Observer::~Observer() = default;

void Observer::client_request_started(const ClientRecord& client, const std::string& statement) {
  log_event(client.tag + " requests from " + client.gateway + ": " + statement);
  client_requests_[client.tag] = client;
}

// ---- Network

void Observer::on_call_sent(const CallInfo& call) {
  const std::string request = request_id(call);
  if (request.empty()) {  // from a client, or a health check
    if (short_method(call.method) == "GetSchema" && started_nodes_.contains(call.address))
      violation(call.client + " sends a planning call to " + call.address +
                " that the decision module hasn't placed");
    return;
  }
  const int number = attempt_number(call);
  const auto it = attempts_in_flight_.find({request, number});
  if (it != attempts_in_flight_.end() && it->second && is_attempt(call)) {
    it->second = false;
    return;
  }
  const std::string node = call.address;
  attempts_in_flight_[{request, number}] = false;
  const std::string tag = client_tag(call);
  const auto sent = client_requests_.find(tag);
  const double work = sent != client_requests_.end() ? sent->second.requested_work_us : 0;
  if (tag.starts_with(flightsql::kPlanTagPrefix) && sent == client_requests_.end())
    violation(call.client + " sends a planning call that it hasn't logged: " + tag);
  log_event(call.client + " sends " + request + " attempt " + std::to_string(number) + " (" + tag + ") to " +
            node);
  rules_.attempt_started(world_.now(), request, number, node, tag, work);
}

void Observer::planning_call_started(const std::string& gateway, const std::string& tag) {
  const TimeUs now = world_.now();
  log_event(gateway + " starts planning call " + tag);
  ++planning_call_count_;
  PlanningCalls& calls = planning_calls_[gateway];
  const auto within = [&](const std::deque<TimeUs>& times) {
    return std::count_if(times.begin(), times.end(),
                         [&](TimeUs at) { return at > now - planning_.budget_window_us; });
  };
  calls.call_times.push_back(now);
  const double allowed = planning_.budget_base_calls + planning_.budget_calls_per_statement *
                                                           static_cast<double>(within(calls.statement_times));
  if (static_cast<double>(within(calls.call_times)) > allowed && !clock_jumped_.contains(gateway))
    violation(gateway + " made " + std::to_string(within(calls.call_times)) +
              " planning calls in a window; " + std::to_string(allowed) + " were allowed");
  ClientRecord c;
  c.tag = tag;
  c.gateway = gateway;
  c.cls = planning_class_;
  c.requested_work_us = kPlanningWorkUs;
  c.started_at = now;
  c.deadline = now + planning_.call_timeout_us;
  client_requests_[tag] = c;
  rules_.request_started(c);
}

void Observer::on_call_received(const CallInfo& call) {
  if (const std::string_view m = short_method(call.method);
      request_id(call).empty() && (m == "GetFlightInfo" || m == "GetSchema" || m == "DoAction"))
    planning_calls_[call.server].statement_times.push_back(world_.now());
  if (!request_id(call).empty() || !is_query(call)) return;
  const std::string tag = client_tag(call);
  const auto sent = client_requests_.find(tag);
  const auto ended = ended_before_arrival_.find(tag);
  if (sent == client_requests_.end() && ended == ended_before_arrival_.end()) return;
  AcceptedRequest& accepted = accepted_[tag];
  accepted.arrived_at = world_.now();
  accepted.deadline_at = call.deadline_at;
  accepted.gateway = call.server;
  accepted.gateway_incarnation = incarnations_[call.server];
  log_event(call.server + " receives " + tag);
  ClientRecord c = sent != client_requests_.end() ? sent->second : ended->second;
  c.started_at = world_.now();  // counted from its arrival, as the gateway does
  rules_.request_started(c);
  if (ended == ended_before_arrival_.end()) return;
  ended_at_client_[tag] = std::move(ended->second);
  ended_before_arrival_.erase(ended);
}

void Observer::on_response_sent(const CallInfo& call, const rpc::Status& status) {
  if (!request_id(call).empty() || !is_query(call)) return;
  const auto it = accepted_.find(client_tag(call));
  if (it == accepted_.end()) return;
  it->second.response_sent_at = world_.now();
  log_event(call.server + " responds to " + it->first + " " + std::string(rpc::code_name(status.code)) +
            (status.message.empty() ? "" : ": " + status.message));
}

// Until a gateway is notified that the client has cancelled, it may go on with the request. The rules
// therefore learn of the end only here.
void Observer::on_call_ended_at_server(const CallInfo& call) {
  if (!request_id(call).empty() || !is_query(call)) return;
  const std::string tag = client_tag(call);
  const auto it = accepted_.find(tag);
  if (it == accepted_.end()) return;
  // The gateway knows the deadline: neither a slow reader nor a network fault justifies a later end.
  const AcceptedRequest& request = it->second;
  if (request.deadline_at > 0 && world_.now() > request.deadline_at + kEndTolerance &&
      !gateway_interrupted(request, world_.now()))
    violation(request.gateway + " kept the call of " + tag + " " +
              std::to_string(world_.now() - request.deadline_at) + " us beyond its deadline");
  it->second.ended = true;
  const auto at_client = ended_at_client_.find(tag);
  if (at_client == ended_at_client_.end()) return;
  rules_.request_ended(at_client->second);
  ended_at_client_.erase(at_client);
  accepted_.erase(it);
}

void Observer::on_duplicate_response(const CallInfo& call) {
  if (!request_id(call).empty()) return;
  findings_.push_back({1, client_tag(call) + " got two responses from " + call.server});
  log_event("BROKEN rule 1: " + findings_.back().what);
}

void Observer::on_call_ended_at_client(const CallInfo& call, const rpc::CallResult& result,
                                       bool from_server) {
  const std::string request = request_id(call);
  if (request.empty()) return;
  const std::pair<std::string, int> key(request, attempt_number(call));
  const auto it = attempts_in_flight_.find(key);
  if (it == attempts_in_flight_.end()) return;
  if (!is_attempt(call) && result.status.ok()) {
    it->second = true;
    received_tickets_.push_back(key);
    return;
  }
  // A call for a ticket executes nothing, however it ended.
  const bool may_still_run = is_attempt(call) && !from_server;
  log_event(call.client + " ends the call of " + request + " attempt " + std::to_string(key.second) + ": " +
            std::string(rpc::code_name(result.status.code)));
  rules_.attempt_ended(world_.now(), request, key.second,
                       may_still_run ? AttemptEnd::kMayStillRun : AttemptEnd::kResponded);
  attempts_in_flight_.erase(it);
}

// ---- Nodes

void Observer::record(const NodeEvent& event) {
  switch (event.kind) {
    case NodeEvent::Kind::kStarted:
      log_event(event.node + " starts");
      // At the start of a simulation, nodes have been running for a long time.
      rules_.node_started(world_.now(), event.node, !started_nodes_.insert(event.node).second);
      break;
    case NodeEvent::Kind::kArrived:
      log_event(event.node + " receives " + event.request + " attempt " + std::to_string(event.attempt));
      break;
    case NodeEvent::Kind::kEnded:
      log_event(event.node + " ends " + event.request + " attempt " + std::to_string(event.attempt) +
                (event.work_completed ? ", done"
                 : event.work_started ? ", started"
                                      : ", not started"));
      if (event.work_started) rules_.attempt_executed(event.request, event.attempt);
      break;
    case NodeEvent::Kind::kCollapsed:
      log_event(event.node + " collapses");
      rules_.node_collapsed(world_.now(), event.node);
      break;
  }
}

void Observer::node_killed(const std::string& node) { log_event(node + " stops"); }

// ---- Actions of the driver

void Observer::node_reported_unavailable(const std::string& gateway, const std::string& node) {
  log_event(gateway + " is notified that " + node + " is draining or removed");
  rules_.node_reported_unavailable(world_.now(), gateway, node);
}

void Observer::node_reported_ready(const std::string& gateway, const std::string& node) {
  log_event(gateway + " is notified that " + node + " is ready");
  rules_.node_reported_ready(gateway, node);
}

void Observer::gateway_killed(const std::string& gateway) {
  log_event(gateway + " stops");
  ++incarnations_[gateway];
  planning_calls_.erase(gateway);
  rules_.gateway_killed(world_.now(), gateway);
}

void Observer::gateway_started(const std::string& gateway) {
  log_event(gateway + " starts");
  rules_.gateway_started(world_.now(), gateway);
}

void Observer::gateway_stalled(const std::string& gateway, TimeUs until) {
  log_event(gateway + " stalls");
  stalls_[gateway].emplace_back(world_.now(), until);
}

void Observer::clock_jumped(const std::string& gateway, TimeUs by) {
  log_event(gateway + "'s clock jumps " + std::to_string(by) + " us forward");
  clock_jumped_.insert(gateway);  // its time windows no longer match the world's
  rules_.clock_jumped(world_.now(), gateway, by);
}

// Whether the gateway isn't to blame for the missing response: it was sent in time and lost, the request
// arrived after its deadline, or the gateway stalled or was killed.
bool Observer::is_excused(const AcceptedRequest& request, TimeUs ended_at) const {
  if (request.response_sent_at != 0 &&
      (request.deadline_at == 0 || request.response_sent_at <= request.deadline_at))
    return true;
  // The request arrived after its deadline; a slow reader finds that out late.
  if (request.deadline_at != 0 && request.arrived_at > request.deadline_at) return true;
  return gateway_interrupted(request, ended_at);
}

bool Observer::gateway_interrupted(const AcceptedRequest& request, TimeUs ended_at) const {
  const auto incarnation = incarnations_.find(request.gateway);
  if (incarnation != incarnations_.end() && incarnation->second != request.gateway_incarnation) return true;
  const auto stalls = stalls_.find(request.gateway);
  if (stalls == stalls_.end()) return false;
  return std::any_of(stalls->second.begin(), stalls->second.end(), [&](const auto& span) {
    return span.first <= ended_at && span.second + kAfterStallTolerance >= request.arrived_at;
  });
}

void Observer::client_request_ended(ClientRecord client, const flightsql::QueryResult& result,
                                    bool cancelled) {
  client.ended_at = world_.now();
  const auto it = accepted_.find(client.tag);
  if (result.from_gateway) {
    client.responses = 1;
    client.end = audit::end_of(result.verdict);
  } else if (cancelled) {
    client.end = ClientRecord::End::kCancelled;
  } else if (it != accepted_.end() && result.status.code == rpc::Code::kDeadlineExceeded &&
             result.rows == 0 &&  // a streamed response may end after the deadline
             !is_excused(it->second, world_.now())) {
    client.end = ClientRecord::End::kNoResponse;
  } else {
    client.end = ClientRecord::End::kUnreachable;
  }
  ++ends_[client.end];
  log_event(client.tag + " ends: " + std::string(rpc::code_name(result.status.code)) +
            (result.from_gateway ? ", from the gateway"
             : cancelled         ? ", cancelled by the client"
                                 : ", no response"));
  client_requests_.erase(client.tag);
  if (it != accepted_.end() && !it->second.ended) {
    ended_at_client_[client.tag] = std::move(client);
    return;
  }
  if (it == accepted_.end()) {
    ended_before_arrival_[client.tag] = std::move(client);
    return;
  }
  rules_.request_ended(client);
  accepted_.erase(it);
}

// ---- Steps

void Observer::after_step() {
  // A ticket that was received and not used: the attempt was cancelled in between.
  for (const auto& key : received_tickets_) {
    const auto it = attempts_in_flight_.find(key);
    if (it == attempts_in_flight_.end() || !it->second) continue;
    rules_.attempt_ended(world_.now(), key.first, key.second, AttemptEnd::kResponded);
    attempts_in_flight_.erase(it);
  }
  received_tickets_.clear();
  for (; copied_rule_findings_ < rules_.findings().size(); ++copied_rule_findings_) {
    findings_.push_back(rules_.findings()[copied_rule_findings_]);
    log_event("BROKEN rule " + std::to_string(findings_.back().rule) + ": " + findings_.back().what);
  }
}

void Observer::violation(const std::string& what) {
  findings_.push_back({0, what});
  log_event("BROKEN: " + what);
}

}  // namespace sablelink::sim
