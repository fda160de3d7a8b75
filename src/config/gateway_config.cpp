#include "config/gateway_config.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace sablelink::config {
namespace {

constexpr double kMaxNumber = 1e12;
constexpr int kMaxCell = 65535;
constexpr int64_t kMaxTableGroup = int64_t{1} << 53;
constexpr double kBytesPerMb = 1 << 20;
constexpr size_t kMinMessageBytes = 4096;
constexpr size_t kMaxMessageBytes = size_t{1} << 30;

// ---- References by name to classes, zones, engine types and tenants

int index_of(const Section& section, std::string_view key, const std::vector<std::string>& names,
             const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) section.fail(key, "'" + name + "' isn't configured");
  return static_cast<int>(it - names.begin());
}

// Returns the index of the name at the key; 0 if the key is missing.
int read_index(Section& section, std::string_view key, const std::vector<std::string>& names) {
  return section.has(key) ? index_of(section, key, names, section.string(key)) : 0;
}

std::vector<int> read_indexes(Section& section, std::string_view key, const std::vector<std::string>& names) {
  std::vector<int> indexes;
  for (const std::string& name : section.strings(key)) {
    indexes.push_back(index_of(section, key, names, name));
  }
  return indexes;
}

// Reads the name of an array element, checks that no earlier element has it, and appends it to `names`.
std::string read_unique_name(Section& section, std::vector<std::string>& names) {
  std::string name = section.string("name");
  if (name.empty()) section.fail("name", "is empty");
  if (std::find(names.begin(), names.end(), name) != names.end()) {
    section.fail("name", "'" + name + "' is used more than once");
  }
  names.push_back(name);
  return name;
}

// ---- Readers of the TOML tables. Tables that others refer to by name are read first.

void read_zones(Section& root, GatewayConfig& config) {
  for (Section& zone : root.tables("zone")) {
    read_unique_name(zone, config.zone_names);
    zone.reject_unknown_keys();
  }
}

void read_engine_types(Section& root, GatewayConfig& config) {
  for (Section& type : root.tables("kind")) {
    read_unique_name(type, config.engine_type_names);
    config.settings.engine_type_cores.push_back(type.number("cores", 0, 100'000, 0));
    const auto memory_bytes = static_cast<double>(type.byte_size("memory", 0));
    config.settings.engine_type_memory_mb.push_back(memory_bytes / kBytesPerMb);
    type.reject_unknown_keys();
  }
}

void read_gateway(Section section, GatewayConfig& config) {
  Settings& settings = config.settings;
  config.name = section.string("name", "gateway");
  config.listen_address = section.string("listen", "127.0.0.1:31337");
  settings.gateway_count = static_cast<int>(section.integer("instances", 1, 100'000, 1));
  settings.gateway_index = static_cast<int>(section.integer("index", 0, settings.gateway_count - 1, 0));
  settings.zone = read_index(section, "zone", config.zone_names);
  settings.tick_us = section.duration("tick", 1000);
  config.log_level = section.one_of<std::string>(
      "log_level", {{"debug", "debug"}, {"info", "info"}, {"warn", "warn"}, {"error", "error"}}, "info");
  section.reject_unknown_keys();
}

void read_dispatcher_limits(Section& section, dispatch::DispatcherLimits& limits) {
  limits.max_open_requests = section.integer("max_open", 1, 1'000'000, limits.max_open_requests);
  limits.response_buffer_bytes = section.byte_size("hold_bytes", limits.response_buffer_bytes);
  limits.total_buffer_bytes = section.byte_size("hold_bytes_all", limits.total_buffer_bytes);
  limits.stream_window_bytes = section.byte_size("window_bytes", limits.stream_window_bytes);
  limits.health_check_timeout_us = section.duration("probe_timeout", limits.health_check_timeout_us);
}

void read_flight_sql_limits(Section& section, FlightSqlLimits& limits) {
  limits.max_statement_bytes = section.byte_size("statement_bytes", limits.max_statement_bytes);
  limits.max_message_bytes = section.byte_size("message_bytes", limits.max_message_bytes);
  if (limits.max_message_bytes < kMinMessageBytes || limits.max_message_bytes > kMaxMessageBytes) {
    section.fail("message_bytes", "is not from 4KiB to 1GiB");
  }
  if (limits.max_statement_bytes >= limits.max_message_bytes) {
    section.fail("statement_bytes", "must be less than message_bytes");
  }
  limits.max_open_requests_per_connection =
      section.integer("open_per_connection", 1, 1'000'000, limits.max_open_requests_per_connection);
  limits.max_prepared_statements = section.integer("prepared", 1, 10'000'000, limits.max_prepared_statements);
  limits.max_prepared_bytes = section.byte_size("prepared_bytes", limits.max_prepared_bytes);
  limits.prepared_idle_timeout_us = section.duration("prepared_idle", limits.prepared_idle_timeout_us);
  limits.response_margin_us = section.duration("answer_margin", limits.response_margin_us);
  limits.connect_timeout_us = section.duration("dial_timeout", limits.connect_timeout_us);
  limits.shutdown_grace_us = section.duration("stop_grace", limits.shutdown_grace_us);
  limits.connections_per_engine = section.integer("node_connections", 1, 64, limits.connections_per_engine);
}

void read_limits(Section section, GatewayConfig& config) {
  Settings& settings = config.settings;
  read_dispatcher_limits(section, config.dispatcher);
  read_flight_sql_limits(section, config.flight_sql);
  settings.max_send_delay_us = config.flight_sql.connect_timeout_us;
  settings.max_attempts = static_cast<int>(section.integer("max_attempts", 1, 255, 6));
  settings.max_retry_after_us = section.duration("max_retry_after", 2'000'000);
  settings.clients_honor_retry_after = settings.max_retry_after_us > 0;
  section.reject_unknown_keys();
}

void read_engine_capabilities(Section section, Settings& settings) {
  settings.engines_honor_priorities = section.boolean("priorities", true);
  settings.engines_honor_grants = section.boolean("grants", false);
  settings.max_grant_fraction = section.number("most_grant", 0, 1, 1);
  settings.engines_report_cost = section.boolean("tells_cost", true);
  settings.progress_interval_us = section.duration("progress_every", 0);
  settings.cancellation_allowed = section.boolean("cancel", true);
  settings.health_checks_allowed = section.boolean("probes", false);
  settings.load_reports_in_responses = section.boolean("reports_in_answers", true);
  settings.load_reports_in_health_checks = settings.health_checks_allowed;
  settings.health_check_cost = section.number("probe_fee", 0, 100, 0);
  settings.cross_zone_cost = section.number("cross_zone_fee", 0, 100, 0);
  settings.memory_pressure_policy =
      section.one_of<MemoryPressurePolicy>("memory_short",
                                           {{"line_up", MemoryPressurePolicy::kQueue},
                                            {"cut", MemoryPressurePolicy::kReduceGrant},
                                            {"overcommit", MemoryPressurePolicy::kOvercommit}},
                                           MemoryPressurePolicy::kQueue);
  section.reject_unknown_keys();
}

void read_rules(Section section, Settings& settings) {
  settings.response_slack_us = section.duration("answer_slack", 20'000);
  settings.drain_grace_us = section.duration("drain_grace", 250'000);
  settings.slow_start_min_capacity_fraction = section.number("cold_from", 0, 1, 1);
  settings.collapse_load_multiple = section.number("fall_multiple", 1, 1000, 1);
  settings.collapse_window_us = section.duration("fall_after", 0);
  settings.slow_start_duration_us = section.duration("warm_after", 0);
  settings.ordering_gap_us = section.duration("turn_gap", 0);
  settings.retry_budget_enabled = section.has("budget_window");
  settings.retry_budget_window_us = section.duration("budget_window", 0);
  settings.retry_budget_base = section.number("budget_free", 0, kMaxNumber, 0);
  settings.retry_budget_per_request = section.number("budget_per_request", 0, 1000, 0);
  if (settings.retry_budget_enabled && settings.retry_budget_window_us <= settings.max_send_delay_us) {
    section.fail("budget_window", "must be greater than limits.dial_timeout");
  }
  // An attempt assigned before the engine was known to drain may still be sent up to max_send_delay_us later,
  // once a connection to the engine is established.
  if (settings.drain_grace_us < settings.max_send_delay_us) {
    section.fail("drain_grace", "must be at least limits.dial_timeout");
  }
  section.reject_unknown_keys();
}

void read_deadlines(Section& section, ClassSettings& settings) {
  settings.latency_objective_us = section.duration("aim", settings.latency_objective_us);
  settings.latency_objective_stretch = section.number("aim_stretch", 0, 1000, 0);
  settings.request_timeout_us = section.duration("deadline", settings.request_timeout_us);
  if (settings.latency_objective_us <= 0) section.fail("aim", "must be greater than 0");
  if (settings.request_timeout_us < settings.latency_objective_us) {
    section.fail("deadline", "must be at least the aim");
  }
}

void read_idempotency(Section& section, ClassSettings& settings) {
  settings.idempotency = section.one_of<Idempotency>("repeat",
                                                     {{"safe", Idempotency::kIdempotent},
                                                      {"keyed", Idempotency::kIdempotentWithKey},
                                                      {"unsafe", Idempotency::kNotIdempotent}},
                                                     Idempotency::kIdempotent);
  settings.dedup_scope = section.one_of<DedupScope>(
      "key_scope", {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}},
      DedupScope::kAll);
  settings.dedup_window_us = section.duration("window", 0);
  if (settings.idempotency == Idempotency::kIdempotentWithKey && settings.dedup_window_us == 0) {
    section.fail("window", "must be greater than 0 for a keyed class");
  }
}

void read_class(Section& section, GatewayConfig& config) {
  ClassSettings settings;
  read_unique_name(section, config.class_names);
  read_deadlines(section, settings);
  settings.priority_weight = section.number("worth", 0, kMaxNumber, 1);
  settings.late_weight_fraction = section.number("late_worth", 0, 1, 0);
  settings.threads = section.number("threads", 0.1, 1000, 1);
  read_idempotency(section, settings);
  settings.ordered_by_key = section.boolean("in_order", false);
  settings.allowed_zones = read_indexes(section, "only_zones", config.zone_names);
  settings.allowed_engine_types = read_indexes(section, "only_kinds", config.engine_type_names);
  settings.writes_tables = section.boolean("writes_tables", false);
  settings.blocked_by_table_loads = section.boolean("waits_for_loads", false);
  section.reject_unknown_keys();
  config.settings.classes.push_back(std::move(settings));
}

void read_tenants(Section& root, GatewayConfig& config) {
  for (Section& section : root.tables("tenant")) {
    read_unique_name(section, config.selectors.tenants);
    TenantSettings tenant;
    tenant.quota_requests_per_s = section.number("allowance_per_s", 0, kMaxNumber, 0);
    section.reject_unknown_keys();
    config.settings.tenants.push_back(tenant);
  }
}

void read_tables(Section& root, SelectorSettings& settings) {
  for (Section& section : root.tables("table")) {
    Table table;
    table.name = section.string("name");
    table.schema = section.string("schema", "main");
    table.catalog = section.string("catalog", "default");
    const auto default_group = static_cast<int64_t>(settings.tables.size());
    table.group = section.integer("group", 0, kMaxTableGroup, default_group);
    section.reject_unknown_keys();
    settings.tables.push_back(std::move(table));
  }
}

void read_request_headers(Section section, GatewayConfig& config) {
  SelectorSettings& settings = config.selectors;
  settings.default_class = read_index(section, "default_class", config.class_names);
  settings.tenant_header = section.string("tenant_header", "");
  settings.ordering_key_header = section.string("key_header", "");
  settings.cost_header = section.string("cost_header", "");
  settings.memory_header = section.string("memory_header", "");
  section.reject_unknown_keys();
}

std::optional<sql::StatementKind> statement_kind(const std::string& name) {
  for (int i = 0; i <= static_cast<int>(sql::StatementKind::kOther); ++i) {
    const auto kind = static_cast<sql::StatementKind>(i);
    if (name == sql::kind_name(kind)) return kind;
  }
  return std::nullopt;
}

void read_selectors(Section& root, GatewayConfig& config) {
  for (Section& section : root.tables("select")) {
    Selector selector;
    selector.name = section.string("name", "");
    selector.users = section.strings("users");
    selector.tables = section.strings("tables");
    selector.headers = section.string_map("headers");
    for (const std::string& name : section.strings("kinds")) {
      const std::optional<sql::StatementKind> kind = statement_kind(name);
      if (!kind) section.fail("kinds", "'" + name + "' is not a kind of statement");
      selector.kinds.push_back(*kind);
    }
    selector.class_index = index_of(section, "class", config.class_names, section.string("class"));
    if (section.has("tenant")) {
      selector.tenant = index_of(section, "tenant", config.selectors.tenants, section.string("tenant"));
    }
    section.reject_unknown_keys();
    config.selectors.selectors.push_back(std::move(selector));
  }
}

void read_schema_cache(Section section, schemas::SchemaCacheLimits& limits) {
  limits.max_entries = section.integer("entries", 0, 10'000'000, limits.max_entries);
  limits.max_bytes = section.byte_size("bytes", limits.max_bytes);
  limits.max_age_us = section.duration("age", limits.max_age_us);
  section.reject_unknown_keys();
}

void read_planning_class(Section& section, GatewayConfig& config) {
  config.planning_class = read_index(section, "class", config.class_names);
  const ClassSettings& planning_class = config.settings.classes[config.planning_class];
  if (planning_class.idempotency != Idempotency::kIdempotent) {
    section.fail("class", "must be one whose repeat is \"safe\": a plan changes nothing");
  }
  if (planning_class.ordered_by_key) section.fail("class", "must not be in_order: plans have no keys");
}

void read_planning(Section section, GatewayConfig& config) {
  schemas::PlanningSettings& planning = config.planning;
  planning.enabled = section.has("class");
  if (planning.enabled) read_planning_class(section, config);
  planning.max_concurrent_calls = section.integer("at_once", 1, 100'000, planning.max_concurrent_calls);
  planning.budget_window_us = section.duration("window", planning.budget_window_us);
  if (planning.budget_window_us <= 0) section.fail("window", "must be greater than 0");
  planning.budget_base_calls = section.number("free", 0, kMaxNumber, planning.budget_base_calls);
  planning.budget_calls_per_statement =
      section.number("per_statement", 0, 1, planning.budget_calls_per_statement);
  planning.max_waiters = section.integer("waiting", 1, 1'000'000, planning.max_waiters);
  planning.call_timeout_us = section.duration("time", planning.call_timeout_us);
  planning.max_wait_us = section.duration("wait", planning.max_wait_us);
  // Until responses have shown what a planning call costs, it is estimated at half of its class's latency
  // objective.
  const ClassSettings& planning_class = config.settings.classes[config.planning_class];
  if (planning.enabled && planning.call_timeout_us < planning_class.latency_objective_us) {
    section.fail("time", "must be at least the aim of its class: calls would be rejected at once");
  }
  if (planning.max_wait_us > planning.call_timeout_us) {
    section.fail("wait", "must be at most the time of the call");
  }
  section.reject_unknown_keys();
}

void read_engines(Section& root, GatewayConfig& config) {
  std::vector<std::string> names;
  std::set<std::string> addresses;
  for (Section& section : root.tables("node")) {
    EngineConfig engine;
    engine.name = read_unique_name(section, names);
    engine.address = section.string("address");
    if (engine.address.rfind(':') == std::string::npos) section.fail("address", "must be \"host:port\"");
    if (!addresses.insert(engine.address).second) {
      section.fail("address", "'" + engine.address + "' is used more than once");
    }
    engine.state = section.one_of<EndpointState>(
        "state", {{"ready", EndpointState::kReady}, {"draining", EndpointState::kDraining}},
        EndpointState::kReady);
    engine.cell = static_cast<int>(section.integer("cell", 0, kMaxCell, 0));
    engine.zone = read_index(section, "zone", config.zone_names);
    engine.engine_type = read_index(section, "kind", config.engine_type_names);
    engine.size = section.number("size", 0, kMaxNumber, 1);
    engine.started_at = section.integer("started_us", 0, INT64_MAX, 0);
    section.reject_unknown_keys();
    config.engines.push_back(std::move(engine));
  }
}

}  // namespace

GatewayConfig parse_gateway_config(std::string_view text, const std::string& file) {
  Section root = Section::parse(text, file);
  GatewayConfig config;
  read_zones(root, config);
  read_engine_types(root, config);
  read_gateway(root.table("gateway"), config);
  read_limits(root.table("limits"), config);
  read_engine_capabilities(root.table("engines"), config.settings);
  read_rules(root.table("rules"), config.settings);
  for (Section& section : root.tables("class")) read_class(section, config);
  if (config.settings.classes.empty()) root.fail("class", "at least one [[class]] is needed");
  read_tenants(root, config);
  read_tables(root, config.selectors);
  read_request_headers(root.table("requests"), config);
  read_selectors(root, config);
  read_schema_cache(root.table("schemas"), config.schema_cache);
  read_planning(root.table("planning"), config);
  read_engines(root, config);
  root.reject_unknown_keys();
  return config;
}

int GatewayConfig::class_index(std::string_view class_name) const {
  const auto it = std::find(class_names.begin(), class_names.end(), class_name);
  return it == class_names.end() ? 0 : static_cast<int>(it - class_names.begin());
}

}  // namespace sablelink::config
