// The command line. Whatever only the system can tell (time, random numbers, arguments, signals) enters here
// and is passed down.
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

// What the arguments ask for; set while they are parsed, run afterwards.
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

// Each of the following adds a subcommand, which sets the command where the arguments name it.

void add_up(CLI::App& app, const service::System& system, Command& command) {
  CLI::App* const up = app.add_subcommand("up", "One gateway with stand-in nodes, for trying it out");
  const auto options = std::make_shared<UpOptions>();
  up->add_option("--listen", options->listen_address, "Where Flight SQL is served")->capture_default_str();
  up->add_option("--nodes", options->engines, "How many stand-in nodes")
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
  CLI::App* const serve = app.add_subcommand("serve", "Run a gateway on the users' platform");
  serve->add_flag("--platform")
      ->description("Use the platform's protocol and the configuration that BALANCER_CONFIG names")
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
  CLI::App* const config = app.add_subcommand("config", "Work on configurations");
  config->require_subcommand(1);
  CLI::App* const check =
      config->add_subcommand("check", "Check the configuration of a gateway or of a stand-in node");
  const auto config_file = std::make_shared<std::string>();
  check->add_option("file", *config_file, "The configuration")->required();
  check->callback(
      [config_file, &command] { command = [config_file] { return run_config_check(*config_file); }; });
}

void add_query(CLI::App& app, const service::System& system, Command& command) {
  CLI::App* const query = app.add_subcommand("query", "Send a statement and print its result");
  const auto options = std::make_shared<QueryOptions>();
  query->add_option("statement", options->statement, "SQL")->required();
  query->add_option("--endpoint", options->endpoint, "Where a gateway listens")->capture_default_str();
  query->add_option("--timeout", options->timeout_s, "How long to wait, in seconds")->capture_default_str();
  query->add_option("--header", options->headers, "A header as name=value; may be repeated");
  query->add_flag("--json", options->json, "Print rows as JSON lines");
  query->add_flag("--update", options->update, "Run as an update, whose result is a number of rows");
  query->footer("Exit codes: 0 served, 3 rejected (trying again is harmless), 4 failed, 1 wrong usage");
  query->callback(
      [options, &system, &command] { command = [options, &system] { return run_query(*options, system); }; });
}

void add_badday(CLI::App& app, const service::System& system, Command& command) {
  CLI::App* const badday = app.add_subcommand("badday", "Run a scripted fault drill and audit it");
  const auto options = std::make_shared<BadDayOptions>();
  badday->add_option("--script", options->script_file, "Another script than the built-in one");
  badday->add_option("--report", options->report_folder,
                     "Folder for the report, records, logs and configurations");
  badday->add_option("--length", options->max_length_s, "End the drill after this many seconds");
  badday->footer("Exit codes: 0 all rules kept, 4 a rule was broken, 1 the drill itself failed");
  badday->callback([options, &system, &command] {
    command = [options, &system] { return run_badday(*options, system); };
  });
}

void add_audit(CLI::App& app, Command& command) {
  CLI::App* const audit = app.add_subcommand("audit", "Audit records of stand-in nodes");
  const auto record_files = std::make_shared<std::vector<std::string>>();
  const auto tag = std::make_shared<std::string>();
  audit->add_option("records", *record_files, "Record files")->required();
  audit->add_option("--tag", *tag, "Print what the records have of this request instead");
  audit->footer("Exit codes: 0 all rules kept, 4 a rule was broken");
  audit->callback([record_files, tag, &command] {
    command = [record_files, tag] { return run_audit(*record_files, *tag); };
  });
}

void add_simulate(CLI::App& app, Command& command) {
  CLI::App* const simulate =
      app.add_subcommand("simulate", "Run the gateway's code in seeded worlds on a virtual clock");
  const auto options = std::make_shared<SimulateOptions>();
  simulate->add_option("--seeds,--seed", options->seeds, "One seed, or a range like 1..1000");
  simulate->add_option("--scenario", options->scenario_file, "A scenario file");
  simulate->add_option("--corpus", options->corpus_folder,
                       "Folder of scenarios to run; failing worlds are written to it");
  simulate->add_option("--jobs", options->jobs, "Worlds simulated at a time")
      ->capture_default_str()
      ->check(CLI::Range(1, 256));
  simulate->add_flag("--trace", options->trace, "Print the event log of a single world");
  simulate->add_flag("--shrink", options->shrink, "Reduce a failing world and print it as a scenario");
  simulate->add_option("--shrink-runs", options->max_shrink_runs, "At most this many runs to reduce a world")
      ->capture_default_str();
  simulate->add_flag("--coverage", options->coverage, "Print which pairs of faults overlapped");
  simulate->add_option("--defect", options->defect, "Plant a defect, to check that it is found")->group("");
  simulate->footer("Exit codes: 0 all rules kept, 4 a rule was broken");
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

  // Protobuf would write to standard error for each malformed message; the client that sent it gets an error
  // instead.
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
