#include "workload/settings_parser.h"

#include <cerrno>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

namespace sablelink {
namespace {

using Pairs = std::map<std::string, std::string, std::less<>>;

Pairs split_pairs(std::string_view text) {
  Pairs pairs;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const size_t eq = line.find('=');
    if (eq != std::string_view::npos) pairs[std::string(line.substr(0, eq))] = line.substr(eq + 1);
  }
  return pairs;
}

std::vector<std::string> split_list(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty()) {
    const size_t comma = text.find(',');
    items.emplace_back(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return items;
}

double to_number(const std::string& key, const std::string& value) {
  char* end = nullptr;
  errno = 0;
  const double number = std::strtod(value.c_str(), &end);
  if (value.empty() || *end != '\0' || errno == ERANGE || !std::isfinite(number)) {
    throw SettingsError("settings: " + key + " is not a number: '" + value + "'");
  }
  return number;
}

bool to_bool(const std::string& key, const std::string& value) {
  if (value == "true") return true;
  if (value == "false") return false;
  throw SettingsError("settings: " + key + " is neither true nor false: '" + value + "'");
}

// Reads typed values by key and leaves the target alone where the key is missing or empty.
class Reader {
 public:
  explicit Reader(std::string_view text) : pairs_(split_pairs(text)) {}

  const std::string* find(const std::string& key) const {
    const auto it = pairs_.find(key);
    return it == pairs_.end() || it->second.empty() ? nullptr : &it->second;
  }
  bool has(const std::string& key) const { return find(key) != nullptr; }

  template <typename T>
  void number(const std::string& key, T& out) const {
    if (const std::string* v = find(key)) out = static_cast<T>(to_number(key, *v));
  }
  void flag(const std::string& key, bool& out) const {
    if (const std::string* v = find(key)) out = to_bool(key, *v);
  }
  template <typename T>
  void numbers(const std::string& key, std::vector<T>& out) const {
    if (const std::string* v = find(key)) {
      out.clear();
      for (const std::string& item : split_list(*v)) out.push_back(static_cast<T>(to_number(key, item)));
    }
  }
  template <typename T>
  void word(const std::string& key, const std::map<std::string, T>& words, T& out) const {
    const std::string* v = find(key);
    if (v == nullptr) return;
    const auto it = words.find(*v);
    if (it == words.end()) throw SettingsError("settings: " + key + " has an unknown value: '" + *v + "'");
    out = it->second;
  }
  // Kinds and zones may be listed by index or by name; names lists them in order.
  void indices(const std::string& key, const std::string& names_key, std::vector<int>& out) const {
    const std::string* v = find(key);
    if (v == nullptr) return;
    const std::string* known = find(names_key);
    const std::vector<std::string> names = split_list(known ? *known : "");
    for (const std::string& item : split_list(*v)) {
      size_t i = 0;
      while (i < names.size() && names[i] != item) ++i;
      out.push_back(i < names.size() ? static_cast<int>(i) : static_cast<int>(to_number(key, item)));
    }
  }

 private:
  Pairs pairs_;
};

void read_class(const Reader& in, int index, ClassSettings& c) {
  const std::string p = "Services." + std::to_string(index) + ".";
  if (!in.has(p + "AimUs") || !in.has(p + "DeadlineUs")) {
    throw SettingsError("settings: " + p + (in.has(p + "AimUs") ? "DeadlineUs" : "AimUs") + " is missing");
  }
  in.number(p + "AimUs", c.latency_objective_us);
  in.number(p + "AimStretch", c.latency_objective_stretch);
  in.number(p + "DeadlineUs", c.request_timeout_us);
  in.number(p + "Worth", c.priority_weight);
  in.number(p + "LateWorth", c.late_weight_fraction);
  in.word(p + "Repeat",
          {{"retryable", Idempotency::kIdempotent},
           {"dedup", Idempotency::kIdempotentWithKey},
           {"fragile", Idempotency::kNotIdempotent}},
          c.idempotency);
  in.word(p + "KeyScope",
          {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}},
          c.dedup_scope);
  in.number(p + "WindowUs", c.dedup_window_us);
  in.flag(p + "Stream", c.streams_response);
  in.flag(p + "ByArrival", c.ordered_by_key);
  in.indices(p + "StaysIn", "Zones", c.allowed_zones);
  in.indices(p + "RunsOn", "Flavors", c.allowed_engine_types);
}

// Tenants come as a list of objects; some deployments have none.
void read_tenants(const Reader& in, Settings& s) {
  int tenants = 0;
  in.number("Tenants.count", tenants);
  if (tenants < 0 || tenants > 65536) throw SettingsError("settings: Tenants.count is not usable");
  s.tenants.resize(tenants);
  for (int i = 0; i < tenants; ++i) {
    const std::string key = "Tenants." + std::to_string(i) + ".AllowancePerS";
    in.number(key, s.tenants[i].quota_requests_per_s);
    if (s.tenants[i].quota_requests_per_s < 0) throw SettingsError("settings: " + key + " is below 0");
  }
  in.number("OverShareWorth", s.over_quota_weight_fraction);
}

// Load reports come with answers and probes, with probes alone, or not at all.
void read_report_source(const Reader& in, Settings& s) {
  enum class Source { kInline, kOnProbe, kOff };
  Source source = Source::kInline;
  in.word("Report.Source",
          {{"inline", Source::kInline}, {"on_probe", Source::kOnProbe}, {"off", Source::kOff}}, source);
  s.load_reports_in_responses = source == Source::kInline;
  s.load_reports_in_health_checks = source != Source::kOff;
}

}  // namespace

Settings parse_settings(std::string_view text) {
  const Reader in(text);
  Settings s;
  int classes = 0;
  in.number("Services.count", classes);
  if (classes <= 0 || classes > 65536)
    throw SettingsError("settings: Services.count is missing or not usable");
  s.classes.resize(classes);
  std::vector<double> threads;
  in.numbers("Extra.ThreadsByClass", threads);
  std::vector<std::string> writes, waits;
  if (const std::string* v = in.find("Extra.WritesTables")) writes = split_list(*v);
  if (const std::string* v = in.find("Extra.WaitsForLoads")) waits = split_list(*v);
  for (int i = 0; i < classes; ++i) {
    ClassSettings& c = s.classes[i];
    read_class(in, i, c);
    if (i < static_cast<int>(threads.size())) c.threads = threads[i];
    if (i < static_cast<int>(writes.size())) c.writes_tables = to_bool("Extra.WritesTables", writes[i]);
    if (i < static_cast<int>(waits.size()))
      c.blocked_by_table_loads = to_bool("Extra.WaitsForLoads", waits[i]);
  }
  in.number("Instances", s.gateway_count);
  in.number("SelfIndex", s.gateway_index);
  in.number("Zone", s.zone);
  in.number("TickUs", s.tick_us);
  in.word("Discovery", {{"automatic", false}, {"subscribe", true}}, s.watch_endpoints);
  in.numbers("Extra.KindCores", s.engine_type_cores);
  in.numbers("Extra.SizeMb", s.engine_type_memory_mb);
  in.number("Extra.MostGrant", s.max_grant_fraction);
  in.flag("Extra.Grants", s.engines_honor_grants);
  in.flag("Extra.TakesPriority", s.engines_honor_priorities);
  in.flag("Extra.SaysCost", s.engines_report_cost);
  in.number("Extra.TellsEveryUs", s.progress_interval_us);
  in.word("Extra.MemoryShort",
          {{"line_up", MemoryPressurePolicy::kQueue},
           {"cut", MemoryPressurePolicy::kReduceGrant},
           {"overcommit", MemoryPressurePolicy::kOvercommit}},
          s.memory_pressure_policy);
  in.flag("Limits.Cancel", s.cancellation_allowed);
  in.flag("Limits.Probes", s.health_checks_allowed);
  in.flag("Limits.Peers", s.gossip_allowed);
  in.flag("Limits.SecondCopies", s.hedging_allowed);
  in.flag("Limits.RetryAfter", s.clients_honor_retry_after);
  in.number("Limits.MaxRetryAfterUs", s.max_retry_after_us);
  in.number("Limits.MaxAttempts", s.max_attempts);
  in.number("Rules.AnswerSlackUs", s.response_slack_us);
  in.number("Rules.DrainGraceUs", s.drain_grace_us);
  in.number("Rules.AskWithinUs", s.endpoint_poll_limit_us);
  in.number("Rules.ColdFrom", s.slow_start_min_capacity_fraction);
  in.number("Rules.FallMultiple", s.collapse_load_multiple);
  in.number("Rules.FallUs", s.collapse_window_us);
  in.number("Rules.WarmAfterUs", s.slow_start_duration_us);
  in.number("Rules.TurnGapUs", s.ordering_gap_us);
  s.retry_budget_enabled = in.has("Rules.CountedOverUs");
  in.number("Rules.BudgetFree", s.retry_budget_base);
  in.number("Rules.ExtraPerRequest", s.retry_budget_per_request);
  in.number("Rules.CountedOverUs", s.retry_budget_window_us);
  in.number("Fees.CrossZone", s.cross_zone_cost);
  in.number("Fees.Probe", s.health_check_cost);
  read_tenants(in, s);
  read_report_source(in, s);
  return s;
}

std::vector<std::string> parse_load_report_fields(std::string_view text) {
  const Reader in(text);
  const std::string* v = in.find("Report.Fields");
  return v ? split_list(*v) : std::vector<std::string>();
}

bool set_load_report_value(LoadReport& report, std::string_view field, double value) {
  std::optional<double>* const target = field == "concurrent" || field == "inflight" ? &report.in_flight
                                        : field == "depth" || field == "queue" ? &report.waiting_for_memory
                                        : field == "load_share" || field == "util" ? &report.cpu_utilization
                                        : field == "x0" ? &report.memory_utilization
                                        : field == "x1" ? &report.disk_utilization
                                                        : nullptr;
  if (target != nullptr) *target = value;
  return target != nullptr;
}

}  // namespace sablelink
