#include "platform/config.h"

#include <boost/json.hpp>
#include <charconv>
#include <system_error>

#include "platform/json_fields.h"
#include "platform/settings_lines.h"
#include "workload/settings_parser.h"

namespace sablelink::platform {
namespace {

namespace json = boost::json;

constexpr double kMaxSequenceNumber = 9e15;
constexpr double kMaxCores = 1e4;
constexpr double kMaxMemoryMb = 1e9;
constexpr double kMinDescriptors = 48;
constexpr double kMaxDescriptors = 1e7;
constexpr double kMaxDialTimeoutUs = 1e9;
constexpr double kMaxIdleTimeoutUs = 1e12;

uint64_t parse_seed(const std::string& hex) {
  uint64_t seed = 0;
  const char* const end = hex.data() + hex.size();
  const auto result = std::from_chars(hex.data(), end, seed, 16);
  if (hex.empty() || result.ec != std::errc() || result.ptr != end)
    throw ConfigError("'seed' is not a hexadecimal number");
  return seed;
}

Settings parse_decision_settings(const json::object& settings) {
  try {
    return parse_settings(to_settings_lines(settings));
  } catch (const SettingsError& error) {
    throw ConfigError(error.what());
  }
}

void parse_process_limits(const json::object& limits, PlatformConfig& config) {
  config.cpu_cores = number_member_or(limits, "cores", 0, kMaxCores, config.cpu_cores);
  config.memory_mb = static_cast<size_t>(
      number_member_or(limits, "memory_mb", 1, kMaxMemoryMb, static_cast<double>(config.memory_mb)));
  config.max_descriptors =
      static_cast<size_t>(number_member(limits, "sockets", kMinDescriptors, kMaxDescriptors));
}

void parse_connection_limits(const json::object& limits, PlatformConfig& config) {
  config.dial_timeout_us = static_cast<TimeUs>(
      number_member_or(limits, "DialTimeoutUs", 1, kMaxDialTimeoutUs, config.dial_timeout_us));
  config.engine_idle_timeout_us = static_cast<TimeUs>(
      number_member_or(limits, "IdleCloseUs", 1, kMaxIdleTimeoutUs, config.engine_idle_timeout_us));
}

void parse_known_endpoints(const json::object& known, PlatformConfig& config) {
  config.initial_sequence_number = static_cast<uint64_t>(number_member(known, "seq", 0, kMaxSequenceNumber));
  const json::value* results = known.if_contains("results");
  if (results == nullptr) return;
  if (!results->is_array()) throw ConfigError("'results' is not an array");
  for (const json::value& event : results->get_array())
    config.initial_events.push_back(parse_watch_event(event, config.names));
}

}  // namespace

PlatformConfig parse_config(std::string_view text) {
  const json::value root = parse_json(text);
  if (!root.is_object()) throw ConfigError("the configuration is not an object");
  const json::object& object = root.get_object();
  PlatformConfig config;
  config.name = string_member(object, "name");
  config.listen_address = string_member(object, "listen");
  config.seed = parse_seed(string_member(object, "seed"));
  parse_process_limits(object_member(object, "limits"), config);
  config.change_log_address = string_member(object, "changelog");
  const json::object& settings = object_member(object, "settings");
  config.settings = parse_decision_settings(settings);
  config.names = parse_setting_names(settings);
  if (const json::object* limits = optional_object(settings, "Limits"))
    parse_connection_limits(*limits, config);
  parse_known_endpoints(object_member(object, "known"), config);
  return config;
}

}  // namespace sablelink::platform
