// Typed access to the members of JSON objects. Every function throws ConfigError, which names the key.
#pragma once

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace sablelink::platform {

/// Parses a document of bounded length and depth.
boost::json::value parse_json(std::string_view text);

std::string string_value(const boost::json::value& value);
/// The number that `value` holds; empty where it is null, not a number or not finite.
std::optional<double> finite_number(const boost::json::value* value);

const boost::json::object& object_member(const boost::json::object& object, const char* key);
std::string string_member(const boost::json::object& object, const char* key);
double number_member(const boost::json::object& object, const char* key, double min, double max);
/// The default where the key is missing; a value that is present must be valid.
double number_member_or(const boost::json::object& object, const char* key, double min, double max,
                        double default_value);

/// The object at `key`; null where there is none or where it is of another type.
const boost::json::object* optional_object(const boost::json::object& object, const char* key);
/// The array at `key`; null where there is none or where it is of another type.
const boost::json::array* optional_array(const boost::json::object& object, const char* key);

}  // namespace sablelink::platform
