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
#include <thread>

#include "audit/auditor.h"
#include "cli/commands.h"
#include "config/section.h"
#include "sim/run.h"

namespace sablelink::cli {
namespace {

using sim::RunOptions;
using sim::RunResult;
using sim::Scenario;

sim::Defect defect_named(const std::string& name) {
  for (int i = 0; i < sim::kDefects; ++i)
    if (name == sim::defect_name(static_cast<sim::Defect>(i))) return static_cast<sim::Defect>(i);
  throw config::ConfigError("--defect '" + name + "' is none that is known");
}

// "7" or "1..1000".
std::pair<uint64_t, uint64_t> parse_seeds(const std::string& text) {
  const auto number = [&](const std::string& part) {
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), value);
    if (error != std::errc() || end != part.data() + part.size())
      throw config::ConfigError("--seeds '" + text + "' is neither a number nor like 1..1000");
    return value;
  };
  const size_t dots = text.find("..");
  if (dots == std::string::npos) return {number(text), number(text)};
  const std::pair<uint64_t, uint64_t> range(number(text.substr(0, dots)), number(text.substr(dots + 2)));
  if (range.first > range.second) throw config::ConfigError("--seeds '" + text + "' runs backwards");
  return range;
}

void print_findings(const RunResult& r) {
  size_t shown = 0;
  for (const audit::Finding& f : r.findings) {
    if (++shown > 10) {
      std::printf("  ... and %zu more\n", r.findings.size() - 10);
      break;
    }
    if (f.rule == 0)
      std::printf("  broken: %s\n", f.what.c_str());
    else
      std::printf("  rule %d: %s\n", f.rule, f.what.c_str());
  }
}

std::string ends_text(const sim::Ends& ends) {
  constexpr const char* kNames[audit::ClientRecord::kEnds] = {"served",     "refused", "failed",
                                                              "unanswered", "left",    "out of reach"};
  std::string text;
  for (size_t i = 0; i < ends.count.size(); ++i)
    text += (i == 0 ? "" : ", ") + std::string(kNames[i]) + " " + std::to_string(ends.count[i]);
  return text;
}

void print_run(const Scenario& s, const RunResult& r) {
  std::printf("%s: %zu requests, %zu troubles: %s; attempts %" PRIu64 ", further ones %" PRIu64 "; %" PRIu64
              " steps, digest %016" PRIx64 "\n",
              s.name.c_str(), s.requests.size(), s.troubles.size(), ends_text(r.ends).c_str(), r.attempts,
              r.further_attempts, r.steps, r.digest);
  print_findings(r);
}

void print_coverage(const sim::Pairs& pairs) {
  std::printf("\ntroubles met (their number in all worlds) and pairs that overlapped:\n");
  size_t met = 0, all = 0;
  std::string never;
  for (int a = 0; a < sim::kTroubles; ++a) {
    uint64_t with = 0;
    for (int b = 0; b < sim::kTroubles; ++b) with += pairs[std::min(a, b)][std::max(a, b)];
    std::printf("  %-16s in %" PRIu64 " pairs\n", sim::trouble_name(static_cast<sim::Trouble>(a)), with);
    for (int b = a; b < sim::kTroubles; ++b) {
      ++all;
      if (pairs[a][b] > 0) {
        ++met;
      } else {
        never += std::string("  ") + sim::trouble_name(static_cast<sim::Trouble>(a)) + " with " +
                 sim::trouble_name(static_cast<sim::Trouble>(b)) + "\n";
      }
    }
  }
  std::printf("pairs met: %zu of %zu\n", met, all);
  if (!never.empty()) std::printf("never met:\n%s", never.c_str());
}

// Writes a failing world out, cut down where asked for.
void keep(const Scenario& s, const RunOptions& run_options, const RunResult& r,
          const SimulateOptions& options) {
  Scenario out = s;
  if (options.shrink) {
    out = sim::shrink(s, run_options, r.findings.front().rule, options.shrink_runs);
    std::printf("cut down to %zu requests and %zu troubles:\n", out.requests.size(), out.troubles.size());
    if (options.corpus.empty()) std::fputs(sim::to_toml(out).c_str(), stdout);
  }
  if (options.corpus.empty()) return;
  std::filesystem::create_directories(options.corpus);
  const std::string file = options.corpus + "/seed-" + std::to_string(s.seed) + ".toml";
  std::ofstream(file) << sim::to_toml(out);
  std::printf("kept as %s\n", file.c_str());
}

}  // namespace

int run_simulate(const SimulateOptions& options) {
  RunOptions run_options;
  run_options.defect = defect_named(options.defect);
  run_options.keep_account = options.trace;
  std::vector<Scenario> told;
  if (!options.scenario.empty())
    told.push_back(sim::parse_scenario(read_file(options.scenario), options.scenario));
  if (!options.corpus.empty() && std::filesystem::is_directory(options.corpus)) {
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(options.corpus))
      if (entry.path().extension() == ".toml") files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    for (const std::string& file : files) told.push_back(sim::parse_scenario(read_file(file), file));
  }
  std::pair<uint64_t, uint64_t> seeds(1, 0);
  if (!options.seeds.empty())
    seeds = parse_seeds(options.seeds);
  else if (told.empty())
    seeds = {1, 100};
  const uint64_t drawn = seeds.first <= seeds.second ? seeds.second - seeds.first + 1 : 0;
  const uint64_t count = told.size() + drawn;
  const auto world = [&](uint64_t i) {
    return i < told.size() ? told[i] : sim::make_scenario(seeds.first + (i - told.size()));
  };
  if (count == 1) {
    const Scenario s = world(0);
    const RunResult r = sim::run(s, run_options);
    if (options.trace) std::fputs(r.account.c_str(), stdout);
    print_run(s, r);
    if (r.findings.empty()) return kServed;
    if (options.shrink) keep(s, run_options, r, options);
    return kFailed;
  }

  // Worlds share nothing; what is printed comes in their order, however many threads there are.
  const auto begin = std::chrono::steady_clock::now();
  std::atomic<uint64_t> next{0};
  std::mutex mutex;
  std::map<uint64_t, RunResult> broken;
  sim::Pairs pairs{};
  RunResult sum;
  uint64_t digest = 0;
  const auto worker = [&] {
    for (uint64_t i = next++; i < count; i = next++) {
      const Scenario s = world(i);
      RunResult r = sim::run(s, run_options);
      const std::lock_guard lock(mutex);
      sim::count_pairs(s, &pairs);
      sum.steps += r.steps;
      sum.simulated_us += r.simulated_us;
      sum.attempts += r.attempts;
      sum.further_attempts += r.further_attempts;
      sum.plans += r.plans;
      sum.streams += r.streams;
      sum.bound_reached += r.bound_reached;
      sum.left_unread += r.left_unread;
      sum.ends += r.ends;
      sum.counts += r.counts;
      digest += r.digest * (2 * i + 1);  // whatever the order
      sum.findings.insert(sum.findings.end(), r.findings.begin(), r.findings.end());
      if (!r.findings.empty()) broken.emplace(i, std::move(r));
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < options.jobs; ++i) threads.emplace_back(worker);
  for (std::thread& t : threads) t.join();
  const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();

  size_t shown = 0;
  for (const auto& [i, r] : broken) {
    if (++shown > 20) break;
    const Scenario s = world(i);
    print_run(s, r);
    if (shown == 1 || !options.corpus.empty()) keep(s, run_options, r, options);
  }
  if (options.coverage) print_coverage(pairs);
  std::printf("\n%" PRIu64 " worlds, digest %016" PRIx64 ": %s; attempts %" PRIu64 ", further ones %" PRIu64
              "; planning calls %" PRIu64 "\n",
              count, digest, ends_text(sum.ends).c_str(), sum.attempts, sum.further_attempts, sum.plans);
  std::printf("answers that flowed %" PRIu64 ", %" PRIu64
              " of them by the total bound; clients that left unread bytes %" PRIu64 "\n",
              sum.streams, sum.bound_reached, sum.left_unread);
  std::fputs(audit::render_rules(sum.findings, sum.counts).c_str(), stdout);
  std::printf("%.1f s simulated in %.2f s on %d threads (%.0f times), %" PRIu64 " steps\n",
              sum.simulated_us / 1e6, took, options.jobs, sum.simulated_us / 1e6 / took, sum.steps);
  if (broken.empty())
    std::printf("simulation: clean\n");
  else
    std::printf("simulation: %zu of %" PRIu64 " worlds broke a rule\n", broken.size(), count);
  return broken.empty() ? kServed : kFailed;
}

}  // namespace sablelink::cli
