#include "badday/script.h"

#include <algorithm>

namespace sablelink::badday {
namespace {

using config::Section;

Traffic read_traffic(Section& s, const config::GatewayConfig& gateway) {
  Traffic t;
  t.class_name = s.string("class");
  const auto& names = gateway.class_names;
  if (std::find(names.begin(), names.end(), t.class_name) == names.end())
    s.fail("class", "'" + t.class_name + "' isn't configured");
  t.request_fraction = s.number("share", 0, 1);
  t.mean_work_us = static_cast<double>(s.duration("work"));
  t.work_sigma = s.number("spread", 0, 3, t.work_sigma);
  t.threads = s.number("threads", 0.1, 100, 1);
  t.memory_mb = s.number("memory_mb", 0, 1e6, t.memory_mb);
  t.rows = s.integer("rows", 0, 10'000'000, t.rows);
  t.update = s.boolean("update", false);
  t.ordering_key_count = static_cast<int>(s.integer("keys", 0, 1'000'000, 0));
  t.cancel_fraction = s.number("leaves", 0, 1, 0);
  t.max_submissions = static_cast<int>(s.integer("tries", 1, 10, 1));
  s.reject_unknown_keys();
  return t;
}

Event read_event(Section& s, const Script& script) {
  using Kind = Event::Kind;
  Event e;
  e.kind = s.one_of<Kind>("kind",
                          {{"deploy", Kind::kDeploy},
                           {"kill_node", Kind::kKillNode},
                           {"kill_gateway", Kind::kKillGateway},
                           {"burst", Kind::kBurst},
                           {"fault", Kind::kFault}},
                          std::nullopt);
  e.at = s.duration("at");
  if (e.kind != Kind::kDeploy) e.duration_us = s.duration("for");
  if (e.kind == Kind::kDeploy || e.kind == Kind::kKillNode || e.kind == Kind::kFault) {
    for (const std::string& number : s.strings("nodes")) {
      const int n = std::atoi(number.c_str());
      if (n < 0 || n >= script.nodes) s.fail("nodes", "there is no node '" + number + "'");
      e.nodes.push_back(n);
    }
    if (e.nodes.empty()) s.fail("nodes", "names none");
  }
  if (e.kind == Kind::kKillGateway)
    e.gateway = static_cast<int>(s.integer("gateway", 0, script.gateways - 1));
  if (e.kind == Kind::kDeploy) {
    e.batch_size = static_cast<int>(s.integer("batch", 1, 100, 1));
    e.drain_us = s.duration("drain", 1'000'000);
  }
  if (e.kind == Kind::kBurst || e.kind == Kind::kFault) e.value = s.number("value", 0, 1000, 1);
  if (e.kind == Kind::kFault) {
    e.fault = s.one_of<nodes::FaultKind>("fault", nodes::fault_kind_names(), std::nullopt);
  }
  s.reject_unknown_keys();
  return e;
}

const std::string& fault_name(nodes::FaultKind kind) {
  const auto& names = nodes::fault_kind_names();
  return std::find_if(names.begin(), names.end(), [kind](const auto& entry) { return entry.second == kind; })
      ->first;
}

std::string quoted_us(TimeUs value) { return "\"" + std::to_string(value) + "us\""; }

}  // namespace

Script parse_script(std::string_view text, const std::string& file) {
  Section root = Section::parse(text, file);
  Script out;
  Section drill = root.table("day");
  out.length_us = drill.duration("length", out.length_us);
  out.gateways = static_cast<int>(drill.integer("gateways", 1, 100, out.gateways));
  out.nodes = static_cast<int>(drill.integer("nodes", 1, 1000, out.nodes));
  out.zones = static_cast<int>(drill.integer("zones", 1, 100, 1));
  out.rate = drill.number("rate", 0.1, 1e6, out.rate);
  out.seed = drill.integer("seed", 0, INT64_MAX, 1);
  drill.reject_unknown_keys();
  out.gateway_template = root.string("gateway_config");
  out.node_template = root.string("node_config");
  out.gateway = config::parse_gateway_config(out.gateway_template, file + " (gateway_config)");
  out.node = nodes::parse_node_config("[node]\nname = \"n\"\nlisten = \"l:0\"\n" + out.node_template,
                                      file + " (node_config)");
  double fraction_sum = 0;
  for (Section& s : root.tables("traffic")) {
    out.traffic.push_back(read_traffic(s, out.gateway));
    fraction_sum += out.traffic.back().request_fraction;
  }
  if (fraction_sum < 0.999 || fraction_sum > 1.001) root.fail("traffic", "the shares must add up to 1");
  for (Section& s : root.tables("event")) out.events.push_back(read_event(s, out));
  std::stable_sort(out.events.begin(), out.events.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
  root.reject_unknown_keys();
  return out;
}

std::string gateway_toml(const Script& script, int index, const std::string& listen,
                         const std::vector<config::EngineConfig>& nodes) {
  std::string out = "[gateway]\nname = \"g" + std::to_string(index) + "\"\nlisten = \"" + listen +
                    "\"\ninstances = " + std::to_string(script.gateways) +
                    "\nindex = " + std::to_string(index) + "\n";
  if (!script.gateway.zone_names.empty())
    out += "zone = \"" + script.gateway.zone_names[index % script.gateway.zone_names.size()] + "\"\n";
  out += script.gateway_template;
  for (const config::EngineConfig& n : nodes) {
    out += "\n[[node]]\nname = \"" + n.name + "\"\naddress = \"" + n.address +
           "\"\nstarted_us = " + std::to_string(n.started_at) + "\nstate = \"" +
           (n.state == EndpointState::kDraining ? "draining" : "ready") + "\"\n";
    if (!script.gateway.zone_names.empty()) out += "zone = \"" + script.gateway.zone_names[n.zone] + "\"\n";
  }
  return out;
}

std::string node_toml(const Script& script, const config::EngineConfig& node, const std::string& record,
                      bool with_faults) {
  std::string out = "[node]\nname = \"" + node.name + "\"\nlisten = \"" + node.address + "\"\nrecord = \"" +
                    record + "\"\n" + script.node_template;
  for (const Event& e : script.events) {
    if (!with_faults || e.kind != Event::Kind::kFault) continue;
    for (const int n : e.nodes) {
      if ("n" + std::to_string(n) != node.name) continue;
      out += "\n[[fault]]\nkind = \"" + fault_name(e.fault) + "\"\nfrom = " + quoted_us(e.at) +
             "\nfor = " + quoted_us(e.duration_us) + "\nvalue = " + std::to_string(e.value) + "\n";
    }
  }
  return out;
}

}  // namespace sablelink::badday
