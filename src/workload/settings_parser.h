// Reads a gateway's settings from lines of path=value.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "workload/error.h"
#include "workload/events.h"
#include "workload/settings.h"

namespace sablelink {

struct SettingsError : Error {
  using Error::Error;
};

// Unknown keys are ignored; missing optional keys take the defaults of Settings. Throws SettingsError, naming
// the key, where a value can't be read or the list of classes is missing.
Settings parse_settings(std::string_view text);

// Names of the report values, in the order in which reports carry them (Report.Fields).
std::vector<std::string> parse_load_report_fields(std::string_view text);

// Sets the value that a report's field names; false where it names none of those known.
bool set_load_report_value(LoadReport& report, std::string_view field, double value);

}  // namespace sablelink
