#include "platform/watch_event.h"

#include <boost/json.hpp>
#include <string>
#include <utility>

#include "platform/config_error.h"
#include "platform/json_fields.h"

namespace sablelink::platform {
namespace {

namespace json = boost::json;

constexpr double kMaxSequenceNumber = 9e15;
constexpr size_t kMaxEndpoints = 20'000;
constexpr double kMaxUnixTimeMs = 1e15;
constexpr double kMaxCell = 65535;
constexpr double kMaxSize = 1e9;
constexpr double kUsPerMs = 1000;

EndpointState parse_state(const std::string& health) {
  if (health == "ready") return EndpointState::kReady;
  if (health == "draining") return EndpointState::kDraining;
  if (health == "gone") return EndpointState::kRemoved;
  throw ConfigError("'health' has the unknown value '" + health + "'");
}

WatchEvent::EndpointChange parse_endpoint_change(const json::value& value, const SettingNames& names) {
  if (!value.is_object()) throw ConfigError("an element of 'hosts' is not an object");
  const json::object& host = value.get_object();
  WatchEvent::EndpointChange change;
  config::EngineConfig& endpoint = change.endpoint;
  endpoint.name = string_member(host, "host");
  endpoint.state = parse_state(string_member(host, "health"));
  change.is_removed = endpoint.state == EndpointState::kRemoved;
  if (host.contains("dial")) endpoint.address = string_member(host, "dial");
  endpoint.zone = index_of(names.zones, host.if_contains("site"));
  endpoint.engine_type = index_of(names.engine_types, host.if_contains("class"));
  endpoint.cell = static_cast<int>(number_member_or(host, "block", 0, kMaxCell, 0));
  endpoint.size = number_member_or(host, "share", 0, kMaxSize, 1);
  endpoint.started_at =
      static_cast<TimeUs>(number_member_or(host, "born_ms", 0, kMaxUnixTimeMs, 0) * kUsPerMs);
  if (!change.is_removed && endpoint.address.empty())
    throw ConfigError("'dial' is missing or empty in an element of 'hosts'");
  return change;
}

}  // namespace

WatchEvent parse_watch_event(const json::value& value, const SettingNames& names) {
  if (!value.is_object()) throw ConfigError("an event is not an object");
  const json::object& object = value.get_object();
  WatchEvent event;
  event.sequence_number = static_cast<uint64_t>(number_member(object, "seq", 0, kMaxSequenceNumber));
  if (!object.contains("fleet")) return event;
  event.has_endpoints = true;
  const json::object& fleet = object_member(object, "fleet");
  const json::value* whole = fleet.if_contains("whole");
  event.replaces_list = whole != nullptr && whole->is_bool() && whole->get_bool();
  const json::array* hosts = optional_array(fleet, "hosts");
  if (hosts == nullptr) throw ConfigError("'hosts' is missing or not an array");
  if (hosts->size() > kMaxEndpoints) throw ConfigError("'hosts' has more than 20,000 elements");
  for (const json::value& host : *hosts) event.endpoints.push_back(parse_endpoint_change(host, names));
  return event;
}

WatchEvent parse_watch_event(std::string_view text, const SettingNames& names) {
  return parse_watch_event(parse_json(text), names);
}

}  // namespace sablelink::platform
