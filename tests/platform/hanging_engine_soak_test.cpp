// Engines that hang at random moments, on a virtual clock: no request ever has two attempts out at once, and
// every client gets a response.
#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "tests/platform/hanging_engine.h"
#include "tests/platform/platform_harness.h"

namespace sablelink::test {
namespace {

using ClientResponse = PlatformFixture::ClientResponse;

struct SoakOptions {
  TimeUs min_hang_us = 200 * kMs;
  TimeUs max_hang_us = kSecond;
  TimeUs mean_execution_us = 300 * kMs;
  TimeUs mean_interval_us = 60 * kMs;  // between requests
  TimeUs request_timeout_us = 7 * kSecond;
  double client_leaves = 0;  // probability for each request
  FaultRates faults;
};

// A gateway with three engines, of which one hangs at a time.
class HangingEngineSoak {
 public:
  HangingEngineSoak(uint64_t seed, const SoakOptions& options)
      : fixture_(200, 60, seed), options_(options), random_(fixture_.world().stream("soak")) {
    std::vector<std::string> addresses;
    for (int i = 1; i <= kEngines; ++i) {
      engines_.push_back(std::make_unique<HangingEngine>(fixture_.world(), fixture_.streams(), audit_,
                                                         "10.0.0." + std::to_string(i) + ":10080",
                                                         options.faults, options.mean_execution_us));
      addresses.push_back(engines_.back()->address());
    }
    fixture_.publish_addresses(addresses);
  }

  void run(TimeUs duration) {
    const TimeUs ends_at = fixture_.world().now() + duration;
    TimeUs next_hang_at = fixture_.world().now() + kSecond;
    while (fixture_.world().now() < ends_at) {
      send_request();
      if (fixture_.world().now() >= next_hang_at) next_hang_at = hang_one_engine() + kRestUs;
      fixture_.run_for(
          static_cast<TimeUs>(random_.exponential(static_cast<double>(options_.mean_interval_us))) + kMs);
    }
    fixture_.run_for(options_.request_timeout_us + kLastAttemptUs);
  }

  const AttemptAudit& audit() const { return audit_; }
  size_t request_count() const { return responses_.size(); }
  size_t count_status(int status) const {
    return static_cast<size_t>(std::count_if(responses_.begin(), responses_.end(), [&](const auto& response) {
      return response->status == status;
    }));
  }
  const platform::EngineClientCounters& counters() { return fixture_.engine_client().counters(); }

 private:
  static constexpr int kEngines = 3;
  static constexpr TimeUs kRestUs = 700 * kMs;
  static constexpr TimeUs kLastAttemptUs = 5 * kSecond;

  void send_request() {
    const std::string id = make_request_id(++last_id_);
    const std::string timeout_ms = std::to_string(options_.request_timeout_us / kMs);
    const TimeUs patience_us =
        random_.chance(options_.client_leaves) ? random_.between(50 * kMs, kSecond) : 60 * kSecond;
    const auto response =
        fixture_.send(PlatformFixture::make_query(id, "SELECT 1", "report", timeout_ms), patience_us);
    if (patience_us > options_.request_timeout_us) responses_.push_back(response);
  }

  // Returns when the engine resumes.
  TimeUs hang_one_engine() {
    const TimeUs duration = random_.between(options_.min_hang_us, options_.max_hang_us);
    engines_[random_.below(engines_.size())]->hang_for(duration);
    return fixture_.world().now() + duration;
  }

  AttemptAudit audit_;
  PlatformFixture fixture_;
  const SoakOptions options_;
  sim::RandomStream random_;
  std::vector<std::unique_ptr<HangingEngine>> engines_;
  std::vector<std::shared_ptr<ClientResponse>> responses_;  // to clients that don't leave
  int last_id_ = 0;
};

// The length of a long run by hand, in seeds per test.
int seed_count() {
  const char* const count = std::getenv("SABLELINK_SOAK_SEEDS");
  constexpr int kSeeds = 6;
  return count == nullptr ? kSeeds : std::atoi(count);
}

void expect_no_overlap(const SoakOptions& options) {
  constexpr TimeUs kDurationUs = 60 * kSecond;
  for (int seed = 1; seed <= seed_count(); ++seed) {
    HangingEngineSoak soak(static_cast<uint64_t>(seed), options);
    soak.run(kDurationUs);
    const std::vector<std::string> overlaps = soak.audit().overlaps();
    EXPECT_TRUE(overlaps.empty()) << "seed " << seed << ": " << overlaps.size() << " of "
                                  << soak.request_count()
                                  << ", the first: " << (overlaps.empty() ? "" : overlaps.front());
    EXPECT_EQ(soak.count_status(-1) + soak.count_status(0), 0u) << "seed " << seed;
    testing::Test::RecordProperty("served_" + std::to_string(seed),
                                  static_cast<int>(100 * soak.count_status(200) / soak.request_count()));
    if (std::getenv("SABLELINK_SOAK_SEEDS") != nullptr)
      std::printf("seed %d: %zu requests, %zu served, %llu delayed, %llu released, %zu overlaps\n", seed,
                  soak.request_count(), soak.count_status(200),
                  static_cast<unsigned long long>(soak.counters().attempts_delayed),
                  static_cast<unsigned long long>(soak.counters().attempts_released), overlaps.size());
  }
}

FaultRates all_faults() {
  FaultRates faults;
  faults.start_lost = 0.02;
  faults.response_lost = 0.02;
  faults.response_never = 0.01;
  faults.response_spoilt = 0.02;
  faults.statement_fails = 0.02;
  faults.shed = 0.02;
  return faults;
}

// Guards against the fault of review/2: hangs shorter than an engine's answer to a poll may take.
TEST(HangingEngineSoak, ShortHangs) { expect_no_overlap({}); }

// The engine resumes after the attempts that it had would have been abandoned.
TEST(HangingEngineSoak, LongHangs) {
  SoakOptions options;
  options.min_hang_us = kSecond;
  options.max_hang_us = 6 * kSecond;
  options.request_timeout_us = 14 * kSecond;
  expect_no_overlap(options);
}

// Statements that still run when the engine resumes.
TEST(HangingEngineSoak, LongStatements) {
  SoakOptions options;
  options.max_hang_us = 5 * kSecond;
  options.mean_execution_us = 3 * kSecond;
  options.mean_interval_us = 500 * kMs;
  options.request_timeout_us = 14 * kSecond;
  expect_no_overlap(options);
}

TEST(HangingEngineSoak, WithLostResponsesAndLeavingClients) {
  SoakOptions options;
  options.max_hang_us = 3 * kSecond;
  options.client_leaves = 0.1;
  options.faults = all_faults();
  expect_no_overlap(options);
}

}  // namespace
}  // namespace sablelink::test
