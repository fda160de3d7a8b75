#include "platform/setting_names.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>

#include "platform/json_fields.h"

namespace sablelink::platform {
namespace {

namespace json = boost::json;

constexpr double kIndexEnd = 65536;

// Elements of other types become empty names, so that the indices of the others do not change.
std::vector<std::string> string_array(const json::object& object, const char* key) {
  std::vector<std::string> out;
  const json::array* array = optional_array(object, key);
  if (array == nullptr) return out;
  for (const json::value& element : *array)
    out.push_back(element.is_string() ? string_value(element) : std::string());
  return out;
}

std::vector<std::string> names_of_objects(const json::object& object, const char* key) {
  std::vector<std::string> out;
  const json::array* array = optional_array(object, key);
  if (array == nullptr) return out;
  for (const json::value& element : *array)
    out.push_back(element.is_object() ? string_member(element.get_object(), "Name") : std::string());
  return out;
}

}  // namespace

SettingNames parse_setting_names(const json::object& settings) {
  SettingNames names;
  names.zones = string_array(settings, "Zones");
  names.engine_types = string_array(settings, "Flavors");
  names.classes = names_of_objects(settings, "Services");
  names.tenants = names_of_objects(settings, "Tenants");
  if (const json::object* report = optional_object(settings, "Report"))
    names.report_fields = string_array(*report, "Fields");
  return names;
}

int index_of(const std::vector<std::string>& names, const json::value* name_or_index) {
  if (name_or_index == nullptr) return 0;
  if (name_or_index->is_string()) {
    const auto it = std::find(names.begin(), names.end(), string_value(*name_or_index));
    return it == names.end() ? 0 : static_cast<int>(it - names.begin());
  }
  const std::optional<double> index = finite_number(name_or_index);
  return index && *index >= 0 && *index < kIndexEnd ? static_cast<int>(*index) : 0;
}

}  // namespace sablelink::platform
