// Names that the platform's messages use where the decision module uses an index.
#pragma once

#include <boost/json/fwd.hpp>
#include <string>
#include <vector>

namespace sablelink::platform {

/// Each vector is in the order of the settings, so that a name's position is its index.
struct SettingNames {
  std::vector<std::string> classes;
  std::vector<std::string> zones;
  std::vector<std::string> engine_types;
  std::vector<std::string> report_fields;
  std::vector<std::string> tenants;
};

/// Reads the names from the platform's settings. Throws ConfigError where a class or tenant has no name.
SettingNames parse_setting_names(const boost::json::object& settings);

/// The index of a name. A number is taken as the index itself. 0 where the value is missing or unknown.
int index_in(const std::vector<std::string>& names, const boost::json::value* name_or_index);

}  // namespace sablelink::platform
