#include "config/gateway_config.h"

#include <algorithm>
#include <set>

namespace sablelink::config {
namespace {

constexpr double kMost = 1e12;

int index_of(Section& s, std::string_view key, const std::vector<std::string>& names,
             const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) s.fail(key, "'" + name + "' isn't configured");
  return static_cast<int>(it - names.begin());
}

// The index of the name that a key holds; the first where the key is missing.
int named(Section& s, std::string_view key, const std::vector<std::string>& names) {
  return s.has(key) ? index_of(s, key, names, s.text(key)) : 0;
}

std::vector<int> several(Section& s, std::string_view key, const std::vector<std::string>& names) {
  std::vector<int> found;
  for (const std::string& name : s.texts(key)) found.push_back(index_of(s, key, names, name));
  return found;
}

std::string new_name(Section& s, std::vector<std::string>& names) {
  std::string name = s.text("name");
  if (name.empty()) s.fail("name", "is empty");
  if (std::find(names.begin(), names.end(), name) != names.end())
    s.fail("name", "'" + name + "' stands twice");
  names.push_back(name);
  return name;
}

void read_gateway(Section s, GatewayConfig& c) {
  c.name = s.text("name", "gateway");
  c.listen = s.text("listen", "127.0.0.1:31337");
  c.settings.gateway_count = static_cast<int>(s.integer("instances", 1, 100'000, 1));
  c.settings.gateway_index = static_cast<int>(s.integer("index", 0, c.settings.gateway_count - 1, 0));
  c.settings.zone = named(s, "zone", c.zone_names);
  c.settings.tick_us = s.time("tick", 1000);
  c.log_level = s.word<std::string>(
      "log_level", {{"debug", "debug"}, {"info", "info"}, {"warn", "warn"}, {"error", "error"}}, "info");
  s.finish();
}

void read_limits(Section s, GatewayConfig& c) {
  c.dispatcher.max_open_requests = s.integer("max_open", 1, 1'000'000, c.dispatcher.max_open_requests);
  c.dispatcher.response_buffer_bytes = s.bytes("hold_bytes", c.dispatcher.response_buffer_bytes);
  c.dispatcher.total_buffer_bytes = s.bytes("hold_bytes_all", c.dispatcher.total_buffer_bytes);
  c.dispatcher.stream_window_bytes = s.bytes("window_bytes", c.dispatcher.stream_window_bytes);
  c.dispatcher.health_check_timeout_us = s.time("probe_timeout", c.dispatcher.health_check_timeout_us);
  FlightSqlLimits& f = c.flight_sql;
  f.statement_bytes = s.bytes("statement_bytes", f.statement_bytes);
  f.message_bytes = s.bytes("message_bytes", f.message_bytes);
  if (f.message_bytes < 4096 || f.message_bytes > (size_t{1} << 30))
    s.fail("message_bytes", "is not from 4KiB to 1GiB");
  if (f.statement_bytes >= f.message_bytes) s.fail("statement_bytes", "must be under message_bytes");
  f.open_per_connection = s.integer("open_per_connection", 1, 1'000'000, f.open_per_connection);
  f.prepared = s.integer("prepared", 1, 10'000'000, f.prepared);
  f.prepared_bytes = s.bytes("prepared_bytes", f.prepared_bytes);
  f.prepared_idle_us = s.time("prepared_idle", f.prepared_idle_us);
  f.answer_margin_us = s.time("answer_margin", f.answer_margin_us);
  f.dial_timeout_us = s.time("dial_timeout", f.dial_timeout_us);
  f.stop_grace_us = s.time("stop_grace", f.stop_grace_us);
  f.node_connections = s.integer("node_connections", 1, 64, f.node_connections);
  Settings& m = c.settings;
  m.max_send_delay_us = f.dial_timeout_us;
  m.max_attempts = static_cast<int>(s.integer("max_attempts", 1, 255, 6));
  m.max_retry_after_us = s.time("max_retry_after", 2'000'000);
  m.clients_honor_retry_after = m.max_retry_after_us > 0;
  s.finish();
}

void read_engines(Section s, Settings& m) {
  m.engines_honor_priorities = s.flag("priorities", true);
  m.engines_honor_grants = s.flag("grants", false);
  m.max_grant_fraction = s.number("most_grant", 0, 1, 1);
  m.engines_report_cost = s.flag("tells_cost", true);
  m.progress_interval_us = s.time("progress_every", 0);
  m.cancellation_allowed = s.flag("cancel", true);
  m.health_checks_allowed = s.flag("probes", false);
  m.load_reports_in_responses = s.flag("reports_in_answers", true);
  m.load_reports_in_health_checks = m.health_checks_allowed;
  m.health_check_cost = s.number("probe_fee", 0, 100, 0);
  m.cross_zone_cost = s.number("cross_zone_fee", 0, 100, 0);
  m.memory_pressure_policy = s.word<MemoryPressurePolicy>("memory_short",
                                                          {{"line_up", MemoryPressurePolicy::kQueue},
                                                           {"cut", MemoryPressurePolicy::kReduceGrant},
                                                           {"overcommit", MemoryPressurePolicy::kOvercommit}},
                                                          MemoryPressurePolicy::kQueue);
  s.finish();
}

void read_rules(Section s, Settings& m) {
  m.response_slack_us = s.time("answer_slack", 20'000);
  m.drain_grace_us = s.time("drain_grace", 250'000);
  m.slow_start_min_capacity_fraction = s.number("cold_from", 0, 1, 1);
  m.collapse_load_multiple = s.number("fall_multiple", 1, 1000, 1);
  m.collapse_window_us = s.time("fall_after", 0);
  m.slow_start_duration_us = s.time("warm_after", 0);
  m.ordering_gap_us = s.time("turn_gap", 0);
  m.retry_budget_enabled = s.has("budget_window");
  m.retry_budget_window_us = s.time("budget_window", 0);
  m.retry_budget_base = s.number("budget_free", 0, kMost, 0);
  m.retry_budget_per_request = s.number("budget_per_request", 0, 1000, 0);
  if (m.retry_budget_enabled && m.retry_budget_window_us <= m.max_send_delay_us)
    s.fail("budget_window", "must be over limits.dial_timeout");
  // What was decided before the word came may leave once its connection stands.
  if (m.drain_grace_us < m.max_send_delay_us) s.fail("drain_grace", "must not be under limits.dial_timeout");
  s.finish();
}

void read_class(Section& s, GatewayConfig& c) {
  ClassSettings k;
  new_name(s, c.class_names);
  k.latency_objective_us = s.time("aim", k.latency_objective_us);
  k.latency_objective_stretch = s.number("aim_stretch", 0, 1000, 0);
  k.request_timeout_us = s.time("deadline", k.request_timeout_us);
  if (k.latency_objective_us <= 0) s.fail("aim", "must be over 0");
  if (k.request_timeout_us < k.latency_objective_us) s.fail("deadline", "must not be under the aim");
  k.priority_weight = s.number("worth", 0, kMost, 1);
  k.late_weight_fraction = s.number("late_worth", 0, 1, 0);
  k.threads = s.number("threads", 0.1, 1000, 1);
  k.idempotency = s.word<Idempotency>("repeat",
                                      {{"safe", Idempotency::kIdempotent},
                                       {"keyed", Idempotency::kIdempotentWithKey},
                                       {"unsafe", Idempotency::kNotIdempotent}},
                                      Idempotency::kIdempotent);
  k.dedup_scope = s.word<DedupScope>(
      "key_scope", {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}},
      DedupScope::kAll);
  k.dedup_window_us = s.time("window", 0);
  if (k.idempotency == Idempotency::kIdempotentWithKey && k.dedup_window_us == 0)
    s.fail("window", "must be over 0 for a keyed class");
  k.ordered_by_key = s.flag("in_order", false);
  k.allowed_zones = several(s, "only_zones", c.zone_names);
  k.allowed_engine_types = several(s, "only_kinds", c.engine_type_names);
  k.writes_tables = s.flag("writes_tables", false);
  k.blocked_by_table_loads = s.flag("waits_for_loads", false);
  s.finish();
  c.settings.classes.push_back(std::move(k));
}

void read_tables(Section& root, SelectorSettings& out) {
  for (Section& s : root.tables("table")) {
    Table t;
    t.name = s.text("name");
    t.schema = s.text("schema", "main");
    t.catalog = s.text("catalog", "default");
    t.group = s.integer("group", 0, int64_t{1} << 53, static_cast<int64_t>(out.tables.size()));
    s.finish();
    out.tables.push_back(std::move(t));
  }
}

void read_selectors(Section& root, GatewayConfig& c) {
  using sql::StatementKind;
  SelectorSettings& out = c.selectors;
  Section general = root.table("requests");
  out.default_class = named(general, "default_class", c.class_names);
  out.tenant_header = general.text("tenant_header", "");
  out.key_header = general.text("key_header", "");
  out.cost_header = general.text("cost_header", "");
  out.memory_header = general.text("memory_header", "");
  general.finish();
  for (Section& s : root.tables("select")) {
    Selector sel;
    sel.name = s.text("name", "");
    sel.users = s.texts("users");
    sel.tables = s.texts("tables");
    sel.headers = s.pairs("headers");
    for (const std::string& kind : s.texts("kinds")) {
      bool known = false;
      for (int k = 0; k <= static_cast<int>(StatementKind::kOther); ++k) {
        if (kind != sql::kind_name(static_cast<StatementKind>(k))) continue;
        sel.kinds.push_back(static_cast<StatementKind>(k));
        known = true;
      }
      if (!known) s.fail("kinds", "'" + kind + "' is no kind of statement");
    }
    sel.cls = index_of(s, "class", c.class_names, s.text("class"));
    if (s.has("tenant")) sel.tenant = index_of(s, "tenant", out.tenants, s.text("tenant"));
    s.finish();
    out.selectors.push_back(std::move(sel));
  }
}

void read_schemas(Section s, schemas::StoreLimits& out) {
  out.entries = s.integer("entries", 0, 10'000'000, out.entries);
  out.bytes = s.bytes("bytes", out.bytes);
  out.age_us = s.time("age", out.age_us);
  s.finish();
}

void read_planning(Section s, GatewayConfig& c) {
  schemas::PlanningLimits& p = c.planning;
  p.on = s.has("class");
  if (p.on) {
    c.planning_class = named(s, "class", c.class_names);
    const ClassSettings& k = c.settings.classes[c.planning_class];
    if (k.idempotency != Idempotency::kIdempotent)
      s.fail("class", "must be one whose repeat is \"safe\": a plan changes nothing");
    if (k.ordered_by_key) s.fail("class", "must not be in_order: plans have no keys");
  }
  p.at_once = s.integer("at_once", 1, 100'000, p.at_once);
  p.window_us = s.time("window", p.window_us);
  if (p.window_us <= 0) s.fail("window", "must be over 0");
  p.free = s.number("free", 0, kMost, p.free);
  p.per_statement = s.number("per_statement", 0, 1, p.per_statement);
  p.waiting = s.integer("waiting", 1, 1'000'000, p.waiting);
  p.time_us = s.time("time", p.time_us);
  p.wait_us = s.time("wait", p.wait_us);
  // Until answers tell better, the module takes a query for half its class's aim of work.
  if (p.on && p.time_us < c.settings.classes[c.planning_class].latency_objective_us)
    s.fail("time", "must not be under its class's aim: calls would be refused at once");
  if (p.wait_us > p.time_us) s.fail("wait", "must not be over the call's own time");
  s.finish();
}

void read_nodes(Section& root, GatewayConfig& c) {
  std::vector<std::string> names;
  std::set<std::string> addresses;
  for (Section& s : root.tables("node")) {
    EngineConfig n;
    n.name = new_name(s, names);
    n.address = s.text("address");
    if (n.address.rfind(':') == std::string::npos) s.fail("address", "must be \"host:port\"");
    if (!addresses.insert(n.address).second) s.fail("address", "'" + n.address + "' stands twice");
    n.state = s.word<EndpointState>(
        "state", {{"ready", EndpointState::kReady}, {"draining", EndpointState::kDraining}},
        EndpointState::kReady);
    n.cell = static_cast<int>(s.integer("cell", 0, 65535, 0));
    n.zone = named(s, "zone", c.zone_names);
    n.engine_type = named(s, "kind", c.engine_type_names);
    n.size = s.number("size", 0, kMost, 1);
    n.started_at = s.integer("started_us", 0, INT64_MAX, 0);
    s.finish();
    c.engines.push_back(std::move(n));
  }
}

}  // namespace

GatewayConfig parse_gateway_config(std::string_view text, const std::string& file) {
  Section root = Section::parse(text, file);
  GatewayConfig c;
  for (Section& s : root.tables("zone")) {
    new_name(s, c.zone_names);
    s.finish();
  }
  for (Section& s : root.tables("kind")) {
    new_name(s, c.engine_type_names);
    c.settings.engine_type_cores.push_back(s.number("cores", 0, 100'000, 0));
    c.settings.engine_type_memory_mb.push_back(static_cast<double>(s.bytes("memory", 0)) / (1 << 20));
    s.finish();
  }
  read_gateway(root.table("gateway"), c);
  read_limits(root.table("limits"), c);
  read_engines(root.table("engines"), c.settings);
  read_rules(root.table("rules"), c.settings);
  for (Section& s : root.tables("class")) read_class(s, c);
  if (c.settings.classes.empty()) root.fail("class", "at least one [[class]] is needed");
  for (Section& s : root.tables("tenant")) {
    new_name(s, c.selectors.tenants);
    TenantSettings t;
    t.quota_requests_per_s = s.number("allowance_per_s", 0, kMost, 0);
    s.finish();
    c.settings.tenants.push_back(t);
  }
  read_tables(root, c.selectors);
  read_selectors(root, c);
  read_schemas(root.table("schemas"), c.schemas);
  read_planning(root.table("planning"), c);
  read_nodes(root, c);
  root.finish();
  return c;
}

int GatewayConfig::class_named(std::string_view wanted) const {
  const auto it = std::find(class_names.begin(), class_names.end(), wanted);
  return it == class_names.end() ? 0 : static_cast<int>(it - class_names.begin());
}

}  // namespace sablelink::config
