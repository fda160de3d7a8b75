// Parses a gateway's settings from lines of the form path=value, as the platform sends them. Only this file
// maps the platform's names to the project's terms.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "workload/error.h"
#include "workload/events.h"
#include "workload/settings.h"

namespace sablelink {

/// A setting that can't be parsed; the message contains its key.
class SettingsError : public Error {
 public:
  using Error::Error;
};

/// Unknown keys are ignored; missing and empty values keep the defaults of Settings. Throws SettingsError if
/// a value can't be parsed, or if the list of classes or a mandatory key of a class is missing.
Settings parse_settings(std::string_view text);

/// Returns the field names of load reports in the order of the report's values; empty if there are none.
std::vector<std::string> parse_load_report_fields(std::string_view text);

/// Sets the value of the field with the platform's name. Returns false and changes nothing if the name is
/// unknown.
bool set_load_report_value(LoadReport& report, std::string_view field, double value);

}  // namespace sablelink
