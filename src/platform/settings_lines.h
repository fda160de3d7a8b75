// The platform's settings, which are a JSON object, as the lines that parse_settings() reads.
#pragma once

#include <boost/json/fwd.hpp>
#include <string>

namespace sablelink::platform {

/// One line "path=value" for each value. Members are joined by dots ("Limits.Cancel=true"). An array of plain
/// values is one line ("Zones=west,east"); an array of objects has its length in a line ("Services.count=2")
/// and its elements' index in the path ("Services.0.Name=lookup").
std::string to_settings_lines(const boost::json::object& settings);

}  // namespace sablelink::platform
