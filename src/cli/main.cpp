// The command line. Time, random numbers, arguments and signals of the operating system are obtained in this
// folder and passed to the other code.
#include <google/protobuf/stubs/logging.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "service/system.h"
#include "workload/error.h"

namespace sablelink::cli {
namespace {

// The selected subcommand; set while the arguments are parsed, run afterwards.
using Command = std::function<int()>;

service::System operating_system() {
  service::System system;
  system.wall = [] { return std::chrono::system_clock::now(); };
  system.steady = [] { return std::chrono::steady_clock::now(); };
  system.random = [device = std::make_shared<std::random_device>()] {
    return uint64_t{(*device)()} << 32 | (*device)();
  };
  return system;
}

// Each of the following functions adds a subcommand, whose callback sets `command` if the arguments select
// it.

void add_up(CLI::App& app, const service::System& system, Command& command) {
  CLI::App* const up =
      app.add_subcommand("up", "Run a gateway and stand-in nodes in one process, for trying it out");
  const auto options = std::make_shared<UpOptions>();
  up->add_option("--listen", options->listen_address, "Address on which Flight SQL is served")
      ->capture_default_str();
  up->add_option("--nodes", options->engines, "Number of stand-in nodes")
      ->capture_default_str()
      ->check(CLI::Range(1, 64));
  up->callback(
      [options, &system, &command] { command = [options, &system] { return run_up(*options, system); }; });
}

void add_gateway(CLI::App& app, const service::System& system, Command& command) {
  CLI::App* const gateway = app.add_subcommand("gateway", "Run a gateway");
  const auto config_file = std::make_shared<std::string>();
  gateway->add_option("--config", *config_file, "The configuration")->required();
  gateway->callback([config_file, &system, &command] {
    command = [config_file, &system] { return run_gateway(*config_file, system); };
  });
}

void add_serve(CLI::App& app, const service::System& system, Command& command) {
  CLI::App* const serve = app.add_subcommand("serve", "Run a gateway with the platform's protocol");
  serve->add_flag("--platform")
      ->description("Use the platform's protocol and the configuration file that BALANCER_CONFIG names")
      ->required();
  serve->callback([&system, &command] { command = [&system] { return run_platform(system); }; });
}

void add_node(CLI::App& app, const service::System& system, Command& command) {
  CLI::App* const node = app.add_subcommand("node", "Run a stand-in node");
  const auto config_file = std::make_shared<std::string>();
  node->add_option("--config", *config_file, "The configuration")->required();
  node->callback([config_file, &system, &command] {
    command = [config_file, &system] { return run_node(*config_file, system); };
  });
}

void add_config(CLI::App& app, Command& command) {
  CLI::App* const config = app.add_subcommand("config", "Configuration tools");
  config->require_subcommand(1);
  CLI::App* const check =
      config->add_subcommand("check", "Check the configuration file of a gateway or of a stand-in node");
  const auto config_file = std::make_shared<std::string>();
  check->add_option("file", *config_file, "The configuration")->required();
  check->callback(
      [config_file, &command] { command = [config_file] { return run_config_check(*config_file); }; });
}

void add_query(CLI::App& app, const service::System& system, Command& command) {
  CLI::App* const query = app.add_subcommand("query", "Send a statement and print its result");
  const auto options = std::make_shared<QueryOptions>();
  query->add_option("statement", options->statement, "SQL")->required();
  query->add_option("--endpoint", options->endpoint, "Address of the gateway")->capture_default_str();
  query->add_option("--timeout", options->timeout_s, "Timeout in seconds")->capture_default_str();
  query->add_option("--header", options->headers, "A request header as name=value; may be repeated");
  query->add_flag("--json", options->json, "Print rows as JSON lines");
  query->add_flag("--update", options->update, "Run as an update, whose result is a row count");
  query->footer("Exit codes: 0 served, 3 rejected (a retry is safe), 4 failed, 1 invalid usage");
  query->callback(
      [options, &system, &command] { command = [options, &system] { return run_query(*options, system); }; });
}

void add_badday(CLI::App& app, const service::System& system, Command& command) {
  CLI::App* const badday =
      app.add_subcommand("badday", "Inject scripted faults into real processes and audit the run");
  const auto options = std::make_shared<BadDayOptions>();
  badday->add_option("--script", options->script_file, "Script to run instead of the built-in one");
  badday->add_option("--report", options->report_folder,
                     "Folder for the report, records, logs and configurations");
  badday->add_option("--length", options->max_length_s, "End the run after this many seconds");
  badday->footer("Exit codes: 0 no rule violated, 4 a rule was violated, 1 the run itself failed");
  badday->callback([options, &system, &command] {
    command = [options, &system] { return run_badday(*options, system); };
  });
}

void add_audit(CLI::App& app, Command& command) {
  CLI::App* const audit = app.add_subcommand("audit", "Audit the records of stand-in nodes");
  const auto record_files = std::make_shared<std::vector<std::string>>();
  const auto tag = std::make_shared<std::string>();
  audit->add_option("records", *record_files, "Record files")->required();
  audit->add_option("--tag", *tag, "Print the recorded events of this request instead");
  audit->footer("Exit codes: 0 no rule violated, 4 a rule was violated");
  audit->callback([record_files, tag, &command] {
    command = [record_files, tag] { return run_audit(*record_files, *tag); };
  });
}

void add_simulate(CLI::App& app, Command& command) {
  CLI::App* const simulate =
      app.add_subcommand("simulate", "Run the gateway's code in seeded scenarios on a virtual clock");
  const auto options = std::make_shared<SimulateOptions>();
  simulate->add_option("--seeds,--seed", options->seeds, "One seed, or a range like 1..1000");
  simulate->add_option("--scenario", options->scenario_file, "A scenario file");
  simulate->add_option("--corpus", options->corpus_folder,
                       "Folder of scenarios to run; failing ones are written to it");
  simulate->add_option("--jobs", options->jobs, "Number of scenarios simulated in parallel")
      ->capture_default_str()
      ->check(CLI::Range(1, 256));
  simulate->add_flag("--trace", options->trace, "Print the event log of a single scenario");
  simulate->add_flag("--shrink", options->shrink, "Reduce a failing scenario and print it");
  simulate
      ->add_option("--shrink-runs", options->max_shrink_runs, "Maximum number of runs to reduce a scenario")
      ->capture_default_str();
  simulate->add_flag("--coverage", options->coverage, "Print which pairs of faults overlapped in time");
  simulate->add_option("--defect", options->defect, "Inject a bug, to check that it is detected")->group("");
  simulate->footer("Exit codes: 0 no rule violated, 4 a rule was violated");
  simulate->callback([options, &command] { command = [options] { return run_simulate(*options); }; });
}

int run(int argc, char** argv) {
  const service::System system = operating_system();
  Command command;
  CLI::App app{"sablelink: admits queries and routes them to analytic engines"};
  app.require_subcommand(1);
  app.set_version_flag("--version", "sablelink 0.2.0");
  add_up(app, system, command);
  add_gateway(app, system, command);
  add_serve(app, system, command);
  add_node(app, system, command);
  add_config(app, command);
  add_query(app, system, command);
  add_badday(app, system, command);
  add_audit(app, command);
  add_simulate(app, command);
  CLI11_PARSE(app, argc, argv);

  // By default, protobuf writes to standard error for each malformed message. The client that sent it
  // receives an error, so the log would only repeat it.
  google::protobuf::SetLogHandler(nullptr);
  try {
    return command();
  } catch (const Error& e) {
    std::fprintf(stderr, "sablelink: %s\n", e.what());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "sablelink: internal error: %s\n", e.what());
  }
  return kError;
}

}  // namespace
}  // namespace sablelink::cli

int main(int argc, char** argv) { return sablelink::cli::run(argc, argv); }
