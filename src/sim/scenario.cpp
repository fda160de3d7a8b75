#include "sim/scenario.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "config/section.h"
#include "sim/random.h"

namespace sablelink::sim {
namespace {

constexpr TimeUs kMs = 1000, kSecond = 1'000'000;

constexpr std::array<const char*, kTroubles> kNames = {
    "node_crash",   "node_silence",   "node_hang",     "node_errors",   "answer_never",  "node_slow",
    "node_ageing",  "node_refuses",   "reports_stale", "drain",         "drain_late",    "deploy",
    "zone_loss",    "all_down",       "link_slow",     "link_cut",      "link_stalls",   "reset",
    "refused",      "swallowed",      "answer_lost",   "gateway_crash", "balancer_roll", "gateway_stall",
    "clock_jump",   "discovery_down", "list_shrinks",  "list_doubles",  "hot_caller",    "impatience",
    "client_reset", "memory_short",   "stale_start"};

struct ClassPlan {
  const char* name;
  double share, work_us, spread;  // work: median, spread of its logarithm
  double threads;
  TimeUs deadline_us;
};
constexpr ClassPlan kPlans[] = {
    {"lookup", 0.45, 8'000, 0.8, 1, 2 * kSecond},   {"report", 0.15, 150'000, 0.9, 2, 6 * kSecond},
    {"booking", 0.12, 12'000, 0.5, 1, 3 * kSecond}, {"ordered", 0.12, 10'000, 0.5, 1, 4 * kSecond},
    {"bound", 0.08, 15'000, 0.5, 1, 3 * kSecond},   {"keyed", 0.08, 12'000, 0.5, 1, 3 * kSecond}};

std::string named(const char* what, uint64_t number) {
  return std::string(what) + "/" + std::to_string(number);
}

// What all requests and troubles of a world have in common.
struct Character {
  // Every other request is a report, and the nodes go down and come back one by one: only so much work can
  // push a cold node over.
  bool heavy;
  // Most troubles come together, and the load with them; 0: they don't. In half of the worlds, and in the
  // heavy ones always.
  TimeUs storm;
  TimeUs burst;  // a quarter of the requests come at once
};

Character character_of(const Scenario& s) {
  Character c;
  c.heavy = RandomStream(s.seed, "heavy").chance(0.2);
  RandomStream random(s.seed, "storm");
  const TimeUs at = random.between(2 * kSecond, s.length_us / 2);
  c.storm = c.heavy || random.chance(0.5) ? at : 0;
  c.burst = RandomStream(s.seed, "burst").between(kSecond, s.length_us - kSecond);
  return c;
}

// What the request reads and how, from a stream of its own.
void make_reader(const Scenario& s, RequestEvent* r) {
  RandomStream random(s.seed, named("reader", r->number));
  // Often of a few shapes, now and then of one that nobody else has.
  constexpr const char* kSelects[] = {"*", "id, label", "weight, id", "label, 'x', 4", "taken_at, *"};
  r->select = kSelects[random.below(5)];
  if (random.chance(0.06)) r->select = "id, " + std::to_string(random.below(100'000)) + ", label";
  if (random.chance(0.06)) {
    constexpr const char* kMishaps[] = {"error", "refuse", "hang", "lost", "reset", "statement"};
    r->plan_mishap = kMishaps[random.below(6)];
  }
  if (!random.chance(0.08)) return;
  // More than is held back, in many messages.
  r->rows = static_cast<int>(random.between(30, 300));
  r->row_bytes = static_cast<size_t>(random.between(200, 900));
  if (random.chance(0.3)) r->read_every_us = random.between(kMs, 40 * kMs);
  if (random.chance(0.15)) r->stops_after = static_cast<int>(random.below(12));
  // Some leave while bytes wait for them, or see their node break off in the middle.
  if (r->read_every_us > 0 && random.chance(0.3))
    r->leaves_after_us = random.between(r->patience_us / 4, r->patience_us);
  if (random.chance(0.15)) r->mishap = "break";
}

RequestEvent make_request(const Scenario& s, const Character& world, uint64_t number) {
  RandomStream random(s.seed, named("request", number));
  RequestEvent r;
  r.number = number;
  // Some come one by one, some all at once.
  const TimeUs in_burst = random.between(0, 200 * kMs);
  const TimeUs anywhere = random.between(0, s.length_us);
  const double when = random.uniform();
  r.at = when < 0.25                     ? world.burst + in_burst
         : world.storm > 0 && when < 0.6 ? world.storm + in_burst * 10
                                         : anywhere;
  r.desk = static_cast<int>(random.below(s.desks));
  r.gateway = static_cast<int>(random.below(s.gateways));
  double draw = random.uniform();
  const ClassPlan* plan = &kPlans[0];
  for (const ClassPlan& p : kPlans) {
    plan = &p;
    if ((draw -= p.share) < 0) break;
  }
  if (random.chance(0.5) && world.heavy) plan = &kPlans[1];
  r.cls = plan->name;
  // A sum of uniforms is near enough to a normal draw, and the same on every machine.
  double z = -6;
  for (int i = 0; i < 12; ++i) z += random.uniform();
  // Nobody tells what a query costs, so a single one must not be able to push a cold node over.
  r.work_us = std::clamp(
      static_cast<double>(static_cast<int64_t>(plan->work_us * std::exp(plan->spread * z))), 1.0, 600'000.0);
  r.threads = plan->threads;
  r.memory_mb = static_cast<double>(plan == &kPlans[1] ? random.between(64, 1536) : random.between(8, 64));
  r.rows =
      random.chance(0.05) ? static_cast<int>(random.between(500, 4000)) : static_cast<int>(random.below(20));
  if (r.cls == "ordered" || r.cls == "keyed") r.key = "k" + std::to_string(random.below(4));
  r.patience_us =
      static_cast<TimeUs>(static_cast<double>(plan->deadline_us) * (0.4 + 0.6 * random.uniform()));
  if (random.chance(0.03)) r.patience_us = random.between(5 * kMs, 120 * kMs);  // little time left
  if (random.chance(0.05)) r.leaves_after_us = random.between(kMs, r.patience_us);
  r.tries = random.chance(0.5) ? 3 : 1;
  if (random.chance(0.04)) {
    constexpr const char* kMishaps[] = {"error", "refuse", "hang", "lost", "reset", "break"};
    r.mishap = kMishaps[random.below(6)];
  }
  make_reader(s, &r);
  return r;
}

TroubleEvent make_trouble(const Scenario& s, const Character& world, uint64_t number) {
  RandomStream random(s.seed, named("trouble", number));
  TroubleEvent t;
  t.number = number;
  t.kind = static_cast<Trouble>(random.below(kTroubles));
  t.at = random.between(500 * kMs, s.length_us * 3 / 4);
  const TimeUs in_storm = random.between(0, 500 * kMs);
  if (random.chance(0.7) && world.storm > 0) t.at = world.storm + in_storm;
  t.how_long = random.between(50 * kMs, 4 * kSecond);
  t.target = static_cast<int>(random.below(64));
  t.second = static_cast<int>(random.below(64));
  switch (t.kind) {
    case Trouble::kNodeSlow:
    case Trouble::kNodeAgeing:
      t.value = 2 + 8 * random.uniform();
      break;
    case Trouble::kLinkSlow:
      t.value = 5 + 200 * random.uniform();  // ms
      break;
    case Trouble::kAnswerLost:
      t.value = static_cast<double>(random.between(1, 8));
      break;
    case Trouble::kHotCaller:
      t.value = static_cast<double>(random.between(20, 60));  // requests
      break;
    case Trouble::kMemoryShort:
      t.value = 0.01 + 0.2 * random.uniform();
      break;
    case Trouble::kStaleStart:
      t.value = static_cast<double>(random.between(50, 1000));  // ms
      break;
    case Trouble::kImpatience:
      t.value = 0.5;
      break;
    case Trouble::kGatewayStall:
    case Trouble::kClockJump:
      t.how_long = random.between(5 * kMs, 1500 * kMs);
      break;
    case Trouble::kDeploy:
    case Trouble::kGatewayRoll:
      t.how_long = random.between(200 * kMs, 800 * kMs);  // a node's turn
      break;
    default:
      break;
  }
  return t;
}

std::string time_text(TimeUs us) { return "\"" + std::to_string(us) + "us\""; }

std::string number_text(double value) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.17g", value);
  // TOML tells integers from other numbers; the reader takes both.
  return text;
}

}  // namespace

const char* trouble_name(Trouble trouble) { return kNames[static_cast<int>(trouble)]; }

Scenario make_scenario(uint64_t seed) {
  Scenario s;
  s.name = "seed " + std::to_string(seed);
  s.seed = seed;
  RandomStream random(seed, "world");
  s.gateways = static_cast<int>(random.between(3, 4));
  s.nodes = static_cast<int>(random.between(8, 10));
  s.zones = static_cast<int>(random.between(1, 3));
  s.probes = random.chance(0.5);
  const auto requests = static_cast<uint64_t>(random.between(300, 360));
  const Character world = character_of(s);
  for (uint64_t i = 1; i <= requests; ++i) s.requests.push_back(make_request(s, world, i));
  const auto troubles = static_cast<uint64_t>(random.between(3, 8));
  for (uint64_t i = 1; i <= troubles; ++i) s.troubles.push_back(make_trouble(s, world, i));
  if (world.heavy) {
    TroubleEvent& first = s.troubles.front();
    first.kind = Trouble::kAllDown;
    first.at = world.storm;
    first.how_long = 300 * kMs + first.how_long / 8;
    first.second |= 1;
  }
  return s;
}

Scenario parse_scenario(std::string_view text, const std::string& file) {
  constexpr TimeUs kMost = 3600 * kSecond;
  config::Section root = config::Section::parse(text, file);
  Scenario s;
  config::Section world = root.table("world");
  s.name = world.string("name", file);
  s.seed = static_cast<uint64_t>(world.integer("seed", 0, INT64_MAX, 1));
  s.gateways = static_cast<int>(world.integer("gateways", 1, 300, s.gateways));
  s.nodes = static_cast<int>(world.integer("nodes", 1, 1000, s.nodes));
  s.zones = static_cast<int>(world.integer("zones", 1, 16, s.zones));
  s.desks = static_cast<int>(world.integer("desks", 1, 1000, s.desks));
  s.cores = world.number("cores", 1, 1000, s.cores);
  s.length_us = world.duration("length", s.length_us);
  s.probes = world.boolean("probes", s.probes);
  if (s.length_us < 3 * kSecond || s.length_us > kMost) world.fail("length", "is not from 3s to 1h");
  // So many requests drawn from the seed, besides those told one by one.
  const auto drawn = static_cast<uint64_t>(world.integer("requests", 0, 10'000'000, 0));
  world.reject_unknown_keys();
  const Character character = character_of(s);
  for (uint64_t i = 1; i <= drawn; ++i) s.requests.push_back(make_request(s, character, i));
  uint64_t next = 1'000'000;
  for (config::Section& r : root.tables("request")) {
    RequestEvent e;
    e.number = static_cast<uint64_t>(r.integer("number", 0, INT64_MAX, static_cast<int64_t>(next++)));
    e.at = r.duration("at", 0);
    e.desk = static_cast<int>(r.integer("desk", 0, 1000, 0));
    e.gateway = static_cast<int>(r.integer("gateway", 0, 1000, 0));
    e.cls = r.string("class", "lookup");
    if (std::find(kClasses.begin(), kClasses.end(), e.cls) == kClasses.end())
      r.fail("class", "'" + e.cls + "' is no class of the simulation");
    e.key = r.string("key", "");
    e.work_us = static_cast<double>(r.duration("work", 10 * kMs));
    e.threads = r.number("threads", 0.1, 1000, 1);
    e.memory_mb = r.number("memory", 0, 1e6, 16);
    e.rows = static_cast<int>(r.integer("rows", 0, 1'000'000, 3));
    e.row_bytes = r.byte_size("row_bytes", 16);
    e.select = r.string("select", "*");
    e.read_every_us = r.duration("reads_every", 0);
    e.stops_after = static_cast<int>(r.integer("stops_after", -1, 1'000'000, -1));
    e.plan_mishap = r.string("plan_mishap", "");
    e.patience_us = r.duration("patience", 2 * kSecond);
    e.leaves_after_us = r.duration("leaves_after", 0);
    e.tries = static_cast<int>(r.integer("tries", 1, 100, 1));
    e.mishap = r.string("mishap", "");
    r.reject_unknown_keys();
    s.requests.push_back(std::move(e));
  }
  std::vector<std::pair<std::string, Trouble>> words;
  for (int i = 0; i < kTroubles; ++i) words.emplace_back(kNames[i], static_cast<Trouble>(i));
  next = 1'000'000;
  for (config::Section& t : root.tables("trouble")) {
    TroubleEvent e;
    e.number = static_cast<uint64_t>(t.integer("number", 0, INT64_MAX, static_cast<int64_t>(next++)));
    e.kind = t.one_of<Trouble>("kind", words, std::nullopt);
    e.at = t.duration("at", 0);
    e.how_long = t.duration("for", kSecond);
    e.target = static_cast<int>(t.integer("target", 0, 100'000, 0));
    e.second = static_cast<int>(t.integer("second", 0, 100'000, 0));
    e.value = t.number("value", 0, 1e9, 0);
    t.reject_unknown_keys();
    s.troubles.push_back(e);
  }
  root.reject_unknown_keys();
  return s;
}

std::string to_toml(const Scenario& s) {
  std::string out = "[world]\nname = \"" + s.name + "\"\nseed = " + std::to_string(s.seed) +
                    "\ngateways = " + std::to_string(s.gateways) + "\nnodes = " + std::to_string(s.nodes) +
                    "\nzones = " + std::to_string(s.zones) + "\ndesks = " + std::to_string(s.desks) +
                    "\ncores = " + number_text(s.cores) + "\nlength = " + time_text(s.length_us) +
                    "\nprobes = " + (s.probes ? "true" : "false") + "\n";
  for (const TroubleEvent& t : s.troubles) {
    out += "\n[[trouble]]\nnumber = " + std::to_string(t.number) + "\nkind = \"" + trouble_name(t.kind) +
           "\"\nat = " + time_text(t.at) + "\nfor = " + time_text(t.how_long) +
           "\ntarget = " + std::to_string(t.target) + "\nsecond = " + std::to_string(t.second) +
           "\nvalue = " + number_text(t.value) + "\n";
  }
  for (const RequestEvent& r : s.requests) {
    out += "\n[[request]]\nnumber = " + std::to_string(r.number) + "\nat = " + time_text(r.at) +
           "\ndesk = " + std::to_string(r.desk) + "\ngateway = " + std::to_string(r.gateway) +
           "\nclass = \"" + r.cls + "\"\n";
    if (!r.key.empty()) out += "key = \"" + r.key + "\"\n";
    out += "work = " + time_text(static_cast<TimeUs>(r.work_us)) + "\nthreads = " + number_text(r.threads) +
           "\nmemory = " + number_text(r.memory_mb) + "\nrows = " + std::to_string(r.rows) +
           "\nrow_bytes = " + std::to_string(r.row_bytes) + "\nselect = \"" + r.select +
           "\"\npatience = " + time_text(r.patience_us) + "\n";
    if (r.read_every_us > 0) out += "reads_every = " + time_text(r.read_every_us) + "\n";
    if (r.stops_after >= 0) out += "stops_after = " + std::to_string(r.stops_after) + "\n";
    if (!r.plan_mishap.empty()) out += "plan_mishap = \"" + r.plan_mishap + "\"\n";
    if (r.leaves_after_us > 0) out += "leaves_after = " + time_text(r.leaves_after_us) + "\n";
    out += "tries = " + std::to_string(r.tries) + "\n";
    if (!r.mishap.empty()) out += "mishap = \"" + r.mishap + "\"\n";
  }
  return out;
}

}  // namespace sablelink::sim
