// Typed access to the members of JSON objects. Invalid members throw ConfigError with the key in its message.
#pragma once

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace sablelink::platform {

/// Parses a document of limited length and depth.
boost::json::value parse_json(std::string_view text);

std::string string_value(const boost::json::value& value);
/// The number in `value`; empty if `value` is null, not a number or not finite.
std::optional<double> finite_number(const boost::json::value* value);

const boost::json::object& object_member(const boost::json::object& object, const char* key);
std::string string_member(const boost::json::object& object, const char* key);
double number_member(const boost::json::object& object, const char* key, double min, double max);
/// Returns the default value if the key is missing. A value that is present must be valid.
double number_member_or(const boost::json::object& object, const char* key, double min, double max,
                        double default_value);

/// The object at `key`; null if the key is missing or its value is not an object.
const boost::json::object* optional_object(const boost::json::object& object, const char* key);
/// The array at `key`; null if the key is missing or its value is not an array.
const boost::json::array* optional_array(const boost::json::object& object, const char* key);

}  // namespace sablelink::platform
