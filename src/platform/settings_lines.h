// Conversion of the platform's settings from a JSON object to the lines that parse_settings() reads.
#pragma once

#include <boost/json/fwd.hpp>
#include <string>

namespace sablelink::platform {

/// Writes one line "path=value" for each value. The keys of nested objects are joined by dots
/// ("Limits.Cancel=true"). An array of scalars is one line ("Zones=west,east"). Any other array has a line
/// with its length ("Services.count=2") and its element indices in paths ("Services.0.Name=lookup").
std::string to_settings_lines(const boost::json::object& settings);

}  // namespace sablelink::platform
