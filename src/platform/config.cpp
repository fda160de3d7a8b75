#include "platform/config.h"

#include <algorithm>
#include <boost/json/src.hpp>
#include <charconv>
#include <cmath>

#include "workload/settings_parser.h"

namespace sablelink::platform {
namespace {

namespace json = boost::json;

constexpr size_t kMostJson = 16u << 20;
constexpr int kMostDepth = 32;
constexpr size_t kMostNodes = 20'000;
constexpr double kMostMs = 1e15;  // of a Unix time

std::string text_of(const json::value& v) { return std::string(v.as_string()); }

json::value read_json(std::string_view text) {
  if (text.size() > kMostJson) throw ConfigError("JSON is longer than 16 MiB");
  json::parse_options options;
  options.max_depth = kMostDepth;
  boost::system::error_code error;
  json::value value = json::parse({text.data(), text.size()}, error, {}, options);
  if (error) throw ConfigError("not JSON: " + error.message());
  return value;
}

const json::object& object_at(const json::object& in, const char* key) {
  const json::value* v = in.if_contains(key);
  if (v == nullptr || !v->is_object()) throw ConfigError(std::string(key) + " is missing or no object");
  return v->get_object();
}

std::string string_at(const json::object& in, const char* key) {
  const json::value* v = in.if_contains(key);
  if (v == nullptr || !v->is_string()) throw ConfigError(std::string(key) + " is missing or no text");
  return text_of(*v);
}

std::optional<double> number_of(const json::value* v) {
  if (v == nullptr) return std::nullopt;
  if (v->is_int64()) return static_cast<double>(v->get_int64());
  if (v->is_uint64()) return static_cast<double>(v->get_uint64());
  if (v->is_double() && std::isfinite(v->get_double())) return v->get_double();
  return std::nullopt;
}

double number_at(const json::object& in, const char* key, double least, double most) {
  const std::optional<double> n = number_of(in.if_contains(key));
  if (!n || *n < least || *n > most) throw ConfigError(std::string(key) + " is missing or out of range");
  return *n;
}

// A missing key takes the fallback; one that can't be used is an error.
double number_or(const json::object& in, const char* key, double least, double most, double fallback) {
  return in.contains(key) ? number_at(in, key, least, most) : fallback;
}

bool is_plain(const json::value& v) { return !v.is_object() && !v.is_array(); }

// Signs that would break a line of path=value, or a list in it.
std::string scalar(const json::value& v) {
  if (v.is_string()) {
    std::string text = text_of(v);
    for (char& c : text)
      if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
    return text;
  }
  if (v.is_null()) return "";
  if (v.is_double()) {
    char digits[64];
    const auto end = std::to_chars(digits, digits + sizeof(digits), v.get_double());
    return std::string(digits, end.ptr);
  }
  return json::serialize(v);
}

void flatten(const json::value& v, const std::string& path, std::string& out) {
  const auto put = [&](const std::string& key, const std::string& value) { out += key + "=" + value + "\n"; };
  if (v.is_object()) {
    for (const auto& [key, item] : v.get_object())
      flatten(item, path.empty() ? std::string(key) : path + "." + std::string(key), out);
  } else if (v.is_array()) {
    const json::array& items = v.get_array();
    if (std::all_of(items.begin(), items.end(), is_plain)) {
      std::string list;
      for (const json::value& item : items) list += (list.empty() ? "" : ",") + scalar(item);
      put(path, list);
      return;
    }
    put(path + ".count", std::to_string(items.size()));
    for (size_t i = 0; i < items.size(); ++i) flatten(items[i], path + "." + std::to_string(i), out);
  } else {
    put(path, scalar(v));
  }
}

std::vector<std::string> texts(const json::value* v) {
  std::vector<std::string> out;
  if (v == nullptr || !v->is_array()) return out;
  for (const json::value& item : v->get_array()) out.push_back(item.is_string() ? text_of(item) : "");
  return out;
}

SettingNames read_names(const json::object& settings) {
  SettingNames names;
  names.zones = texts(settings.if_contains("Zones"));
  names.engine_types = texts(settings.if_contains("Flavors"));
  if (const json::value* services = settings.if_contains("Services"); services && services->is_array())
    for (const json::value& s : services->get_array())
      names.classes.push_back(s.is_object() ? string_at(s.get_object(), "Name") : "");
  if (const json::value* tenants = settings.if_contains("Tenants"); tenants && tenants->is_array())
    for (const json::value& t : tenants->get_array())
      names.tenants.push_back(t.is_object() ? string_at(t.get_object(), "Name") : "");
  if (const json::value* report = settings.if_contains("Report"); report && report->is_object())
    names.report_fields = texts(report->get_object().if_contains("Fields"));
  return names;
}

// By name, or by index where it is told so; what isn't known is the first, as a list without names is.
int index_of(const std::vector<std::string>& names, const json::value* v) {
  if (v == nullptr) return 0;
  if (v->is_string()) {
    const auto it = std::find(names.begin(), names.end(), text_of(*v));
    return it == names.end() ? 0 : static_cast<int>(it - names.begin());
  }
  const std::optional<double> n = number_of(v);
  return n && *n >= 0 && *n < 65536 ? static_cast<int>(*n) : 0;
}

WatchEvent read_event(const json::value& v, const SettingNames& names) {
  if (!v.is_object()) throw ConfigError("an event is no object");
  const json::object& in = v.get_object();
  WatchEvent event;
  event.sequence_number = static_cast<uint64_t>(number_at(in, "seq", 0, 9e15));
  const json::value* fleet = in.if_contains("fleet");
  if (fleet == nullptr) return event;
  if (!fleet->is_object()) throw ConfigError("fleet is no object");
  event.has_endpoints = true;
  const json::value* whole = fleet->get_object().if_contains("whole");
  event.is_complete = whole != nullptr && whole->is_bool() && whole->get_bool();
  const json::value* hosts = fleet->get_object().if_contains("hosts");
  if (hosts == nullptr || !hosts->is_array()) throw ConfigError("hosts is missing or no list");
  if (hosts->get_array().size() > kMostNodes) throw ConfigError("hosts has more than 20,000 entries");
  for (const json::value& item : hosts->get_array()) {
    if (!item.is_object()) throw ConfigError("a host is no object");
    const json::object& h = item.get_object();
    WatchEvent::EndpointChange node;
    node.endpoint.name = string_at(h, "host");
    const std::string health = string_at(h, "health");
    if (health == "gone")
      node.is_removed = true;
    else if (health != "ready" && health != "draining")
      throw ConfigError("health '" + health + "' is unknown");
    node.endpoint.state = health == "ready"      ? EndpointState::kReady
                          : health == "draining" ? EndpointState::kDraining
                                                 : EndpointState::kRemoved;
    if (h.contains("dial")) node.endpoint.address = string_at(h, "dial");
    node.endpoint.zone = index_of(names.zones, h.if_contains("site"));
    node.endpoint.engine_type = index_of(names.engine_types, h.if_contains("class"));
    node.endpoint.cell = static_cast<int>(number_or(h, "block", 0, 65535, 0));
    node.endpoint.size = number_or(h, "share", 0, 1e9, 1);
    node.endpoint.started_at = static_cast<TimeUs>(number_or(h, "born_ms", 0, kMostMs, 0) * 1000);
    if (!node.is_removed && node.endpoint.address.empty()) throw ConfigError("a host has no dial");
    event.endpoints.push_back(std::move(node));
  }
  return event;
}

uint64_t read_seed(const std::string& hex) {
  uint64_t seed = 0;
  const auto [end, error] = std::from_chars(hex.data(), hex.data() + hex.size(), seed, 16);
  if (error != std::errc() || end != hex.data() + hex.size() || hex.empty())
    throw ConfigError("seed is no number of hex digits");
  return seed;
}

}  // namespace

WatchEvent parse_watch_event(std::string_view text, const SettingNames& names) {
  return read_event(read_json(text), names);
}

PlatformConfig parse_config(std::string_view text) {
  const json::value root = read_json(text);
  if (!root.is_object()) throw ConfigError("the configuration is no object");
  const json::object& in = root.get_object();
  PlatformConfig config;
  config.name = string_at(in, "name");
  config.listen_address = string_at(in, "listen");
  config.seed = read_seed(string_at(in, "seed"));
  const json::object& limits = object_at(in, "limits");
  config.cpu_cores = number_or(limits, "cores", 0, 1e4, 1);
  config.memory_mb = static_cast<size_t>(number_or(limits, "memory_mb", 1, 1e9, 192));
  config.max_descriptors = static_cast<size_t>(number_at(limits, "sockets", 48, 1e7));
  config.watch_address = string_at(in, "changelog");
  const json::object& settings = object_at(in, "settings");
  std::string lines;
  flatten(settings, "", lines);
  try {
    config.settings = parse_settings(lines);
  } catch (const SettingsError& e) {
    throw ConfigError(e.what());
  }
  config.names = read_names(settings);
  if (const json::value* l = settings.if_contains("Limits"); l != nullptr && l->is_object()) {
    config.dial_timeout_us =
        static_cast<TimeUs>(number_or(l->get_object(), "DialTimeoutUs", 1, 1e9, 250'000));
    config.engine_idle_timeout_us =
        static_cast<TimeUs>(number_or(l->get_object(), "IdleCloseUs", 1, 1e12, 15'000'000));
  }
  const json::object& known = object_at(in, "known");
  config.initial_sequence_number = static_cast<uint64_t>(number_at(known, "seq", 0, 9e15));
  if (const json::value* results = known.if_contains("results"); results != nullptr) {
    if (!results->is_array()) throw ConfigError("results is no list");
    for (const json::value& event : results->get_array())
      config.initial_events.push_back(read_event(event, config.names));
  }
  return config;
}

}  // namespace sablelink::platform
