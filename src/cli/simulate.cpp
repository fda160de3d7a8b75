#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <system_error>
#include <thread>

#include "audit/auditor.h"
#include "cli/commands.h"
#include "sim/run.h"

namespace sablelink::cli {
namespace {

namespace fs = std::filesystem;
using sim::RunOptions;
using sim::RunResult;
using sim::Scenario;

constexpr size_t kMaxPrintedFindingsPerScenario = 10;
constexpr size_t kMaxPrintedFailures = 20;

struct SeedRange {
  uint64_t first;
  uint64_t last;
};
constexpr SeedRange kDefaultSeeds = {1, 100};

// ---- Arguments

sim::Mutation parse_defect(const std::string& name) {
  for (int i = 0; i < sim::kMutations; ++i) {
    const auto mutation = static_cast<sim::Mutation>(i);
    if (name == sim::mutation_name(mutation)) return mutation;
  }
  throw CommandError("--defect '" + name + "' is unknown");
}

std::optional<uint64_t> parse_number(const std::string& text) {
  uint64_t value = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  if (error != std::errc() || end != text_end) return std::nullopt;
  return value;
}

// Parses "7" or "1..1000".
SeedRange parse_seeds(const std::string& text) {
  const size_t dots = text.find("..");
  const std::optional<uint64_t> first = parse_number(text.substr(0, dots));
  const std::optional<uint64_t> last =
      dots == std::string::npos ? first : parse_number(text.substr(dots + 2));
  if (!first || !last) {
    throw CommandError("--seeds '" + text + "' is neither a number nor a range such as 1..1000");
  }
  if (*first > *last) throw CommandError("--seeds '" + text + "' has a last seed below its first");
  return {*first, *last};
}

std::vector<std::string> corpus_files(const std::string& folder) {
  std::vector<std::string> files;
  std::error_code error;
  for (fs::directory_iterator entry(folder, error), end; !error && entry != end; entry.increment(error)) {
    if (entry->path().extension() == ".toml") files.push_back(entry->path());
  }
  if (error) throw CommandError(folder + " can't be read: " + error.message());
  std::sort(files.begin(), files.end());
  return files;
}

// The scenarios to run: those read from files, followed by those generated from seeds.
class ScenarioList {
 public:
  explicit ScenarioList(const SimulateOptions& options) {
    if (!options.scenario_file.empty()) add_file(options.scenario_file);
    if (!options.corpus_folder.empty() && fs::is_directory(options.corpus_folder)) {
      for (const std::string& file : corpus_files(options.corpus_folder)) add_file(file);
    }
    if (!options.seeds.empty()) {
      seeds_ = parse_seeds(options.seeds);
    } else if (file_scenarios_.empty()) {
      seeds_ = kDefaultSeeds;
    }
  }

  uint64_t size() const {
    const uint64_t seed_count = seeds_ ? seeds_->last - seeds_->first + 1 : 0;
    return file_scenarios_.size() + seed_count;
  }

  Scenario at(uint64_t index) const {
    if (index < file_scenarios_.size()) return file_scenarios_[index];
    return sim::make_scenario(seeds_->first + (index - file_scenarios_.size()));
  }

 private:
  void add_file(const std::string& file) {
    file_scenarios_.push_back(sim::parse_scenario(read_file(file), file));
  }

  std::vector<Scenario> file_scenarios_;
  std::optional<SeedRange> seeds_;
};

// ---- Output

void print_findings(const std::vector<audit::Finding>& findings) {
  const size_t printed = std::min(findings.size(), kMaxPrintedFindingsPerScenario);
  for (size_t i = 0; i < printed; ++i) {
    const audit::Finding& finding = findings[i];
    if (finding.rule == 0) {
      std::printf("  broken: %s\n", finding.what.c_str());
    } else {
      std::printf("  rule %d: %s\n", finding.rule, finding.what.c_str());
    }
  }
  if (printed < findings.size()) std::printf("  ... and %zu more\n", findings.size() - printed);
}

std::string format_ends(const sim::EndCounts& ends) {
  constexpr const char* kEndNames[audit::ClientRecord::kEnds] = {"served",     "refused", "failed",
                                                                 "unanswered", "left",    "out of reach"};
  std::string text;
  for (size_t i = 0; i < ends.count.size(); ++i) {
    if (i > 0) text += ", ";
    text += std::string(kEndNames[i]) + " " + std::to_string(ends.count[i]);
  }
  return text;
}

void print_run(const Scenario& scenario, const RunResult& result) {
  std::printf("%s: %zu requests, %zu troubles: %s; attempts %" PRIu64 ", further ones %" PRIu64 "; %" PRIu64
              " steps, digest %016" PRIx64 "\n",
              scenario.name.c_str(), scenario.requests.size(), scenario.faults.size(),
              format_ends(result.ends).c_str(), result.attempts, result.retries, result.steps, result.digest);
  print_findings(result.findings);
}

void print_coverage(const sim::FaultPairs& pairs) {
  std::printf("\ntroubles met (their number in all worlds) and pairs that overlapped:\n");
  size_t overlapping_pairs = 0;
  size_t total_pairs = 0;
  std::string missing_pairs;
  for (int a = 0; a < sim::kFaultKinds; ++a) {
    const std::string name_a = sim::fault_name(static_cast<sim::FaultKind>(a));
    uint64_t pairs_with_a = 0;
    for (int b = 0; b < sim::kFaultKinds; ++b) pairs_with_a += pairs[std::min(a, b)][std::max(a, b)];
    std::printf("  %-16s in %" PRIu64 " pairs\n", name_a.c_str(), pairs_with_a);
    for (int b = a; b < sim::kFaultKinds; ++b) {
      ++total_pairs;
      if (pairs[a][b] > 0) {
        ++overlapping_pairs;
      } else {
        missing_pairs += "  " + name_a + " with " + sim::fault_name(static_cast<sim::FaultKind>(b)) + "\n";
      }
    }
  }
  std::printf("pairs met: %zu of %zu\n", overlapping_pairs, total_pairs);
  if (!missing_pairs.empty()) std::printf("never met:\n%s", missing_pairs.c_str());
}

// Writes a failing scenario to the corpus folder, if there is one. With --shrink, the scenario is reduced
// first, and printed if there is no corpus folder.
void export_failure(const Scenario& scenario, const RunOptions& run_options, const RunResult& result,
                    const SimulateOptions& options) {
  Scenario exported = scenario;
  if (options.shrink) {
    exported = sim::shrink(scenario, run_options, result.findings.front().rule, options.max_shrink_runs);
    std::printf("cut down to %zu requests and %zu troubles:\n", exported.requests.size(),
                exported.faults.size());
    if (options.corpus_folder.empty()) std::fputs(sim::to_toml(exported).c_str(), stdout);
  }
  if (options.corpus_folder.empty()) return;
  std::error_code error;
  fs::create_directories(options.corpus_folder, error);
  if (error) throw CommandError(options.corpus_folder + " can't be created: " + error.message());
  const std::string file = options.corpus_folder + "/seed-" + std::to_string(scenario.seed) + ".toml";
  std::ofstream(file) << sim::to_toml(exported);
  std::printf("kept as %s\n", file.c_str());
}

// ---- Runs

// Accumulates the results of many scenarios.
class Totals {
 public:
  // Thread-safe.
  void add(uint64_t index, const Scenario& scenario, RunResult result) {
    const std::lock_guard lock(mutex_);
    sim::count_fault_pairs(scenario, &fault_pairs_);
    sum_.steps += result.steps;
    sum_.simulated_us += result.simulated_us;
    sum_.attempts += result.attempts;
    sum_.retries += result.retries;
    sum_.planning_calls += result.planning_calls;
    sum_.streamed_responses += result.streamed_responses;
    sum_.buffer_limit_reached += result.buffer_limit_reached;
    sum_.cancelled_unread += result.cancelled_unread;
    sum_.ends += result.ends;
    sum_.counts += result.counts;
    digest_ += result.digest * (2 * index + 1);  // the sum doesn't depend on the order of the calls
    sum_.findings.insert(sum_.findings.end(), result.findings.begin(), result.findings.end());
    if (!result.findings.empty()) failures_.emplace(index, std::move(result));
  }

  void print(uint64_t scenarios, double elapsed_s, int jobs) const {
    const double simulated_s = sum_.simulated_us / 1e6;
    std::printf("\n%" PRIu64 " worlds, digest %016" PRIx64 ": %s; attempts %" PRIu64 ", further ones %" PRIu64
                "; planning calls %" PRIu64 "\n",
                scenarios, digest_, format_ends(sum_.ends).c_str(), sum_.attempts, sum_.retries,
                sum_.planning_calls);
    std::printf("answers that flowed %" PRIu64 ", %" PRIu64
                " of them by the total bound; clients that left unread bytes %" PRIu64 "\n",
                sum_.streamed_responses, sum_.buffer_limit_reached, sum_.cancelled_unread);
    std::fputs(audit::render_rules(sum_.findings, sum_.counts).c_str(), stdout);
    std::printf("%.1f s simulated in %.2f s on %d threads (%.0f times), %" PRIu64 " steps\n", simulated_s,
                elapsed_s, jobs, simulated_s / elapsed_s, sum_.steps);
    if (failures_.empty()) {
      std::printf("simulation: clean\n");
    } else {
      std::printf("simulation: %zu of %" PRIu64 " worlds broke a rule\n", failures_.size(), scenarios);
    }
  }

  // The failed scenarios' results, by scenario index.
  const std::map<uint64_t, RunResult>& failures() const { return failures_; }
  const sim::FaultPairs& fault_pairs() const { return fault_pairs_; }

 private:
  std::mutex mutex_;
  std::map<uint64_t, RunResult> failures_;
  sim::FaultPairs fault_pairs_{};
  RunResult sum_;
  uint64_t digest_ = 0;
};

int run_one(const Scenario& scenario, const RunOptions& run_options, const SimulateOptions& options) {
  const RunResult result = sim::run(scenario, run_options);
  if (options.trace) std::fputs(result.event_log.c_str(), stdout);
  print_run(scenario, result);
  if (result.findings.empty()) return kSuccess;
  if (options.shrink) export_failure(scenario, run_options, result, options);
  return kFailed;
}

// Scenarios share no state, so the results don't depend on the number of threads.
void run_in_parallel(const ScenarioList& scenarios, const RunOptions& run_options, int jobs, Totals& totals) {
  std::atomic<uint64_t> next{0};
  const auto worker = [&] {
    for (uint64_t i = next++; i < scenarios.size(); i = next++) {
      const Scenario scenario = scenarios.at(i);
      totals.add(i, scenario, sim::run(scenario, run_options));
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(jobs);
  for (int i = 0; i < jobs; ++i) threads.emplace_back(worker);
  for (std::thread& thread : threads) thread.join();
}

void report_failures(const Totals& totals, const ScenarioList& scenarios, const RunOptions& run_options,
                     const SimulateOptions& options) {
  size_t printed = 0;
  for (const auto& [index, result] : totals.failures()) {
    if (++printed > kMaxPrintedFailures) break;
    const Scenario scenario = scenarios.at(index);
    print_run(scenario, result);
    const bool is_first = printed == 1;
    if (is_first || !options.corpus_folder.empty()) {
      export_failure(scenario, run_options, result, options);
    }
  }
}

int run_many(const ScenarioList& scenarios, const RunOptions& run_options, const SimulateOptions& options) {
  const auto start = std::chrono::steady_clock::now();
  Totals totals;
  run_in_parallel(scenarios, run_options, options.jobs, totals);
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  report_failures(totals, scenarios, run_options, options);
  if (options.coverage) print_coverage(totals.fault_pairs());
  totals.print(scenarios.size(), elapsed.count(), options.jobs);
  return totals.failures().empty() ? kSuccess : kFailed;
}

}  // namespace

int run_simulate(const SimulateOptions& options) {
  RunOptions run_options;
  run_options.mutation = parse_defect(options.defect);
  run_options.keep_event_log = options.trace;
  const ScenarioList scenarios(options);
  if (scenarios.size() == 1) return run_one(scenarios.at(0), run_options, options);
  return run_many(scenarios, run_options, options);
}

}  // namespace sablelink::cli
