// The command line. Everything that the system alone can tell (time, random numbers, arguments, signals)
// enters here and is passed down.
#include <google/protobuf/stubs/logging.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <random>

#include "cli/commands.h"
#include "workload/error.h"

int main(int argc, char** argv) {
  using namespace sablelink;  // NOLINT
  service::System system;
  system.wall = [] { return std::chrono::system_clock::now(); };
  system.steady = [] { return std::chrono::steady_clock::now(); };
  system.random = [device = std::make_shared<std::random_device>()] {
    return uint64_t{(*device)()} << 32 | (*device)();
  };

  CLI::App app{"sablelink: admits queries and routes them to analytic engines"};
  app.require_subcommand(1);
  app.set_version_flag("--version", "sablelink 0.2.0");

  auto* const up = app.add_subcommand("up", "One gateway with four stand-in nodes, for trying it out");
  cli::UpOptions up_options;
  up->add_option("--listen", up_options.listen, "Where Flight SQL is served")->capture_default_str();
  up->add_option("--nodes", up_options.nodes, "How many stand-in nodes")
      ->capture_default_str()
      ->check(CLI::Range(1, 64));

  auto* const gateway = app.add_subcommand("gateway", "A gateway, as its configuration tells");
  std::string config;
  gateway->add_option("--config", config, "The configuration")->required();

  auto* const serve = app.add_subcommand("serve", "A gateway on the users' platform");
  bool on_platform = false;
  serve->add_flag("--platform", on_platform, "By the platform's protocol, as BALANCER_CONFIG tells")
      ->required();

  auto* const node = app.add_subcommand("node", "A stand-in node, as its configuration tells");
  node->add_option("--config", config, "The configuration")->required();

  auto* const config_command = app.add_subcommand("config", "Work on configurations");
  config_command->require_subcommand(1);
  auto* const check = config_command->add_subcommand("check", "Check a configuration of a gateway or a node");
  check->add_option("file", config, "The configuration")->required();

  auto* const query = app.add_subcommand("query", "Send a statement and print its answer");
  cli::QueryOptions query_options;
  query->add_option("statement", query_options.statement, "SQL")->required();
  query->add_option("--endpoint", query_options.endpoint, "Where a gateway listens")->capture_default_str();
  query->add_option("--timeout", query_options.timeout_s, "How long to wait, in seconds")
      ->capture_default_str();
  query->add_option("--header", query_options.headers, "A header as name=value; may be repeated");
  query->add_flag("--json", query_options.json, "Rows as JSON lines");
  query->add_flag("--update", query_options.update, "Run as an update, with a count as answer");
  query->footer("Exit codes: 0 served, 3 refused (trying again is harmless), 4 failed, 1 wrong usage");

  auto* const badday = app.add_subcommand("badday", "Run a scripted bad day and audit it from the sockets");
  cli::BadDayOptions day_options;
  badday->add_option("--script", day_options.script, "Another script than the built-in one");
  badday->add_option("--report", day_options.report,
                     "Folder for the report, records, logs and configurations");
  badday->add_option("--length", day_options.length_s, "End the day after so many seconds");
  badday->footer("Exit codes: 0 all rules kept, 4 a rule broke, 1 the day itself went wrong");

  auto* const audit = app.add_subcommand("audit", "Audit records of stand-in nodes");
  std::vector<std::string> records;
  audit->add_option("records", records, "Record files")->required();
  std::string tag;
  audit->add_option("--tag", tag, "Print what the records hold of this request instead");
  audit->footer("Exit codes: 0 clean, 4 a rule broke");

  auto* const simulate =
      app.add_subcommand("simulate", "Run the gateway's code in seeded worlds on a virtual clock");
  cli::SimulateOptions sim_options;
  simulate->add_option("--seeds,--seed", sim_options.seeds, "One seed, or a range like 1..1000");
  simulate->add_option("--scenario", sim_options.scenario, "A scenario file");
  simulate->add_option("--corpus", sim_options.corpus,
                       "Folder of scenarios to run; failing worlds are kept there");
  simulate->add_option("--jobs", sim_options.jobs, "Worlds at a time")
      ->capture_default_str()
      ->check(CLI::Range(1, 256));
  simulate->add_flag("--trace", sim_options.trace, "Print the account of a single world");
  simulate->add_flag("--shrink", sim_options.shrink, "Cut a failing world down and print it as a scenario");
  simulate->add_option("--shrink-runs", sim_options.shrink_runs, "Most runs to cut a world down")
      ->capture_default_str();
  simulate->add_flag("--coverage", sim_options.coverage, "Print which pairs of troubles met");
  simulate->add_option("--defect", sim_options.defect, "Plant a defect, to see it found")->group("");
  simulate->footer("Exit codes: 0 all rules kept, 4 a rule or promise broke");

  CLI11_PARSE(app, argc, argv);
  // Protobuf would write a line on standard error for each bad message that a client sends; who sent it is
  // told instead.
  google::protobuf::SetLogHandler(nullptr);
  try {
    if (*up) return cli::run_up(up_options, system);
    if (*gateway) return cli::run_gateway(config, system);
    if (*serve) return cli::run_platform(system);
    if (*node) return cli::run_node(config, system);
    if (*check) return cli::run_config_check(config);
    if (*badday) return cli::run_badday(day_options, system);
    if (*audit) return cli::run_audit(records, tag);
    if (*simulate) return cli::run_simulate(sim_options);
    if (*query) return cli::run_query(query_options, system);
  } catch (const Error& e) {
    std::fprintf(stderr, "sablelink: %s\n", e.what());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "sablelink: internal error: %s\n", e.what());
  }
  return cli::kUsage;
}
