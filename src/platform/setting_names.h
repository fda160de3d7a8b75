// Names in the platform's messages for which the decision module uses indices.
#pragma once

#include <boost/json/fwd.hpp>
#include <string>
#include <vector>

namespace sablelink::platform {

/// Each vector has the order of the settings, so that a name's position is its index.
struct SettingNames {
  std::vector<std::string> classes;
  std::vector<std::string> zones;
  std::vector<std::string> engine_types;
  std::vector<std::string> report_fields;
  std::vector<std::string> tenants;
};

/// Reads the names from the platform's settings. Throws ConfigError if a class or tenant has no name.
SettingNames parse_setting_names(const boost::json::object& settings);

/// Converts a name to its index. A number is used as the index. 0 if the value is missing or unknown.
int index_of(const std::vector<std::string>& names, const boost::json::value* name_or_index);

}  // namespace sablelink::platform
