// The subcommands of the command line. Each returns the exit code of the process. Configuration and startup
// errors are thrown as sablelink::Error, which main() prints.
#pragma once

#include <string>
#include <vector>

#include "service/system.h"
#include "workload/error.h"

namespace sablelink::cli {

enum ExitCode {
  kSuccess = 0,
  kError = 1,     // invalid usage or configuration, or the command itself couldn't run
  kRejected = 3,  // query: rejected before it ran, so a retry is safe
  kFailed = 4,    // query: failed; other commands: a rule was violated
};

/// A command-line argument is invalid, or a file that it names can't be read or written.
struct CommandError : Error {
  using Error::Error;
};

/// Runs a gateway and several engine emulators in one process, for trying the program out.
struct UpOptions {
  std::string listen_address = "127.0.0.1:31337";
  int engines = 4;
};
int run_up(const UpOptions& options, const service::System& system);

/// Runs a Flight SQL gateway until SIGTERM or SIGINT; SIGHUP reloads the configuration.
int run_gateway(const std::string& config_file, const service::System& system);

/// Runs a gateway with the users' platform's protocol. The environment variable BALANCER_CONFIG holds the
/// path of its configuration file.
int run_platform(const service::System& system);

/// Runs an engine emulator.
int run_node(const std::string& config_file, const service::System& system);

/// Checks the configuration file of a gateway or of an engine emulator.
int run_config_check(const std::string& config_file);

struct QueryOptions {
  std::string statement;
  std::string endpoint = "127.0.0.1:31337";
  double timeout_s = 30;
  std::vector<std::string> headers;  // each "name=value"
  bool json = false;                 // rows as JSON lines instead of a table
  bool update = false;               // run as an update, whose result is a row count
};
int run_query(const QueryOptions& options, const service::System& system);

struct BadDayOptions {
  std::string script_file;    // empty: the built-in script
  std::string report_folder;  // empty: a temporary one, deleted if the run succeeds
  double max_length_s = 0;    // maximum length of the script; 0: no limit
};
/// Injects scripted faults into real processes under load and audits the run.
int run_badday(const BadDayOptions& options, const service::System& system);

struct SimulateOptions {
  std::string seeds;          // "7" or "1..1000"; empty: 1..100, or none if there are scenario files
  std::string scenario_file;  // empty: none
  std::string corpus_folder;  // its scenarios are run and failing ones are written to it; empty: none
  std::string defect = "none";
  int jobs = 2;        // number of scenarios simulated in parallel
  bool trace = false;  // print the event log of a single scenario
  bool shrink = false;
  int max_shrink_runs = 400;
  bool coverage = false;
};
/// Runs scenarios from seeds or files on a virtual clock and checks the rules.
int run_simulate(const SimulateOptions& options);

/// Audits the records of engine emulators alone, which show concurrent attempts, repeated sends and collapses
/// but not what clients received. With a tag, prints the recorded events of that request instead.
int run_audit(const std::vector<std::string>& record_files, const std::string& tag);

/// Returns the contents of a file. Throws CommandError if it can't be read.
std::string read_file(const std::string& path);

}  // namespace sablelink::cli
