#include "workload/settings_parser.h"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

namespace sablelink {
namespace {

constexpr int kMaxListLength = 65536;  // limit for the number of classes and of tenants

using KeyValueMap = std::map<std::string, std::string, std::less<>>;

KeyValueMap split_lines(std::string_view text) {
  KeyValueMap values;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const size_t equals = line.find('=');
    if (equals != std::string_view::npos)
      values[std::string(line.substr(0, equals))] = line.substr(equals + 1);
  }
  return values;
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

/// Reads typed values by key. A missing or empty value leaves the target unchanged. Throws SettingsError for
/// a value that can't be parsed.
class SettingsReader {
 public:
  explicit SettingsReader(std::string_view text) : values_(split_lines(text)) {}

  /// Null if the key is missing or its value is empty.
  const std::string* find(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() || found->second.empty() ? nullptr : &found->second;
  }
  bool has(const std::string& key) const { return find(key) != nullptr; }

  template <typename T>
  void read_number(const std::string& key, T& target) const {
    if (const std::string* value = find(key)) target = static_cast<T>(to_number(key, *value));
  }

  void read_bool(const std::string& key, bool& target) const {
    if (const std::string* value = find(key)) target = to_bool(key, *value);
  }

  std::vector<std::string> read_list(const std::string& key) const {
    const std::string* value = find(key);
    return value ? split_list(*value) : std::vector<std::string>();
  }

  void read_numbers(const std::string& key, std::vector<double>& target) const {
    if (!has(key)) return;
    target.clear();
    for (const std::string& item : read_list(key)) target.push_back(to_number(key, item));
  }

  template <typename T>
  void read_enum(const std::string& key, const std::map<std::string, T>& values, T& target) const {
    const std::string* value = find(key);
    if (value == nullptr) return;
    const auto known = values.find(*value);
    if (known == values.end())
      throw SettingsError("settings: " + key + " has an unknown value: '" + *value + "'");
    target = known->second;
  }

  /// Appends indices to target. Items are indices, or names from the list under names_key.
  void read_indices(const std::string& key, const std::string& names_key, std::vector<int>& target) const {
    const std::vector<std::string> names = read_list(names_key);
    for (const std::string& item : read_list(key)) {
      const auto name = std::find(names.begin(), names.end(), item);
      target.push_back(name != names.end() ? static_cast<int>(name - names.begin())
                                           : static_cast<int>(to_number(key, item)));
    }
  }

 private:
  KeyValueMap values_;
};

void read_class(const SettingsReader& reader, int index, ClassSettings& settings) {
  const std::string prefix = "Services." + std::to_string(index) + ".";
  for (const char* mandatory : {"AimUs", "DeadlineUs"})
    if (!reader.has(prefix + mandatory))
      throw SettingsError("settings: " + prefix + mandatory + " is missing");
  reader.read_number(prefix + "AimUs", settings.latency_objective_us);
  reader.read_number(prefix + "AimStretch", settings.latency_objective_stretch);
  reader.read_number(prefix + "DeadlineUs", settings.request_timeout_us);
  reader.read_number(prefix + "Worth", settings.priority_weight);
  reader.read_number(prefix + "LateWorth", settings.late_weight_fraction);
  reader.read_enum(prefix + "Repeat",
                   {{"retryable", Idempotency::kIdempotent},
                    {"dedup", Idempotency::kIdempotentWithKey},
                    {"fragile", Idempotency::kNotIdempotent}},
                   settings.idempotency);
  reader.read_enum(prefix + "KeyScope",
                   {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}},
                   settings.dedup_scope);
  reader.read_number(prefix + "WindowUs", settings.dedup_window_us);
  reader.read_bool(prefix + "Stream", settings.streams_response);
  reader.read_bool(prefix + "ByArrival", settings.ordered_by_key);
  reader.read_indices(prefix + "StaysIn", "Zones", settings.allowed_zones);
  reader.read_indices(prefix + "RunsOn", "Flavors", settings.allowed_engine_types);
}

void read_classes(const SettingsReader& reader, Settings& settings) {
  int count = 0;
  reader.read_number("Services.count", count);
  if (count <= 0 || count > kMaxListLength)
    throw SettingsError("settings: Services.count is missing or not from 1 to 65536");
  settings.classes.resize(count);
  std::vector<double> threads;
  reader.read_numbers("Extra.ThreadsByClass", threads);
  const std::vector<std::string> writes = reader.read_list("Extra.WritesTables");
  const std::vector<std::string> blocked = reader.read_list("Extra.WaitsForLoads");
  for (size_t i = 0; i < settings.classes.size(); ++i) {
    ClassSettings& class_settings = settings.classes[i];
    read_class(reader, static_cast<int>(i), class_settings);
    if (i < threads.size()) class_settings.threads = threads[i];
    if (i < writes.size()) class_settings.writes_tables = to_bool("Extra.WritesTables", writes[i]);
    if (i < blocked.size())
      class_settings.blocked_by_table_loads = to_bool("Extra.WaitsForLoads", blocked[i]);
  }
}

// The list of tenants is optional.
void read_tenants(const SettingsReader& reader, Settings& settings) {
  int count = 0;
  reader.read_number("Tenants.count", count);
  if (count < 0 || count > kMaxListLength)
    throw SettingsError("settings: Tenants.count must be from 0 to 65536");
  settings.tenants.resize(count);
  for (int i = 0; i < count; ++i) {
    const std::string key = "Tenants." + std::to_string(i) + ".AllowancePerS";
    TenantSettings& tenant = settings.tenants[i];
    reader.read_number(key, tenant.quota_requests_per_s);
    if (tenant.quota_requests_per_s < 0) throw SettingsError("settings: " + key + " must not be negative");
  }
  reader.read_number("OverShareWorth", settings.over_quota_weight_fraction);
}

void read_engines(const SettingsReader& reader, Settings& settings) {
  reader.read_numbers("Extra.KindCores", settings.engine_type_cores);
  reader.read_numbers("Extra.SizeMb", settings.engine_type_memory_mb);
  reader.read_number("Extra.MostGrant", settings.max_grant_fraction);
  reader.read_bool("Extra.Grants", settings.engines_honor_grants);
  reader.read_bool("Extra.TakesPriority", settings.engines_honor_priorities);
  reader.read_bool("Extra.SaysCost", settings.engines_report_cost);
  reader.read_number("Extra.TellsEveryUs", settings.progress_interval_us);
  reader.read_enum("Extra.MemoryShort",
                   {{"line_up", MemoryPressurePolicy::kQueue},
                    {"cut", MemoryPressurePolicy::kReduceGrant},
                    {"overcommit", MemoryPressurePolicy::kOvercommit}},
                   settings.memory_pressure_policy);
}

void read_limits(const SettingsReader& reader, Settings& settings) {
  reader.read_bool("Limits.Cancel", settings.cancellation_allowed);
  reader.read_bool("Limits.Probes", settings.health_checks_allowed);
  reader.read_bool("Limits.Peers", settings.gossip_allowed);
  reader.read_bool("Limits.SecondCopies", settings.hedging_allowed);
  reader.read_bool("Limits.RetryAfter", settings.clients_honor_retry_after);
  reader.read_number("Limits.MaxRetryAfterUs", settings.max_retry_after_us);
  reader.read_number("Limits.MaxAttempts", settings.max_attempts);
}

void read_rules(const SettingsReader& reader, Settings& settings) {
  reader.read_number("Rules.AnswerSlackUs", settings.response_slack_us);
  reader.read_number("Rules.DrainGraceUs", settings.drain_grace_us);
  reader.read_number("Rules.AskWithinUs", settings.endpoint_poll_limit_us);
  reader.read_number("Rules.ColdFrom", settings.slow_start_min_capacity_fraction);
  reader.read_number("Rules.FallMultiple", settings.collapse_load_multiple);
  reader.read_number("Rules.FallUs", settings.collapse_window_us);
  reader.read_number("Rules.WarmAfterUs", settings.slow_start_duration_us);
  reader.read_number("Rules.TurnGapUs", settings.ordering_gap_us);
  settings.retry_budget_enabled = reader.has("Rules.CountedOverUs");
  reader.read_number("Rules.BudgetFree", settings.retry_budget_base);
  reader.read_number("Rules.ExtraPerRequest", settings.retry_budget_per_request);
  reader.read_number("Rules.CountedOverUs", settings.retry_budget_window_us);
}

// Load reports come with responses and health checks, only with health checks, or not at all.
void read_load_report_source(const SettingsReader& reader, Settings& settings) {
  enum class Source { kResponsesAndHealthChecks, kHealthChecks, kNone };
  Source source = Source::kResponsesAndHealthChecks;
  reader.read_enum("Report.Source",
                   {{"inline", Source::kResponsesAndHealthChecks},
                    {"on_probe", Source::kHealthChecks},
                    {"off", Source::kNone}},
                   source);
  settings.load_reports_in_responses = source == Source::kResponsesAndHealthChecks;
  settings.load_reports_in_health_checks = source != Source::kNone;
}

}  // namespace

Settings parse_settings(std::string_view text) {
  const SettingsReader reader(text);
  Settings settings;
  read_classes(reader, settings);
  reader.read_number("Instances", settings.gateway_count);
  reader.read_number("SelfIndex", settings.gateway_index);
  reader.read_number("Zone", settings.zone);
  reader.read_number("TickUs", settings.tick_us);
  reader.read_enum("Discovery", {{"automatic", false}, {"subscribe", true}}, settings.watch_endpoints);
  read_engines(reader, settings);
  read_limits(reader, settings);
  read_rules(reader, settings);
  reader.read_number("Fees.CrossZone", settings.cross_zone_cost);
  reader.read_number("Fees.Probe", settings.health_check_cost);
  read_tenants(reader, settings);
  read_load_report_source(reader, settings);
  return settings;
}

std::vector<std::string> parse_load_report_fields(std::string_view text) {
  return SettingsReader(text).read_list("Report.Fields");
}

bool set_load_report_value(LoadReport& report, std::string_view field, double value) {
  using Member = std::optional<double> LoadReport::*;
  static const std::map<std::string, Member, std::less<>> kMembers = {
      {"concurrent", &LoadReport::in_flight},       {"inflight", &LoadReport::in_flight},
      {"depth", &LoadReport::waiting_for_memory},   {"queue", &LoadReport::waiting_for_memory},
      {"load_share", &LoadReport::cpu_utilization}, {"util", &LoadReport::cpu_utilization},
      {"x0", &LoadReport::memory_utilization},      {"x1", &LoadReport::disk_utilization}};
  const auto member = kMembers.find(field);
  if (member == kMembers.end()) return false;
  report.*(member->second) = value;
  return true;
}

}  // namespace sablelink
