#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

#include "badday/drill.h"
#include "badday_script.h"
#include "cli/commands.h"
#include "nodes/record_file.h"

namespace sablelink::cli {
namespace {

namespace fs = std::filesystem;

badday::Script load_script(const BadDayOptions& options) {
  badday::Script script = options.script_file.empty()
                              ? badday::parse_script(kBadDayScript, "built-in script")
                              : badday::parse_script(read_file(options.script_file), options.script_file);
  if (options.max_length_s > 0) {
    script.length_us = std::min(script.length_us, static_cast<TimeUs>(options.max_length_s * 1e6));
  }
  std::erase_if(script.events, [&](const badday::Event& event) { return event.at >= script.length_us; });
  return script;
}

// Creates the folder and removes the record files of an earlier run, which the audit would otherwise include.
void prepare_folder(const fs::path& folder, int nodes) {
  std::error_code error;
  fs::create_directories(folder, error);
  for (int i = 0; i < nodes && !error; ++i) {
    fs::remove(folder / ("n" + std::to_string(i) + ".rec"), error);
  }
  if (error) throw CommandError(folder.string() + " can't be used: " + error.message());
}

void print_node_event(const nodes::NodeEvent& event) {
  static constexpr const char* kKindNames[] = {"started", "arrived", "ended", "fell"};
  static constexpr const char* kEndNames[] = {"answered", "error", "refused", "cancelled", "broken"};
  std::printf("%lld %s %s attempt %d %s", static_cast<long long>(event.at), event.node.c_str(),
              event.request.c_str(), event.attempt, kKindNames[static_cast<int>(event.kind)]);
  if (event.kind == nodes::NodeEvent::Kind::kEnded) {
    std::printf(" %s, %s, %s", kEndNames[static_cast<int>(event.end)],
                event.work_started ? "ran" : "never ran",
                event.work_completed ? "work done" : "work not done");
  }
  std::printf("\n");
}

void print_events_with_tag(const std::string& tag, std::vector<nodes::NodeEvent> events) {
  std::stable_sort(events.begin(), events.end(),
                   [](const nodes::NodeEvent& a, const nodes::NodeEvent& b) { return a.at < b.at; });
  for (const nodes::NodeEvent& event : events) {
    if (event.tag == tag) print_node_event(event);
  }
}

}  // namespace

int run_badday(const BadDayOptions& options, const service::System& system) {
  const badday::Script script = load_script(options);
  const bool is_temporary = options.report_folder.empty();
  const fs::path folder =
      is_temporary ? fs::temp_directory_path() / ("sablelink-badday-" + std::to_string(system.random()))
                   : fs::path(options.report_folder);
  prepare_folder(folder, script.nodes);
  std::printf("a bad day of %.0f s: %d gateways, %d stand-in nodes, about %.0f queries; records in %s\n",
              script.length_us / 1e6, script.gateways, script.nodes, script.rate * script.length_us / 1e6,
              folder.c_str());
  std::fflush(stdout);

  const badday::DrillOptions drill_options{fs::read_symlink("/proc/self/exe"), folder};
  const badday::DrillResult result = badday::run_drill(script, drill_options, system);
  const std::string report = audit::render(result.settings, result.report);
  std::ofstream(folder / "report.txt") << report;
  std::fputs(report.c_str(), stdout);
  if (!result.failure.empty()) {
    std::fprintf(stderr, "sablelink: the fault-injection run itself failed: %s\n", result.failure.c_str());
    return kError;
  }
  if (const int rule = result.report.rule_never_at_stake(); rule != 0) {
    std::fprintf(stderr, "sablelink: the script never exercised rule %d, so the run doesn't verify it\n",
                 rule);
    return kError;
  }
  if (!result.report.clean()) return kFailed;
  if (is_temporary) fs::remove_all(folder);
  return kSuccess;
}

int run_audit(const std::vector<std::string>& record_files, const std::string& tag) {
  audit::Records records;
  for (const std::string& file : record_files) {
    std::vector<nodes::NodeEvent> events = nodes::read_records(file);
    std::move(events.begin(), events.end(), std::back_inserter(records.nodes));
  }
  if (!tag.empty()) {
    print_events_with_tag(tag, std::move(records.nodes));
    return kSuccess;
  }
  const audit::AuditSettings settings;
  const audit::Report report = audit::audit(settings, records);
  std::fputs(audit::render(settings, report).c_str(), stdout);
  return report.clean() ? kSuccess : kFailed;
}

}  // namespace sablelink::cli
