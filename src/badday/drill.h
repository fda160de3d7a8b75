// Runs a fault drill: starts gateways and nodes as processes, sends the traffic through Flight SQL clients,
// executes the scripted events, and passes the records to the auditor. The records about gateways contain
// only what the drill itself did to them, not what the gateways report.
#pragma once

#include <string>

#include "audit/auditor.h"
#include "badday/script.h"
#include "service/system.h"

namespace sablelink::badday {

struct DrillOptions {
  std::string program;  // path of this program
  std::string folder;   // the directory for configurations, records and logs; must exist
};

struct DrillResult {
  audit::AuditSettings settings;
  audit::Report report;
  std::string failure;  // the first failure of the drill itself, which makes its result invalid; empty: none
};

DrillResult run_drill(const Script& script, const DrillOptions& options, const service::System& system);

}  // namespace sablelink::badday
