// Runs a fault drill: starts gateways and nodes as processes, sends the traffic through Flight SQL clients,
// executes the scripted events, and passes the records to the auditor. The records about gateways contain
// only what the drill itself did to them, not what the gateways report.
#pragma once

#include <string>

#include "audit/auditor.h"
#include "badday/script.h"
#include "service/system.h"

namespace sablelink::badday {

struct DayOptions {
  std::string program;  // path of this program
  std::string folder;   // the directory for configurations, records and logs; must exist
};

struct DayResult {
  audit::AuditSettings settings;
  audit::Report report;
  std::string trouble;  // the first failure of the drill itself, which makes its result invalid; empty: none
};

DayResult run_day(const Script& script, const DayOptions& options, const service::System& system);

}  // namespace sablelink::badday
