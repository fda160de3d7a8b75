// The program on loopback sockets, as the platform starts, reloads and stops it. Waits are bounded
// generously: what counts is what happened, not when.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>

#include "badday/process.h"
#include "base/signal.h"
#include "http/reader.h"
#include "rpc/asio_loop.h"
#include "rpc/tcp_transport.h"

namespace sablelink::test {
namespace {

constexpr TimeUs kSecond = 1'000'000;
using StreamPtr = std::shared_ptr<rpc::ByteStream>;

class PlatformProcess : public testing::Test {
 protected:
  PlatformProcess() {
    folder_ = std::filesystem::temp_directory_path() / ("sablelink-platform-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder_);
    listen_ = badday::free_address();
    node_ = "127.0.0.1:" +
            std::to_string(net_->listen("127.0.0.1:0", [this](StreamPtr s) { return serve_node(s); }));
    for (std::string& log : logs_)
      log = "127.0.0.1:" + std::to_string(net_->listen(
                               "127.0.0.1:0", [this, &log](StreamPtr s) { return serve_log(s, &log); }));
    write_config(logs_[0]);
    ::setenv("BALANCER_CONFIG", (folder_ / "config.json").c_str(), 1);
  }
  ~PlatformProcess() override {
    process_.reset();
    ending_ = true;
    until([&] { return beating_ == 0; });
    net_.reset();
    loop_.poll();
    if (!HasFailure()) std::filesystem::remove_all(folder_);
  }

  void write_config(const std::string& changelog) {
    std::ofstream(folder_ / "config.json")
        << R"({"name":"n0","listen":")" << listen_ << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1,)"
        << R"("memory_mb":64,"sockets":256},"changelog":")" << changelog
        << R"(","known":{"seq":1,"results":[{"seq":1,"fleet":{"whole":true,"hosts":[{"host":"s-1","dial":")"
        << node_ << R"(","site":"east","class":"std","block":0,"health":"ready","share":1,"born_ms":0},)"
        << R"({"host":"s-2","dial":"no address","health":"ready"}]}}]},)"
        << R"("settings":{"Zones":["east"],"Flavors":["std"],"Instances":1,"TickUs":1000,)"
        << R"("Limits":{"Cancel":true,"MaxAttempts":3},)"
        << R"("Services":[{"Name":"lookup","AimUs":9000000,"DeadlineUs":)" << deadline_us_ << "}]}}";
  }

  // Each statement runs for work_us_; the answer comes on the starting call.
  rpc::Awaitable<void> serve_node(StreamPtr stream) {
    http::RequestReader reader{http::MessageLimits{}};
    for (;;) {
      const std::optional<std::string> bytes = co_await stream->read(4096);
      if (!bytes || bytes->empty()) co_return;
      if (reader.feed(*bytes) != http::ParseStatus::kComplete) continue;
      const http::Request request = reader.take();
      if (request.method == "POST") ++posts_;
      if (hangs_) continue;
      if (work_us_ > 0) co_await pause(loop_, work_us_);
      const std::string answer = http::write_response(200, {{"Page-Count", "1"}}, "a\tb\tc\n", true);
      co_await rpc::write_all(*stream, answer);
    }
  }
  rpc::Awaitable<void> serve_log(StreamPtr stream, const std::string* which) {
    const std::optional<std::string> ask = co_await stream->read(100);
    if (!ask) co_return;
    asked_.push_back((which == &logs_[0] ? "old " : "new ") + *ask);
    ++beating_;
    for (bool sent = true; sent && !ending_;) {
      const std::string line = "1\n";
      sent = co_await rpc::write_all(*stream, line);
      co_await pause(loop_, kSecond / 10);
    }
    --beating_;
  }
  // The status of the answer; 0 where the connection ended, or none came about.
  rpc::Awaitable<void> ask(std::string bytes, int* status) {
    const rpc::ConnectResult connected = co_await net_->connect(listen_, 5 * kSecond);
    const StreamPtr stream = connected.stream;
    http::ResponseReader reader{http::MessageLimits{}};
    auto state = http::ParseStatus::kNeedMore;
    if (stream) co_await rpc::write_all(*stream, bytes);
    while (stream && state == http::ParseStatus::kNeedMore) {
      const std::optional<std::string> piece = co_await stream->read(4096);
      if (!piece || piece->empty()) break;
      state = reader.feed(*piece);
    }
    *status = state == http::ParseStatus::kComplete ? reader.response().status : 0;
  }
  void start_ask(const std::string& bytes, int* status) {
    *status = -1;
    boost::asio::co_spawn(loop_.executor(), ask(bytes, status), boost::asio::detached);
  }
  static std::string statement(int n, const char* timeout_ms = "20000") {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", n);
    return http::write_request("POST", "/v1/lookup", "h",
                               {{"X-Request-Id", id}, {"X-Timeout-Ms", timeout_ms}},
                               "SELECT 1 FROM sales_1.orders");
  }
  // Runs the loop until the condition holds; false after 30 s.
  bool until(const std::function<bool()>& holds) {
    bool held = false;
    const TimeUs end = loop_.now() + 30 * kSecond;
    std::function<void()> look = [&] {
      held = holds();
      if (held || loop_.now() > end)
        loop_.stop();
      else
        loop_.call_after(5'000, [&] { look(); });
    };
    loop_.call_after(0, [&] { look(); });
    loop_.run();
    return held;
  }
  void start() {
    process_ = std::make_unique<badday::Process>(
        SABLELINK_PROGRAM, std::vector<std::string>{"serve", "--platform"}, (folder_ / "log").string());
    ASSERT_TRUE(process_->wait_ready(30 * kSecond));
  }

  std::filesystem::path folder_;
  rpc::AsioLoop loop_{[] { return std::chrono::system_clock::now(); },
                      [] { return std::chrono::steady_clock::now(); }};
  std::unique_ptr<rpc::TcpTransport> net_ = std::make_unique<rpc::TcpTransport>(loop_);
  std::string listen_, node_, logs_[2];
  TimeUs work_us_ = 0, deadline_us_ = 20 * kSecond;
  bool hangs_ = false;  // the node reads calls and answers none
  int posts_ = 0, beating_ = 0;
  bool ending_ = false;
  std::vector<std::string> asked_;
  std::unique_ptr<badday::Process> process_;
};

TEST_F(PlatformProcess, ServesReloadsAndEndsWithNothingLost) {
  start();
  int health = -1, first = -1;
  start_ask(http::write_request("GET", "/healthz", "h", {}), &health);
  start_ask(statement(1), &first);
  EXPECT_TRUE(until([&] { return health >= 0 && first >= 0; }));
  EXPECT_EQ(health, 200);
  EXPECT_EQ(first, 200);
  EXPECT_TRUE(until([&] { return !asked_.empty(); }));
  EXPECT_EQ(asked_.front(), "old since 1\n");

  // A configuration that can't be read leaves the old one in force; the next one counts.
  std::ofstream(folder_ / "config.json") << "{\"name\":";
  process_->signal(SIGHUP);
  int second = -1;
  start_ask(statement(2), &second);
  EXPECT_TRUE(until([&] { return second >= 0; }));
  EXPECT_EQ(second, 200);
  write_config(logs_[1]);
  process_->signal(SIGHUP);
  EXPECT_TRUE(until([&] { return asked_.back() == "new since 1\n"; }));

  // What is open at the signal to stop, and what comes right after it, gets its answer.
  work_us_ = 300'000;
  int open = -1, after = -1;
  const int before = posts_;
  start_ask(statement(3), &open);
  EXPECT_TRUE(until([&] { return posts_ > before; }));
  process_->signal(SIGTERM);
  start_ask(statement(4), &after);
  EXPECT_TRUE(until([&] { return open >= 0 && after >= 0; }));
  EXPECT_EQ(open, 200);
  EXPECT_EQ(after, 200);
  int status = -1;
  EXPECT_TRUE(process_->wait_end(30 * kSecond, &status));
  EXPECT_EQ(status, 0);
}

// Deadlines far past the platform's kill: what hangs gets its final answer before, and the process ends.
TEST_F(PlatformProcess, WhatHangsAtAPlannedEndIsAnsweredBeforeTheKill) {
  deadline_us_ = 300 * kSecond;
  hangs_ = true;
  write_config(logs_[0]);
  start();
  int open = -1;
  start_ask(statement(1, "300000"), &open);
  EXPECT_TRUE(until([&] { return posts_ > 0; }));
  process_->signal(SIGTERM);
  process_->signal(SIGTERM);
  process_->signal(SIGHUP);
  EXPECT_TRUE(until([&] { return open >= 0; }));
  EXPECT_EQ(open, 503);
  int status = -1;
  EXPECT_TRUE(process_->wait_end(30 * kSecond, &status));
  EXPECT_EQ(status, 0);
}

TEST_F(PlatformProcess, AConfigurationThatCantBeReadIsAnErrorAndNoCrash) {
  std::ofstream(folder_ / "config.json") << "{\"name\":7}";
  process_ = std::make_unique<badday::Process>(
      SABLELINK_PROGRAM, std::vector<std::string>{"serve", "--platform"}, (folder_ / "log").string());
  int status = -1;
  EXPECT_TRUE(process_->wait_end(30 * kSecond, &status));
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 1);
}

}  // namespace
}  // namespace sablelink::test
