#include "sim/scenario.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "config/section.h"
#include "sim/random.h"

namespace sablelink::sim {
namespace {

constexpr TimeUs kMs = 1000, kSecond = 1'000'000;

constexpr std::array<const char*, kFaultKinds> kFaultNames = {
    "node_crash",   "node_silence",   "node_hang",     "node_errors",   "answer_never",  "node_slow",
    "node_ageing",  "node_refuses",   "reports_stale", "drain",         "drain_late",    "deploy",
    "zone_loss",    "all_down",       "link_slow",     "link_cut",      "link_stalls",   "reset",
    "refused",      "swallowed",      "answer_lost",   "gateway_crash", "balancer_roll", "gateway_stall",
    "clock_jump",   "discovery_down", "list_shrinks",  "list_doubles",  "hot_caller",    "impatience",
    "client_reset", "memory_short",   "stale_start"};

struct ClassTraffic {
  const char* name;
  double fraction, median_work_us, work_log_stddev;
  double threads;
  TimeUs deadline_us;
};
constexpr ClassTraffic kClassTraffic[] = {
    {"lookup", 0.45, 8'000, 0.8, 1, 2 * kSecond},   {"report", 0.15, 150'000, 0.9, 2, 6 * kSecond},
    {"booking", 0.12, 12'000, 0.5, 1, 3 * kSecond}, {"ordered", 0.12, 10'000, 0.5, 1, 4 * kSecond},
    {"bound", 0.08, 15'000, 0.5, 1, 3 * kSecond},   {"keyed", 0.08, 12'000, 0.5, 1, 3 * kSecond}};

std::string stream_name(const char* what, uint64_t number) {
  return std::string(what) + "/" + std::to_string(number);
}

// Properties of a scenario that all its requests and faults depend on.
struct ScenarioTraits {
  // More than half of the requests are reports, and all nodes crash and restart one by one. Less work
  // would not make a node that is warming up collapse.
  bool heavy_load;
  // The time at which most faults and about a third of the requests start together; 0: they are spread over
  // the run. Set in all scenarios of heavy load and in half of the others.
  TimeUs fault_burst_at;
  TimeUs request_burst_at;  // a quarter of the requests start within 200 ms of this
};

ScenarioTraits traits_of(const Scenario& s) {
  ScenarioTraits traits;
  traits.heavy_load = RandomStream(s.seed, "heavy").chance(0.2);
  RandomStream random(s.seed, "storm");
  const TimeUs at = random.between(2 * kSecond, s.duration_us / 2);
  traits.fault_burst_at = traits.heavy_load || random.chance(0.5) ? at : 0;
  traits.request_burst_at = RandomStream(s.seed, "burst").between(kSecond, s.duration_us - kSecond);
  return traits;
}

// Sets the columns to select and how the client reads the response, from a random stream of its own.
void add_read_behavior(const Scenario& s, RequestEvent* r) {
  RandomStream random(s.seed, stream_name("reader", r->number));
  // Mostly one of a few select lists, rarely one that no other request has: both hits and misses of the
  // schema cache.
  constexpr const char* kSelectLists[] = {"*", "id, label", "weight, id", "label, 'x', 4", "taken_at, *"};
  r->select_list = kSelectLists[random.below(5)];
  if (random.chance(0.06)) r->select_list = "id, " + std::to_string(random.below(100'000)) + ", label";
  if (random.chance(0.06)) {
    constexpr const char* kFaultHints[] = {"error", "refuse", "hang", "lost", "reset", "statement"};
    r->planning_fault = kFaultHints[random.below(6)];
  }
  if (!random.chance(0.08)) return;
  // A response larger than the gateway buffers, in many messages.
  r->rows = static_cast<int>(random.between(30, 300));
  r->row_bytes = static_cast<size_t>(random.between(200, 900));
  if (random.chance(0.3)) r->read_interval_us = random.between(kMs, 40 * kMs);
  if (random.chance(0.15)) r->max_messages_read = static_cast<int>(random.below(12));
  // Some cancel while response bytes are buffered for them, or their node breaks off in the middle of a
  // response.
  if (r->read_interval_us > 0 && random.chance(0.3))
    r->cancel_after_us = random.between(r->timeout_us / 4, r->timeout_us);
  if (random.chance(0.15)) r->query_fault = "break";
}

RequestEvent make_request(const Scenario& s, const ScenarioTraits& traits, uint64_t number) {
  RandomStream random(s.seed, stream_name("request", number));
  RequestEvent r;
  r.number = number;
  // Spread over the run, or within one of the bursts.
  const TimeUs in_request_burst = random.between(0, 200 * kMs);
  const TimeUs in_run = random.between(0, s.duration_us);
  const double start_choice = random.uniform();
  r.at = start_choice < 0.25                               ? traits.request_burst_at + in_request_burst
         : traits.fault_burst_at > 0 && start_choice < 0.6 ? traits.fault_burst_at + in_request_burst * 10
                                                           : in_run;
  r.client_process = static_cast<int>(random.below(s.client_processes));
  r.gateway = static_cast<int>(random.below(s.gateways));
  double remaining = random.uniform();
  const ClassTraffic* traffic = &kClassTraffic[0];
  for (const ClassTraffic& next : kClassTraffic) {
    traffic = &next;
    if ((remaining -= next.fraction) < 0) break;
  }
  if (random.chance(0.5) && traits.heavy_load) traffic = &kClassTraffic[1];
  r.cls = traffic->name;
  // A sum of uniform numbers approximates a normal distribution and is the same on every machine.
  double standard_normal = -6;
  for (int i = 0; i < 12; ++i) standard_normal += random.uniform();
  // The gateway doesn't know the work of a query in advance, so a single one must not make a warming node
  // collapse.
  r.work_us = std::clamp(static_cast<double>(static_cast<int64_t>(
                             traffic->median_work_us * std::exp(traffic->work_log_stddev * standard_normal))),
                         1.0, 600'000.0);
  r.threads = traffic->threads;
  r.memory_mb =
      static_cast<double>(traffic == &kClassTraffic[1] ? random.between(64, 1536) : random.between(8, 64));
  r.rows =
      random.chance(0.05) ? static_cast<int>(random.between(500, 4000)) : static_cast<int>(random.below(20));
  if (r.cls == "ordered" || r.cls == "keyed") r.key = "k" + std::to_string(random.below(4));
  r.timeout_us =
      static_cast<TimeUs>(static_cast<double>(traffic->deadline_us) * (0.4 + 0.6 * random.uniform()));
  if (random.chance(0.03)) r.timeout_us = random.between(5 * kMs, 120 * kMs);  // a nearly expired deadline
  if (random.chance(0.05)) r.cancel_after_us = random.between(kMs, r.timeout_us);
  r.max_attempts = random.chance(0.5) ? 3 : 1;
  if (random.chance(0.04)) {
    constexpr const char* kFaultHints[] = {"error", "refuse", "hang", "lost", "reset", "break"};
    r.query_fault = kFaultHints[random.below(6)];
  }
  add_read_behavior(s, &r);
  return r;
}

FaultEvent make_fault(const Scenario& s, const ScenarioTraits& traits, uint64_t number) {
  RandomStream random(s.seed, stream_name("trouble", number));
  FaultEvent fault;
  fault.number = number;
  fault.kind = static_cast<FaultKind>(random.below(kFaultKinds));
  fault.at = random.between(500 * kMs, s.duration_us * 3 / 4);
  const TimeUs in_fault_burst = random.between(0, 500 * kMs);
  if (random.chance(0.7) && traits.fault_burst_at > 0) fault.at = traits.fault_burst_at + in_fault_burst;
  fault.duration = random.between(50 * kMs, 4 * kSecond);
  fault.target = static_cast<int>(random.below(64));
  fault.peer = static_cast<int>(random.below(64));
  switch (fault.kind) {
    case FaultKind::kNodeSlow:
    case FaultKind::kNodeGradualSlowdown:
      fault.value = 2 + 8 * random.uniform();
      break;
    case FaultKind::kLinkDelay:
      fault.value = 5 + 200 * random.uniform();  // ms
      break;
    case FaultKind::kResponseLost:
      fault.value = static_cast<double>(random.between(1, 8));
      break;
    case FaultKind::kHotKey:
      fault.value = static_cast<double>(random.between(20, 60));  // additional requests
      break;
    case FaultKind::kMemoryShortage:
      fault.value = 0.01 + 0.2 * random.uniform();
      break;
    case FaultKind::kGatewayStaleStart:
      fault.value = static_cast<double>(random.between(50, 1000));  // ms
      break;
    case FaultKind::kEarlyCancels:
      fault.value = 0.5;
      break;
    case FaultKind::kGatewayStall:
    case FaultKind::kClockJump:
      fault.duration = random.between(5 * kMs, 1500 * kMs);
      break;
    case FaultKind::kRollingDeploy:
    case FaultKind::kGatewayRollingRestart:
      fault.duration = random.between(200 * kMs, 800 * kMs);  // per node or gateway
      break;
    default:
      break;
  }
  return fault;
}

std::string format_time(TimeUs us) { return "\"" + std::to_string(us) + "us\""; }

std::string format_number(double value) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.17g", value);
  // Whole numbers are written as TOML integers, which the parser accepts for numbers too.
  return text;
}

}  // namespace

const char* fault_name(FaultKind kind) { return kFaultNames[static_cast<int>(kind)]; }

Scenario make_scenario(uint64_t seed) {
  Scenario s;
  s.name = "seed " + std::to_string(seed);
  s.seed = seed;
  RandomStream random(seed, "world");
  s.gateways = static_cast<int>(random.between(3, 4));
  s.nodes = static_cast<int>(random.between(8, 10));
  s.zones = static_cast<int>(random.between(1, 3));
  s.health_checks = random.chance(0.5);
  const auto requests = static_cast<uint64_t>(random.between(300, 360));
  const ScenarioTraits traits = traits_of(s);
  for (uint64_t i = 1; i <= requests; ++i) s.requests.push_back(make_request(s, traits, i));
  const auto faults = static_cast<uint64_t>(random.between(3, 8));
  for (uint64_t i = 1; i <= faults; ++i) s.faults.push_back(make_fault(s, traits, i));
  if (traits.heavy_load) {
    FaultEvent& first = s.faults.front();
    first.kind = FaultKind::kAllNodesDown;
    first.at = traits.fault_burst_at;
    first.duration = 300 * kMs + first.duration / 8;
    first.peer |= 1;
  }
  return s;
}

Scenario parse_scenario(std::string_view text, const std::string& file) {
  constexpr TimeUs kMaxDuration = 3600 * kSecond;
  config::Section root = config::Section::parse(text, file);
  Scenario s;
  config::Section world = root.table("world");
  s.name = world.string("name", file);
  s.seed = static_cast<uint64_t>(world.integer("seed", 0, INT64_MAX, 1));
  s.gateways = static_cast<int>(world.integer("gateways", 1, 300, s.gateways));
  s.nodes = static_cast<int>(world.integer("nodes", 1, 1000, s.nodes));
  s.zones = static_cast<int>(world.integer("zones", 1, 16, s.zones));
  s.client_processes = static_cast<int>(world.integer("desks", 1, 1000, s.client_processes));
  s.node_cores = world.number("cores", 1, 1000, s.node_cores);
  s.duration_us = world.duration("length", s.duration_us);
  s.health_checks = world.boolean("probes", s.health_checks);
  if (s.duration_us < 3 * kSecond || s.duration_us > kMaxDuration)
    world.fail("length", "must be from 3s to 1h");
  // The number of requests to generate from the seed, besides those listed in the file.
  const auto generated = static_cast<uint64_t>(world.integer("requests", 0, 10'000'000, 0));
  world.reject_unknown_keys();
  const ScenarioTraits traits = traits_of(s);
  for (uint64_t i = 1; i <= generated; ++i) s.requests.push_back(make_request(s, traits, i));
  uint64_t next = 1'000'000;
  for (config::Section& r : root.tables("request")) {
    RequestEvent e;
    e.number = static_cast<uint64_t>(r.integer("number", 0, INT64_MAX, static_cast<int64_t>(next++)));
    e.at = r.duration("at", 0);
    e.client_process = static_cast<int>(r.integer("desk", 0, 1000, 0));
    e.gateway = static_cast<int>(r.integer("gateway", 0, 1000, 0));
    e.cls = r.string("class", "lookup");
    if (std::find(kClasses.begin(), kClasses.end(), e.cls) == kClasses.end())
      r.fail("class", "'" + e.cls + "' is not a class of the simulation");
    e.key = r.string("key", "");
    e.work_us = static_cast<double>(r.duration("work", 10 * kMs));
    e.threads = r.number("threads", 0.1, 1000, 1);
    e.memory_mb = r.number("memory", 0, 1e6, 16);
    e.rows = static_cast<int>(r.integer("rows", 0, 1'000'000, 3));
    e.row_bytes = r.byte_size("row_bytes", 16);
    e.select_list = r.string("select", "*");
    e.read_interval_us = r.duration("reads_every", 0);
    e.max_messages_read = static_cast<int>(r.integer("stops_after", -1, 1'000'000, -1));
    e.planning_fault = r.string("plan_mishap", "");
    e.timeout_us = r.duration("patience", 2 * kSecond);
    e.cancel_after_us = r.duration("leaves_after", 0);
    e.max_attempts = static_cast<int>(r.integer("tries", 1, 100, 1));
    e.query_fault = r.string("mishap", "");
    r.reject_unknown_keys();
    s.requests.push_back(std::move(e));
  }
  std::vector<std::pair<std::string, FaultKind>> kinds;
  for (int i = 0; i < kFaultKinds; ++i) kinds.emplace_back(kFaultNames[i], static_cast<FaultKind>(i));
  next = 1'000'000;
  for (config::Section& fault : root.tables("trouble")) {
    FaultEvent e;
    e.number = static_cast<uint64_t>(fault.integer("number", 0, INT64_MAX, static_cast<int64_t>(next++)));
    e.kind = fault.one_of<FaultKind>("kind", kinds, std::nullopt);
    e.at = fault.duration("at", 0);
    e.duration = fault.duration("for", kSecond);
    e.target = static_cast<int>(fault.integer("target", 0, 100'000, 0));
    e.peer = static_cast<int>(fault.integer("second", 0, 100'000, 0));
    e.value = fault.number("value", 0, 1e9, 0);
    fault.reject_unknown_keys();
    s.faults.push_back(e);
  }
  root.reject_unknown_keys();
  return s;
}

std::string to_toml(const Scenario& s) {
  std::string out = "[world]\nname = \"" + s.name + "\"\nseed = " + std::to_string(s.seed) +
                    "\ngateways = " + std::to_string(s.gateways) + "\nnodes = " + std::to_string(s.nodes) +
                    "\nzones = " + std::to_string(s.zones) +
                    "\ndesks = " + std::to_string(s.client_processes) +
                    "\ncores = " + format_number(s.node_cores) + "\nlength = " + format_time(s.duration_us) +
                    "\nprobes = " + (s.health_checks ? "true" : "false") + "\n";
  for (const FaultEvent& fault : s.faults) {
    out += "\n[[trouble]]\nnumber = " + std::to_string(fault.number) + "\nkind = \"" +
           fault_name(fault.kind) + "\"\nat = " + format_time(fault.at) +
           "\nfor = " + format_time(fault.duration) + "\ntarget = " + std::to_string(fault.target) +
           "\nsecond = " + std::to_string(fault.peer) + "\nvalue = " + format_number(fault.value) + "\n";
  }
  for (const RequestEvent& r : s.requests) {
    out += "\n[[request]]\nnumber = " + std::to_string(r.number) + "\nat = " + format_time(r.at) +
           "\ndesk = " + std::to_string(r.client_process) + "\ngateway = " + std::to_string(r.gateway) +
           "\nclass = \"" + r.cls + "\"\n";
    if (!r.key.empty()) out += "key = \"" + r.key + "\"\n";
    out += "work = " + format_time(static_cast<TimeUs>(r.work_us)) +
           "\nthreads = " + format_number(r.threads) + "\nmemory = " + format_number(r.memory_mb) +
           "\nrows = " + std::to_string(r.rows) + "\nrow_bytes = " + std::to_string(r.row_bytes) +
           "\nselect = \"" + r.select_list + "\"\npatience = " + format_time(r.timeout_us) + "\n";
    if (r.read_interval_us > 0) out += "reads_every = " + format_time(r.read_interval_us) + "\n";
    if (r.max_messages_read >= 0) out += "stops_after = " + std::to_string(r.max_messages_read) + "\n";
    if (!r.planning_fault.empty()) out += "plan_mishap = \"" + r.planning_fault + "\"\n";
    if (r.cancel_after_us > 0) out += "leaves_after = " + format_time(r.cancel_after_us) + "\n";
    out += "tries = " + std::to_string(r.max_attempts) + "\n";
    if (!r.query_fault.empty()) out += "mishap = \"" + r.query_fault + "\"\n";
  }
  return out;
}

}  // namespace sablelink::sim
