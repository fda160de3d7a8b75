// The subcommands of the command line. Each returns the exit code of the process. Errors of the configuration
// and of the start are thrown as sablelink::Error, which main() prints.
#pragma once

#include <string>
#include <vector>

#include "service/system.h"
#include "workload/error.h"

namespace sablelink::cli {

enum ExitCode {
  kSuccess = 0,
  kError = 1,     // wrong usage or configuration, or the command itself couldn't run
  kRejected = 3,  // query: rejected, trying again is harmless
  kFailed = 4,    // query: failed; other commands: a rule was broken
};

/// An argument of the command line can't be used, or a file that it names can't be read or written.
struct CommandError : Error {
  using Error::Error;
};

/// Several engine emulators and a gateway in one process, to try it out.
struct UpOptions {
  std::string listen_address = "127.0.0.1:31337";
  int engines = 4;
};
int run_up(const UpOptions& options, const service::System& system);

/// A gateway with Flight SQL. Runs until SIGTERM or SIGINT; SIGHUP reloads the configuration.
int run_gateway(const std::string& config_file, const service::System& system);

/// A gateway on the users' platform. The environment variable BALANCER_CONFIG names its configuration.
int run_platform(const service::System& system);

/// An engine emulator.
int run_node(const std::string& config_file, const service::System& system);

/// Checks the configuration of a gateway or of an engine emulator.
int run_config_check(const std::string& config_file);

struct QueryOptions {
  std::string statement;
  std::string endpoint = "127.0.0.1:31337";
  double timeout_s = 30;
  std::vector<std::string> headers;  // each "name=value"
  bool json = false;                 // rows as JSON lines instead of a table
  bool update = false;               // run as an update, whose result is a number of rows
};
int run_query(const QueryOptions& options, const service::System& system);

struct BadDayOptions {
  std::string script_file;    // empty: the built-in script
  std::string report_folder;  // empty: a temporary one, which stays only where a rule was broken
  double max_length_s = 0;    // ends the script early; 0: no limit
};
/// Runs a scripted fault drill with real processes and audits it.
int run_badday(const BadDayOptions& options, const service::System& system);

struct SimulateOptions {
  std::string seeds;          // "7" or "1..1000"; empty: 1..100, or none where scenarios are given
  std::string scenario_file;  // empty: none
  std::string corpus_folder;  // scenarios to run; failing ones are written to it. Empty: none
  std::string defect = "none";
  int jobs = 2;        // scenarios simulated at a time
  bool trace = false;  // print the event log of a single scenario
  bool shrink = false;
  int max_shrink_runs = 400;
  bool coverage = false;
};
/// Runs seeded or given scenarios on a virtual clock and checks the rules.
int run_simulate(const SimulateOptions& options);

/// Audits what the records of engine emulators alone can show: concurrent attempts, repeated sends,
/// collapses. With a tag, prints what the records have of that request instead.
int run_audit(const std::vector<std::string>& record_files, const std::string& tag);

/// The contents of a file. Throws CommandError where it can't be read.
std::string read_file(const std::string& path);

}  // namespace sablelink::cli
