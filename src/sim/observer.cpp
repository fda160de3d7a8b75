#include "sim/observer.h"

#include <algorithm>

#include "flightsql/terms.h"

namespace sablelink::sim {
namespace {

using audit::AttemptOver;
using audit::ClientRecord;
using nodes::NodeEvent;

constexpr double kPlanWorkUs = 2'000;   // of a stand-in's planning call
constexpr TimeUs kOverLeeway = 2'000;   // from a call's deadline to its end at its server
constexpr TimeUs kStallLeeway = 5'000;  // to answer in, after a gateway stood still

std::string_view short_method(std::string_view method) { return method.substr(method.rfind('/') + 1); }

bool is_request(const CallFacts& call) {
  const std::string_view m = short_method(call.method);
  return m == "DoGet" || m == "DoPut";
}

// Also planning, which nodes are asked for as attempts.
bool is_attempt(const CallFacts& call) {
  const std::string_view m = short_method(call.method);
  return is_request(call) || m == "GetSchema" || m == "DoAction";
}

int attempt_number(const CallFacts& call) {
  return flightsql::find_number(call.metadata, flightsql::kAttemptKey, 0);
}

std::string request_of(const CallFacts& call) {
  return std::string(rpc::find_value(call.metadata, flightsql::kRequestKey));
}

std::string tag_of(const CallFacts& call) {
  return std::string(rpc::find_value(call.metadata, flightsql::kClientTagKey));
}

}  // namespace

Observer::Observer(World& world, audit::AuditSettings settings, const schemas::PlanningSettings& planning,
                   int planning_class)
    : world_(world), rules_(std::move(settings)), planning_(planning), planning_class_(planning_class) {}

Observer::~Observer() = default;

void Observer::asks(const ClientRecord& client, const std::string& statement) {
  tell(client.tag + " asks " + client.gateway + ": " + statement);
  asked_[client.tag] = client;
}

// ---- Sockets

void Observer::call_left(const CallFacts& call) {
  const std::string request = request_of(call);
  if (request.empty()) {  // a client's, or a probe
    if (short_method(call.method) == "GetSchema" && started_.contains(call.address))
      broken(call.client + " asks " + call.address + " for a plan beside the decision module");
    return;
  }
  const int number = attempt_number(call);
  const auto it = attempts_.find({request, number});
  if (it != attempts_.end() && it->second && is_attempt(call)) {
    it->second = false;
    return;
  }
  const std::string node = call.address;
  attempts_[{request, number}] = false;
  const std::string tag = tag_of(call);
  const auto asked = asked_.find(tag);
  const double work = asked != asked_.end() ? asked->second.asked_work_us : 0;
  if (tag.starts_with(flightsql::kPlanTag) && asked == asked_.end())
    broken(call.client + " sends a plan that it hasn't asked for: " + tag);
  tell(call.client + " sends " + request + " attempt " + std::to_string(number) + " (" + tag + ") to " +
       node);
  rules_.attempt_began(world_.now(), request, number, node, tag, work);
}

void Observer::plans(const std::string& gateway, const std::string& tag) {
  const TimeUs now = world_.now();
  tell(gateway + " plans " + tag);
  ++plans_made_;
  Plans& plans = plans_[gateway];
  const auto within = [&](const std::deque<TimeUs>& times) {
    return std::count_if(times.begin(), times.end(),
                         [&](TimeUs at) { return at > now - planning_.budget_window_us; });
  };
  plans.made.push_back(now);
  const double allowed = planning_.budget_base_calls +
                         planning_.budget_calls_per_statement * static_cast<double>(within(plans.asked));
  if (static_cast<double>(within(plans.made)) > allowed && !jumped_.contains(gateway))
    broken(gateway + " made " + std::to_string(within(plans.made)) + " planning calls in a window; " +
           std::to_string(allowed) + " were allowed");
  ClientRecord c;
  c.tag = tag;
  c.gateway = gateway;
  c.cls = planning_class_;
  c.asked_work_us = kPlanWorkUs;
  c.asked_at = now;
  c.due_at = now + planning_.call_timeout_us;
  asked_[tag] = c;
  rules_.asked(c);
}

void Observer::call_arrived(const CallFacts& call) {
  if (const std::string_view m = short_method(call.method);
      request_of(call).empty() && (m == "GetFlightInfo" || m == "GetSchema" || m == "DoAction"))
    plans_[call.server].asked.push_back(world_.now());
  if (!request_of(call).empty() || !is_request(call)) return;
  const std::string tag = tag_of(call);
  const auto asked = asked_.find(tag);
  const auto gone = gone_.find(tag);
  if (asked == asked_.end() && gone == gone_.end()) return;
  Taken& taken = taken_[tag];
  taken.arrived_at = world_.now();
  taken.deadline_at = call.deadline_at;
  taken.gateway = call.server;
  taken.gateway_life = lives_[call.server];
  tell(call.server + " takes " + tag);
  ClientRecord c = asked != asked_.end() ? asked->second : gone->second;
  c.asked_at = world_.now();  // as its gateway counts
  rules_.asked(c);
  if (gone == gone_.end()) return;
  ending_[tag] = std::move(gone->second);
  gone_.erase(gone);
}

void Observer::answer_left(const CallFacts& call, const rpc::Status& status) {
  if (!request_of(call).empty() || !is_request(call)) return;
  const auto it = taken_.find(tag_of(call));
  if (it == taken_.end()) return;
  it->second.answer_left_at = world_.now();
  tell(call.server + " answers " + it->first + " " + std::string(rpc::code_name(status.code)) +
       (status.message.empty() ? "" : ": " + status.message));
}

// Until a gateway hears that a client has gone, it may go on with its request.
void Observer::call_over_at_server(const CallFacts& call) {
  if (!request_of(call).empty() || !is_request(call)) return;
  const std::string tag = tag_of(call);
  const auto it = taken_.find(tag);
  if (it == taken_.end()) return;
  // Whatever its reader does, and whatever the network: the gateway knows the client's time.
  const Taken& t = it->second;
  if (t.deadline_at > 0 && world_.now() > t.deadline_at + kOverLeeway && !stood_still(t, world_.now()))
    broken(t.gateway + " kept the call of " + tag + " " + std::to_string(world_.now() - t.deadline_at) +
           " us longer than its client's time");
  it->second.over = true;
  const auto ending = ending_.find(tag);
  if (ending == ending_.end()) return;
  rules_.ended(ending->second);
  ending_.erase(ending);
  taken_.erase(it);
}

void Observer::answered_again(const CallFacts& call) {
  if (!request_of(call).empty()) return;
  all_.push_back({1, tag_of(call) + " was answered twice by " + call.server});
  tell("BROKEN rule 1: " + all_.back().what);
}

void Observer::call_over(const CallFacts& call, const rpc::CallResult& end, bool from_server) {
  const std::string request = request_of(call);
  if (request.empty()) return;
  const std::pair<std::string, int> key(request, attempt_number(call));
  const auto it = attempts_.find(key);
  if (it == attempts_.end()) return;
  if (!is_attempt(call) && end.status.ok()) {
    it->second = true;
    between_.push_back(key);
    return;
  }
  // A call for a ticket does no work, whatever became of it.
  const bool may_run_on = is_attempt(call) && !from_server;
  tell(call.client + " is through with " + request + " attempt " + std::to_string(key.second) + ": " +
       std::string(rpc::code_name(end.status.code)));
  rules_.attempt_over(world_.now(), request, key.second,
                      may_run_on ? AttemptOver::kMayRunOn : AttemptOver::kAnswered);
  attempts_.erase(it);
}

// ---- Nodes

void Observer::record(const NodeEvent& event) {
  switch (event.kind) {
    case NodeEvent::Kind::kStarted:
      tell(event.node + " starts");
      // A world begins with nodes that have run for long.
      rules_.node_started(world_.now(), event.node, !started_.insert(event.node).second);
      break;
    case NodeEvent::Kind::kArrived:
      tell(event.node + " has " + event.request + " attempt " + std::to_string(event.attempt));
      break;
    case NodeEvent::Kind::kEnded:
      tell(event.node + " ends " + event.request + " attempt " + std::to_string(event.attempt) +
           (event.done  ? ", done"
            : event.ran ? ", begun"
                        : ", not begun"));
      if (event.ran) rules_.attempt_ran(event.request, event.attempt);
      break;
    case NodeEvent::Kind::kFell:
      tell(event.node + " falls over");
      rules_.node_fell(world_.now(), event.node);
      break;
  }
}

void Observer::node_down(const std::string& node) { tell(node + " dies"); }

// ---- What the driver does

void Observer::told_leaves(const std::string& gateway, const std::string& node) {
  tell(gateway + " is told that " + node + " drains or is gone");
  rules_.told(world_.now(), gateway, node);
}

void Observer::told_ready(const std::string& gateway, const std::string& node) {
  tell(gateway + " is told that " + node + " is ready");
  rules_.told_ready(gateway, node);
}

void Observer::gateway_down(const std::string& gateway) {
  tell(gateway + " dies");
  ++lives_[gateway];
  plans_.erase(gateway);
  rules_.gateway_killed(world_.now(), gateway);
}

void Observer::gateway_up(const std::string& gateway) {
  tell(gateway + " starts");
  rules_.gateway_started(world_.now(), gateway);
}

void Observer::gateway_stalls(const std::string& gateway, TimeUs until) {
  tell(gateway + " stands still");
  stalls_[gateway].emplace_back(world_.now(), until);
}

void Observer::clock_jumps(const std::string& gateway, TimeUs by) {
  tell(gateway + "'s clock goes " + std::to_string(by) + " us forward");
  jumped_.insert(gateway);  // its windows aren't the world's any more
  rules_.clock_jumped(world_.now(), gateway, by);
}

// Whether a gateway that gave no answer in time couldn't: the answer left in time and was lost on its way,
// the gateway has died or stood still in that time.
bool Observer::excused(const Taken& taken, TimeUs ended_at) const {
  if (taken.answer_left_at != 0 && (taken.deadline_at == 0 || taken.answer_left_at <= taken.deadline_at))
    return true;
  // It came when the client's time was up already; a slow reader finds that out late.
  if (taken.deadline_at != 0 && taken.arrived_at > taken.deadline_at) return true;
  return stood_still(taken, ended_at);
}

bool Observer::stood_still(const Taken& taken, TimeUs ended_at) const {
  const auto life = lives_.find(taken.gateway);
  if (life != lives_.end() && life->second != taken.gateway_life) return true;
  const auto stalls = stalls_.find(taken.gateway);
  if (stalls == stalls_.end()) return false;
  return std::any_of(stalls->second.begin(), stalls->second.end(), [&](const auto& span) {
    return span.first <= ended_at && span.second + kStallLeeway >= taken.arrived_at;
  });
}

void Observer::client_ends(ClientRecord client, const flightsql::QueryResult& result, bool leaves) {
  client.ended_at = world_.now();
  const auto it = taken_.find(client.tag);
  if (result.from_gateway) {
    client.answers = 1;
    client.end = audit::end_of(result.verdict);
  } else if (leaves) {
    client.end = ClientRecord::End::kLeft;
  } else if (it != taken_.end() && result.status.code == rpc::Code::kDeadlineExceeded &&
             result.rows == 0 &&  // an answer that flows may outlast its client's time
             !excused(it->second, world_.now())) {
    client.end = ClientRecord::End::kNoAnswer;
  } else {
    client.end = ClientRecord::End::kUnreachable;
  }
  ++ends_[client.end];
  tell(client.tag + " ends: " + std::string(rpc::code_name(result.status.code)) +
       (result.from_gateway ? ", from the gateway"
        : leaves            ? ", it left"
                            : ", no answer"));
  asked_.erase(client.tag);
  if (it != taken_.end() && !it->second.over) {
    ending_[client.tag] = std::move(client);
    return;
  }
  if (it == taken_.end()) {
    gone_[client.tag] = std::move(client);
    return;
  }
  rules_.ended(client);
  taken_.erase(it);
}

// ---- Steps

void Observer::after_step() {
  // A ticket that was fetched and not used: the attempt was given up in between.
  for (const auto& key : between_) {
    const auto it = attempts_.find(key);
    if (it == attempts_.end() || !it->second) continue;
    rules_.attempt_over(world_.now(), key.first, key.second, AttemptOver::kAnswered);
    attempts_.erase(it);
  }
  between_.clear();
  for (; seen_ < rules_.findings().size(); ++seen_) {
    all_.push_back(rules_.findings()[seen_]);
    tell("BROKEN rule " + std::to_string(all_.back().rule) + ": " + all_.back().what);
  }
}

void Observer::broken(const std::string& what) {
  all_.push_back({0, what});
  tell("BROKEN: " + what);
}

}  // namespace sablelink::sim
