// Drives a bad day: starts gateways and nodes as processes, sends the traffic through Flight SQL clients,
// lets the troubles happen, and hands the records to the auditor. What it says of gateways is only what it
// did to them itself.
#pragma once

#include <string>

#include "audit/auditor.h"
#include "badday/script.h"
#include "service/system.h"

namespace sablelink::badday {

struct DayOptions {
  std::string program;  // path of this program
  std::string folder;   // for configurations, records and logs; must exist
};

struct DayResult {
  audit::AuditSettings settings;
  audit::Report report;
  std::string trouble;  // what went wrong with the day itself, so that it proves nothing; empty: nothing
};

DayResult run_day(const Script& script, const DayOptions& options, const service::System& system);

}  // namespace sablelink::badday
