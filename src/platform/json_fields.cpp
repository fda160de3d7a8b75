#include "platform/json_fields.h"

#include <boost/json/src.hpp>
#include <cmath>

#include "platform/config_error.h"

namespace sablelink::platform {
namespace {

namespace json = boost::json;

constexpr size_t kMaxJsonBytes = 16u << 20;
constexpr int kMaxJsonDepth = 32;

}  // namespace

json::value parse_json(std::string_view text) {
  if (text.size() > kMaxJsonBytes) throw ConfigError("JSON is longer than 16 MiB");
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  boost::system::error_code error;
  json::value value = json::parse({text.data(), text.size()}, error, {}, options);
  if (error) throw ConfigError("invalid JSON: " + error.message());
  return value;
}

std::string string_value(const json::value& value) { return std::string(value.as_string()); }

std::optional<double> finite_number(const json::value* value) {
  if (value == nullptr) return std::nullopt;
  if (value->is_int64()) return static_cast<double>(value->get_int64());
  if (value->is_uint64()) return static_cast<double>(value->get_uint64());
  if (value->is_double() && std::isfinite(value->get_double())) return value->get_double();
  return std::nullopt;
}

const json::object& object_member(const json::object& object, const char* key) {
  const json::object* member = optional_object(object, key);
  if (member == nullptr) throw ConfigError("'" + std::string(key) + "' is missing or not an object");
  return *member;
}

std::string string_member(const json::object& object, const char* key) {
  const json::value* member = object.if_contains(key);
  if (member == nullptr || !member->is_string())
    throw ConfigError("'" + std::string(key) + "' is missing or not a string");
  return string_value(*member);
}

double number_member(const json::object& object, const char* key, double min, double max) {
  const std::optional<double> number = finite_number(object.if_contains(key));
  if (!number || *number < min || *number > max)
    throw ConfigError("'" + std::string(key) + "' is missing, not a number or out of range");
  return *number;
}

double number_member_or(const json::object& object, const char* key, double min, double max,
                        double default_value) {
  return object.contains(key) ? number_member(object, key, min, max) : default_value;
}

const json::object* optional_object(const json::object& object, const char* key) {
  const json::value* member = object.if_contains(key);
  return member == nullptr ? nullptr : member->if_object();
}

const json::array* optional_array(const json::object& object, const char* key) {
  const json::value* member = object.if_contains(key);
  return member == nullptr ? nullptr : member->if_array();
}

}  // namespace sablelink::platform
