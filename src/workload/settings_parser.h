// Reads a gateway's settings from lines of path=value, as the platform sends them. The platform's names are
// mapped to the project's terms here alone.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "workload/error.h"
#include "workload/events.h"
#include "workload/settings.h"

namespace sablelink {

/// A setting that can't be read; the message names its key.
class SettingsError : public Error {
 public:
  using Error::Error;
};

/// Unknown keys are ignored; missing and empty ones take the defaults of Settings. Throws SettingsError where
/// a value can't be read, or where the list of classes or one of its mandatory keys is missing.
Settings parse_settings(std::string_view text);

/// Names of the load reports' fields, in the order in which reports carry them; empty where there are none.
std::vector<std::string> parse_load_report_fields(std::string_view text);

/// Sets the value that the platform's field name stands for; false, and nothing changes, for an unknown name.
bool set_load_report_value(LoadReport& report, std::string_view field, double value);

}  // namespace sablelink
