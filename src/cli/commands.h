// The subcommands. Each returns the process's exit code; errors of configuration and start are thrown.
#pragma once

#include <string>
#include <vector>

#include "service/system.h"

namespace sablelink::cli {

enum ExitCode { kServed = 0, kUsage = 1, kRefused = 3, kFailed = 4 };

struct UpOptions {
  std::string listen = "127.0.0.1:31337";
  int nodes = 4;
};
int run_up(const UpOptions& options, const service::System& system);
int run_gateway(const std::string& file, const service::System& system);
int run_node(const std::string& file, const service::System& system);
// A gateway on the users' platform, as BALANCER_CONFIG and SIGHUP tell.
int run_platform(const service::System& system);
int run_config_check(const std::string& file);

struct QueryOptions {
  std::string statement;
  std::string endpoint = "127.0.0.1:31337";
  double timeout_s = 30;
  std::vector<std::string> headers;
  bool json = false;
  bool update = false;
};
int run_query(const QueryOptions& options, const service::System& system);

struct BadDayOptions {
  std::string script;   // empty: the one that is part of the program
  std::string report;   // folder; empty: a temporary one, left in place only where a rule broke
  double length_s = 0;  // shortens the day; 0: as the script says
};
int run_badday(const BadDayOptions& options, const service::System& system);

struct SimulateOptions {
  std::string seeds;     // "7" or "1..1000"; empty: 1..100, or none where scenarios are told
  std::string scenario;  // a file
  std::string corpus;    // a folder of scenarios: run first, and failing worlds are kept there
  std::string defect = "none";
  int jobs = 2;
  bool trace = false;  // of a single world
  bool shrink = false;
  int shrink_runs = 400;
  bool coverage = false;
};
int run_simulate(const SimulateOptions& options);

// Audits what records of nodes alone can show: attempts at once, attempts sent twice, nodes that fell.
// With a tag, prints what the records hold of that request instead.
int run_audit(const std::vector<std::string>& records, const std::string& tag);

// The whole of a file. Throws config::ConfigError where it can't be read.
std::string read_file(const std::string& path);

}  // namespace sablelink::cli
