#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "badday/day.h"
#include "badday_script.h"
#include "cli/commands.h"
#include "nodes/record_file.h"

namespace sablelink::cli {

int run_badday(const BadDayOptions& options, const service::System& system) {
  badday::Script script = options.script.empty()
                              ? badday::parse_script(kBadDayScript, "built-in script")
                              : badday::parse_script(read_file(options.script), options.script);
  if (options.length_s > 0)
    script.length_us = std::min(script.length_us, static_cast<TimeUs>(options.length_s * 1e6));
  std::erase_if(script.events, [&](const badday::Event& e) { return e.at >= script.length_us; });
  const bool temporary = options.report.empty();
  const std::filesystem::path folder = temporary ? std::filesystem::temp_directory_path() /
                                                       ("sablelink-badday-" + std::to_string(system.random()))
                                                 : std::filesystem::path(options.report);
  std::filesystem::create_directories(folder);
  for (int i = 0; i < script.nodes; ++i)  // records of an earlier day would be taken for this one's
    std::filesystem::remove(folder / ("n" + std::to_string(i) + ".rec"));
  std::printf("a bad day of %.0f s: %d gateways, %d stand-in nodes, about %.0f queries; records in %s\n",
              script.length_us / 1e6, script.gateways, script.nodes, script.rate * script.length_us / 1e6,
              folder.c_str());
  std::fflush(stdout);
  const badday::DayOptions day{std::filesystem::read_symlink("/proc/self/exe"), folder};
  const badday::DayResult result = badday::run_day(script, day, system);
  const std::string text = audit::render(result.settings, result.report);
  std::ofstream(folder / "report.txt") << text;
  std::fputs(text.c_str(), stdout);
  if (!result.trouble.empty()) {
    std::fprintf(stderr, "sablelink: the day itself went wrong: %s\n", result.trouble.c_str());
    return kUsage;
  }
  if (const int rule = result.report.untouched_rule(); rule != 0) {
    std::fprintf(stderr, "sablelink: rule %d was never at stake on this day, so it proves nothing of it\n",
                 rule);
    return kUsage;
  }
  if (temporary && result.report.clean()) std::filesystem::remove_all(folder);
  return result.report.clean() ? kServed : kFailed;
}

int run_audit(const std::vector<std::string>& files, const std::string& tag) {
  audit::AuditSettings settings;
  audit::Records records;
  for (const std::string& file : files)
    for (nodes::NodeEvent& e : nodes::read_records(file)) records.nodes.push_back(std::move(e));
  if (!tag.empty()) {
    static constexpr const char* kKinds[] = {"started", "arrived", "ended", "fell"};
    static constexpr const char* kEnds[] = {"answered", "error", "refused", "cancelled", "broken"};
    std::stable_sort(records.nodes.begin(), records.nodes.end(),
                     [](const nodes::NodeEvent& a, const nodes::NodeEvent& b) { return a.at < b.at; });
    for (const nodes::NodeEvent& e : records.nodes) {
      if (e.tag != tag) continue;
      std::printf("%lld %s %s attempt %d %s", static_cast<long long>(e.at), e.node.c_str(), e.request.c_str(),
                  e.attempt, kKinds[static_cast<int>(e.kind)]);
      if (e.kind == nodes::NodeEvent::Kind::kEnded)
        std::printf(" %s, %s, %s", kEnds[static_cast<int>(e.end)], e.ran ? "ran" : "never ran",
                    e.done ? "work done" : "work not done");
      std::printf("\n");
    }
    return kServed;
  }
  const audit::Report report = audit::audit(settings, records);
  std::fputs(audit::render(settings, report).c_str(), stdout);
  return report.clean() ? kServed : kFailed;
}

}  // namespace sablelink::cli
