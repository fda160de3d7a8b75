// Runs the program as a process on loopback sockets: start, reload and graceful shutdown on the users'
// platform. Time limits are generous, as the tests check results and not their timing.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "badday/process.h"
#include "base/async_event.h"
#include "http/reader.h"
#include "rpc/asio_loop.h"
#include "rpc/tcp_transport.h"

namespace sablelink::test {
namespace {

constexpr TimeUs kSecond = 1'000'000;
constexpr TimeUs kPollIntervalUs = 5'000;
using StreamPtr = std::shared_ptr<rpc::ByteStream>;

class PlatformProcess : public testing::Test {
 protected:
  PlatformProcess() {
    directory_ =
        std::filesystem::temp_directory_path() / ("sablelink-platform-" + std::to_string(::getpid()));
    std::filesystem::create_directories(directory_);
    listen_ = badday::free_address();
    add_engines(1);
    old_changelog_ = listen([this](StreamPtr stream) { return serve_changelog(std::move(stream), "old"); });
    new_changelog_ = listen([this](StreamPtr stream) { return serve_changelog(std::move(stream), "new"); });
    write_config(old_changelog_);
    ::setenv("BALANCER_CONFIG", (directory_ / "config.json").c_str(), 1);
  }
  ~PlatformProcess() override {
    process_.reset();
    is_stopping_ = true;
    run_until([&] { return open_watch_count_ == 0; });
    network_.reset();
    loop_.poll();
    if (!HasFailure()) std::filesystem::remove_all(directory_);
  }

  // Starts a server; returns its address.
  template <typename Serve>
  std::string listen(Serve serve) {
    return "127.0.0.1:" + std::to_string(network_->listen("127.0.0.1:0", std::move(serve)));
  }

  void add_engines(size_t count) {
    for (size_t i = 0; i < count; ++i)
      engines_.push_back(listen([this](StreamPtr stream) { return serve_engine(std::move(stream)); }));
  }
  // The engines as entries of the change log's event.
  std::string engine_list() const {
    std::string hosts;
    for (size_t i = 0; i < engines_.size(); ++i)
      hosts += R"({"host":"s-)" + std::to_string(i) + R"(","dial":")" + engines_[i] +
               R"(","site":"east","class":"std","block":0,"health":"ready","share":1,"born_ms":0},)";
    return hosts;
  }

  void write_config(const std::string& changelog) {
    std::ofstream(directory_ / "config.json")
        << R"({"name":"n0","listen":")" << listen_ << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1,)"
        << R"("memory_mb":)" << memory_mb_ << R"(,"sockets":)" << max_descriptors_ << R"(},"changelog":")"
        << changelog << R"(","known":{"seq":1,"results":[{"seq":1,"fleet":{"whole":true,"hosts":[)"
        << engine_list() << R"({"host":"s-none","dial":"no address","health":"ready"}]}}]},)"
        << R"("settings":{"Zones":["east"],"Flavors":["std"],"Instances":1,"TickUs":1000,)"
        << R"("Limits":{"Cancel":true,"MaxAttempts":3},)"
        << R"("Services":[{"Name":"lookup","AimUs":9000000,"DeadlineUs":)" << request_timeout_us_ << "}]}}";
  }

  // The page that a call to the engine fetches: "GET /v2/q/ID/N". A start is answered with page 0.
  static size_t page_number(const http::Request& request) {
    return request.method == "GET" ? std::stoul(request.target.substr(request.target.rfind('/') + 1)) : 0;
  }
  std::string result_page(size_t page) const {
    http::Fields fields = {{"Page-No", std::to_string(page)}};
    if (page == 0) fields = {{"Page-Count", std::to_string(result_page_count_)}};
    return http::serialize_response(200, fields, result_page_rows_, true);
  }

  // Each statement takes service_time_us_; the response is sent on the call that started it.
  rpc::Awaitable<void> serve_engine(StreamPtr stream) {
    http::RequestReader reader{http::MessageLimits{}};
    for (;;) {
      const std::optional<std::string> bytes = co_await stream->read(4096);
      if (!bytes || bytes->empty()) co_return;
      if (reader.feed(*bytes) != http::ParseStatus::kComplete) continue;
      const http::Request request = reader.take_message();
      if (request.method == "POST") ++statements_started_;
      if (engine_hangs_) continue;
      if (request.method == "DELETE") {
        const std::string confirmation = http::serialize_response(204, {}, "", true);
        co_await rpc::write_all(*stream, confirmation);
        continue;
      }
      if (service_time_us_ > 0) co_await sleep_for(loop_, service_time_us_);
      const size_t page = page_number(request);
      if (page > 0 && page == withheld_page_) continue;
      const std::string response = result_page(page);
      co_await rpc::write_all(*stream, response);
    }
  }
  // Sends heartbeats until the client disconnects or the test ends.
  rpc::Awaitable<void> serve_changelog(StreamPtr stream, std::string name) {
    const std::optional<std::string> request = co_await stream->read(100);
    if (!request) co_return;
    watch_requests_.push_back(name + " " + *request);
    ++open_watch_count_;
    bool is_connected = true;
    while (is_connected && !is_stopping_) {
      const std::string heartbeat = "1\n";
      is_connected = co_await rpc::write_all(*stream, heartbeat);
      co_await sleep_for(loop_, kSecond / 10);
    }
    --open_watch_count_;
  }
  // Sets the status of the response; 0 if the connection failed or was closed without a response.
  rpc::Awaitable<void> send_request(std::string bytes, int* status) {
    const rpc::ConnectResult connected = co_await network_->connect(listen_, 5 * kSecond);
    const StreamPtr& stream = connected.stream;
    http::ResponseReader reader{http::MessageLimits{}};
    auto state = http::ParseStatus::kNeedMore;
    if (stream) co_await rpc::write_all(*stream, bytes);
    while (stream && state == http::ParseStatus::kNeedMore) {
      const std::optional<std::string> chunk = co_await stream->read(4096);
      if (!chunk || chunk->empty()) break;
      state = reader.feed(*chunk);
    }
    *status = state == http::ParseStatus::kComplete ? reader.response().status : 0;
  }
  // Sends a request in the background; its status is -1 until it has ended.
  void start_request(const std::string& bytes, int* status) {
    *status = -1;
    boost::asio::co_spawn(loop_.executor(), send_request(bytes, status), boost::asio::detached);
  }
  static std::string large_statement(size_t bytes) {
    std::string statement = "SELECT 1 FROM sales_1.orders WHERE id IN (1";
    while (statement.size() < bytes) statement += ",1";
    return statement + ")";
  }
  // Opens a connection of open_connections_ and sends the bytes on it, as far as the gateway reads.
  rpc::Awaitable<void> send_and_keep_open(std::string bytes) {
    const rpc::ConnectResult connected = co_await network_->connect(listen_, 5 * kSecond);
    const StreamPtr stream = connected.stream;
    if (!stream) co_return;
    open_connections_.push_back(stream);
    co_await rpc::write_all(*stream, std::move(bytes));
  }
  // The gateway's resident memory without pages of files, as the platform counts it.
  size_t private_memory_kb() const {
    std::ifstream status("/proc/" + std::to_string(process_->pid()) + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.starts_with("RssAnon:")) return std::stoul(line.substr(sizeof("RssAnon:")));
    return 0;
  }
  static std::string statement_request(int number, const char* timeout_ms = "20000",
                                       const std::string& statement = "SELECT 1 FROM sales_1.orders") {
    char id[sizeof("0123456789abcdef")];
    std::snprintf(id, sizeof(id), "%016x", number);
    return http::serialize_request("POST", "/v1/lookup", "h",
                                   {{"X-Request-Id", id}, {"X-Timeout-Ms", timeout_ms}}, statement);
  }
  // Runs the loop until the condition is true; returns false if it isn't within 30 s.
  bool run_until(const std::function<bool()>& condition) {
    bool is_true = false;
    const TimeUs deadline = loop_.now() + 30 * kSecond;
    std::function<void()> check = [&] {
      is_true = condition();
      if (is_true || loop_.now() > deadline) {
        loop_.stop();
      } else {
        loop_.call_after(kPollIntervalUs, [&] { check(); });
      }
    };
    loop_.call_after(0, [&] { check(); });
    loop_.run();
    return is_true;
  }
  void start() {
    process_ = std::make_unique<badday::Process>(
        SABLELINK_PROGRAM, std::vector<std::string>{"serve", "--platform"}, (directory_ / "log").string());
    ASSERT_TRUE(process_->wait_ready(30 * kSecond));
  }

  std::filesystem::path directory_;
  rpc::AsioLoop loop_{[] { return std::chrono::system_clock::now(); },
                      [] { return std::chrono::steady_clock::now(); }};
  std::unique_ptr<rpc::TcpTransport> network_ = std::make_unique<rpc::TcpTransport>(loop_);
  std::string listen_;                // the gateway's address
  std::vector<std::string> engines_;  // addresses of the test's own servers
  std::string old_changelog_;
  std::string new_changelog_;
  size_t memory_mb_ = 64;
  size_t max_descriptors_ = 256;
  TimeUs service_time_us_ = 0;
  TimeUs request_timeout_us_ = 20 * kSecond;
  bool engine_hangs_ = false;  // the engine reads calls but never responds
  size_t result_page_count_ = 1;
  std::string result_page_rows_ = "a\tb\tc\n";
  size_t withheld_page_ = 0;  // the engine does not respond to calls for this page; 0: none
  int statements_started_ = 0;
  int open_watch_count_ = 0;
  bool is_stopping_ = false;
  std::vector<std::string> watch_requests_;
  std::vector<StreamPtr> open_connections_;
  std::unique_ptr<badday::Process> process_;
};

TEST_F(PlatformProcess, Lifecycle_ServesReloadsAndShutsDownWithoutLostRequests) {
  start();
  int health = -1;
  int first = -1;
  start_request(http::serialize_request("GET", "/healthz", "h", {}), &health);
  start_request(statement_request(1), &first);
  EXPECT_TRUE(run_until([&] { return health >= 0 && first >= 0; }));
  EXPECT_EQ(health, 200);
  EXPECT_EQ(first, 200);
  EXPECT_TRUE(run_until([&] { return !watch_requests_.empty(); }));
  EXPECT_EQ(watch_requests_.front(), "old since 1\n");

  // An invalid configuration is ignored and the previous one stays active; the next valid one is applied.
  std::ofstream(directory_ / "config.json") << "{\"name\":";
  process_->signal(SIGHUP);
  int second = -1;
  start_request(statement_request(2), &second);
  EXPECT_TRUE(run_until([&] { return second >= 0; }));
  EXPECT_EQ(second, 200);
  write_config(new_changelog_);
  process_->signal(SIGHUP);
  EXPECT_TRUE(run_until([&] { return watch_requests_.back() == "new since 1\n"; }));

  // Requests that are open at SIGTERM or arrive right after it are served.
  service_time_us_ = 300'000;
  int open = -1;
  int after = -1;
  const int started_before = statements_started_;
  start_request(statement_request(3), &open);
  EXPECT_TRUE(run_until([&] { return statements_started_ > started_before; }));
  process_->signal(SIGTERM);
  start_request(statement_request(4), &after);
  EXPECT_TRUE(run_until([&] { return open >= 0 && after >= 0; }));
  EXPECT_EQ(open, 200);
  EXPECT_EQ(after, 200);
  int status = -1;
  EXPECT_TRUE(process_->wait_exit(30 * kSecond, &status));
  EXPECT_EQ(status, 0);
}

// The deadline of the request is long after the time at which the platform sends SIGKILL.
TEST_F(PlatformProcess, GracefulShutdown_CompletesRequestsOfHungEngineBeforeTheKill) {
  request_timeout_us_ = 300 * kSecond;
  engine_hangs_ = true;
  write_config(old_changelog_);
  start();
  int open = -1;
  start_request(statement_request(1, "300000"), &open);
  EXPECT_TRUE(run_until([&] { return statements_started_ > 0; }));
  process_->signal(SIGTERM);
  process_->signal(SIGTERM);
  process_->signal(SIGHUP);
  EXPECT_TRUE(run_until([&] { return open >= 0; }));
  EXPECT_EQ(open, 503);
  int status = -1;
  EXPECT_TRUE(process_->wait_exit(30 * kSecond, &status));
  EXPECT_EQ(status, 0);
}

// Guards against a gateway that is killed for memory because clients send large statements at full speed,
// several at once, and go.
TEST_F(PlatformProcess, ClientsWithLargeStatements_DoNotExceedTheMemoryLimit) {
  constexpr int kClients = 160;
  constexpr int kRounds = 8;
  constexpr int kRequestsPerConnection = 3;
  constexpr size_t kStatementBytes = 65'400;
  memory_mb_ = 32;
  max_descriptors_ = 512;
  service_time_us_ = kSecond;
  write_config(old_changelog_);
  start();
  size_t peak_kb = 0;
  int request_number = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (int client = 0; client < kClients; ++client) {
      std::string requests;
      for (int i = 0; i < kRequestsPerConnection; ++i)
        requests += statement_request(++request_number, "15000", large_statement(kStatementBytes));
      boost::asio::co_spawn(loop_.executor(), send_and_keep_open(std::move(requests)), boost::asio::detached);
    }
    const TimeUs round_ends_at = loop_.now() + kSecond / 2;
    run_until([&] {
      peak_kb = std::max(peak_kb, private_memory_kb());
      return loop_.now() >= round_ends_at;
    });
    for (const StreamPtr& connection : open_connections_) connection->reset();
    open_connections_.clear();
  }
  EXPECT_GT(peak_kb, 0u);
  EXPECT_LT(peak_kb, memory_mb_ * 1024);
  int small = -1;
  service_time_us_ = 0;
  start_request(statement_request(++request_number), &small);
  EXPECT_TRUE(run_until([&] { return small >= 0; }));
  EXPECT_EQ(small, 200);
}

// Guards against a gateway that is killed for memory because the pages of many large results arrive while the
// last page of each is missing.
TEST_F(PlatformProcess, IncompleteLargeResults_DoNotExceedTheMemoryLimit) {
  constexpr int kClients = 330;
  constexpr size_t kEngines = 120;
  constexpr size_t kPageBytes = 6'000;
  constexpr size_t kPages = 8;
  const std::string row = "a\tb\tc\n";
  memory_mb_ = 32;
  max_descriptors_ = 1'024;
  result_page_count_ = kPages;
  result_page_rows_.clear();
  while (result_page_rows_.size() + row.size() <= kPageBytes) result_page_rows_ += row;
  withheld_page_ = kPages - 1;
  add_engines(kEngines - 1);
  write_config(old_changelog_);
  start();
  std::vector<int> statuses(kClients);
  for (int client = 0; client < kClients; ++client)
    start_request(statement_request(client + 1, "15000"), &statuses[client]);
  size_t peak_kb = 0;
  const TimeUs released_at = loop_.now() + 3 * kSecond;
  EXPECT_TRUE(run_until([&] {
    peak_kb = std::max(peak_kb, private_memory_kb());
    if (loop_.now() >= released_at) withheld_page_ = 0;
    return std::count(statuses.begin(), statuses.end(), -1) == 0;
  }));
  EXPECT_GT(peak_kb, 0u);
  EXPECT_LT(peak_kb, memory_mb_ * 1024);
  EXPECT_GT(std::count(statuses.begin(), statuses.end(), 200), 0);
  EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 0), 0);
}

TEST_F(PlatformProcess, UnreadableConfiguration_ExitsWithStatus1) {
  std::ofstream(directory_ / "config.json") << "{\"name\":7}";
  process_ = std::make_unique<badday::Process>(
      SABLELINK_PROGRAM, std::vector<std::string>{"serve", "--platform"}, (directory_ / "log").string());
  int status = -1;
  EXPECT_TRUE(process_->wait_exit(30 * kSecond, &status));
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 1);
}

}  // namespace
}  // namespace sablelink::test
