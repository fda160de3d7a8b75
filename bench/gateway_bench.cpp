// What a gateway adds: the same client against a stand-in node directly and through the gateway, in one run,
// each in a process of its own on loopback. Prints figures and ratios; see docs/benchmarks.md.
//
//   gateway_bench PROGRAM [--seconds S] [--rate R] [--width W]
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>
#include <random>
#include <thread>

#include "badday/process.h"
#include "flightsql/client.h"
#include "rpc/grpc_client.h"
#include "service/runtime.h"

namespace sablelink {
namespace {

namespace asio = boost::asio;
using badday::Process;
using flightsql::Client;

constexpr const char* kStatement = "SELECT * FROM gallery /*+ work=1us rows=5 */";

int free_port(asio::io_context& context) {
  asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

struct Figures {
  double per_second = 0, p50_us = 0, p99_us = 0;
  uint64_t served = 0, other = 0;
};

Figures figures(std::vector<TimeUs> times, uint64_t other, TimeUs span) {
  Figures f;
  f.served = times.size();
  f.other = other;
  if (times.empty()) return f;
  std::sort(times.begin(), times.end());
  f.per_second = static_cast<double>(times.size()) * 1e6 / static_cast<double>(span);
  f.p50_us = static_cast<double>(times[times.size() / 2]);
  f.p99_us = static_cast<double>(times[times.size() * 99 / 100]);
  return f;
}

class Load {
 public:
  Load(const service::System& system, const std::string& endpoint, int connections)
      : loop_(system.wall, system.steady), channels_({}, loop_) {
    for (int i = 0; i < connections; ++i)
      clients_.push_back(std::make_unique<Client>(channels_.open(endpoint)));
  }
  ~Load() { clients_.clear(); }

  // Queries come at their times, whatever became of the others; each is timed from when it was due.
  Figures open_loop(double rate, TimeUs span) {
    std::mt19937_64 random(3);
    std::exponential_distribution<double> gap(rate / 1e6);
    double at = 0;
    const TimeUs begin = loop_.now();
    while (at < static_cast<double>(span)) {
      at += gap(random);
      const TimeUs due = begin + static_cast<TimeUs>(at);
      // Sleeping ends some 60 us late, which would be counted as the server's.
      const TimeUs left = due - loop_.now();
      if (left > 150) std::this_thread::sleep_for(std::chrono::microseconds(left - 150));
      while (loop_.now() < due) std::this_thread::yield();
      ++out_;
      loop_.post([this, due] { asio::co_spawn(loop_.executor(), one(due), asio::detached); });
    }
    while (out_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return figures(std::move(times_), other_, loop_.now() - begin);
  }

  // So many queries are out at all times.
  Figures closed_loop(int width, TimeUs span) {
    const TimeUs begin = loop_.now();
    until_ = begin + span;
    out_ = width;
    loop_.post([this, width] {
      for (int i = 0; i < width; ++i) asio::co_spawn(loop_.executor(), many(), asio::detached);
    });
    while (out_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return figures(std::move(times_), other_, loop_.now() - begin);
  }

  // Sends queries that stay open.
  void hold(int count, const std::string& statement) {
    loop_.post([this, count, statement] {
      for (int i = 0; i < count; ++i) asio::co_spawn(loop_.executor(), held(statement), asio::detached);
    });
  }

 private:
  rpc::Awaitable<void> one(TimeUs due) {
    co_await query(due);
    --out_;
  }
  rpc::Awaitable<void> many() {
    while (loop_.now() < until_) co_await query(loop_.now());
    --out_;
  }
  rpc::Awaitable<void> query(TimeUs from) {
    flightsql::ClientOptions options;
    options.timeout_us = 20'000'000;
    std::string sql = kStatement;
    Client& to = *clients_[next_++ % clients_.size()];
    const flightsql::QueryResult r = co_await to.query(std::move(sql), std::move(options));
    if (r.verdict == carrier::Verdict::kServed)
      times_.push_back(loop_.now() - from);
    else
      ++other_;
  }
  rpc::Awaitable<void> held(std::string sql) {
    flightsql::ClientOptions options;
    options.timeout_us = 120'000'000;
    const flightsql::QueryResult r =
        co_await clients_[next_++ % clients_.size()]->query(std::move(sql), std::move(options));
    (void)r;
  }

  rpc::GrpcLoop loop_;
  rpc::GrpcChannelFactory channels_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::vector<TimeUs> times_;
  std::atomic<int> out_{0};
  uint64_t other_ = 0;
  size_t next_ = 0;
  TimeUs until_ = 0;
};

// Resident memory of the child that runs a configuration, in KiB.
long resident_kib(const std::string& config) {
  for (const auto& entry : std::filesystem::directory_iterator("/proc")) {
    std::ifstream command(entry.path() / "cmdline", std::ios::binary);
    const std::string line((std::istreambuf_iterator<char>(command)), {});
    if (line.find(config) == std::string::npos || line.find("gateway") == std::string::npos) continue;
    std::ifstream status(entry.path() / "status");
    for (std::string text; std::getline(status, text);)
      if (text.rfind("VmRSS:", 0) == 0) return std::atol(text.c_str() + 6);
  }
  return 0;
}

void print(const char* name, const Figures& f) {
  std::printf("%-28s %9.0f /s   p50 %8.0f us   p99 %8.0f us   served %llu, other %llu\n", name, f.per_second,
              f.p50_us, f.p99_us, static_cast<unsigned long long>(f.served),
              static_cast<unsigned long long>(f.other));
  std::fflush(stdout);
}

int run(const std::string& program, double seconds, double rate, int width) {
  service::System system;
  system.wall = [] { return std::chrono::system_clock::now(); };
  system.steady = [] { return std::chrono::steady_clock::now(); };
  system.random = [] { return std::random_device()(); };
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("sablelink-bench-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  asio::io_context context;
  const std::string node = "127.0.0.1:" + std::to_string(free_port(context));
  const std::string gateway = "127.0.0.1:" + std::to_string(free_port(context));
  const std::string node_file = folder / "node.toml", gateway_file = folder / "gateway.toml";
  std::ofstream(node_file) << "[node]\nname = \"n\"\nlisten = \"" << node
                           << "\"\n[engine]\ncores = 1000\nsessions_per_core = 100\nmemory = \"1000GiB\"\n";
  std::ofstream(gateway_file)
      << "[gateway]\nname = \"g\"\nlisten = \"" << gateway
      << "\"\nlog_level = \"error\"\n[limits]\nopen_per_connection = 100000\n"
         "[[kind]]\nname = \"k\"\ncores = 1000\n[[class]]\nname = \"q\"\naim = \"2s\"\n"
         "deadline = \"200s\"\nlate_worth = 0.5\n[[node]]\nname = \"n\"\naddress = \""
      << node << "\"\n";
  Process node_process(program, {"node", "--config", node_file}, folder / "node.log");
  if (!node_process.wait_ready(5'000'000)) throw std::runtime_error("the node didn't start");
  Process gateway_process(program, {"gateway", "--config", gateway_file}, folder / "gateway.log");
  if (!gateway_process.wait_ready(5'000'000)) throw std::runtime_error("the gateway didn't start");

  const auto span = static_cast<TimeUs>(seconds * 1e6);
  const auto at_rate = [&](const std::string& to) { return Load(system, to, 4).open_loop(rate, span); };
  const auto full = [&](const std::string& to) { return Load(system, to, 4).closed_loop(width, span); };
  std::printf("%u cores; %.0f s each; statement: %s\n", std::thread::hardware_concurrency(), seconds,
              kStatement);
  full(gateway);  // warms up both
  const Figures direct = at_rate(node), through = at_rate(gateway);
  std::printf("open loop, %.0f queries/s:\n", rate);
  print("  direct", direct);
  print("  through the gateway", through);
  std::printf("  added p50 %.0f us, p99 %.0f us; ratios %.2f, %.2f\n", through.p50_us - direct.p50_us,
              through.p99_us - direct.p99_us, through.p50_us / direct.p50_us, through.p99_us / direct.p99_us);
  const Figures most_direct = full(node), most_through = full(gateway);
  std::printf("closed loop, %d out at all times:\n", width);
  print("  direct", most_direct);
  print("  through the gateway", most_through);
  std::printf("  throughput ratio %.2f\n", most_through.per_second / most_direct.per_second);

  constexpr int kHeld = 5'000;
  const long before = resident_kib(gateway_file);
  Load holder(system, gateway, 4);
  holder.hold(kHeld, "SELECT 1 /*+ mishap=hang */");
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const long after = resident_kib(gateway_file);
  std::printf("memory: %ld KiB before, %ld KiB with %d requests open: %.1f KiB each\n", before, after, kHeld,
              static_cast<double>(after - before) / kHeld);
  std::fflush(stdout);
  std::filesystem::remove_all(folder);
  std::_Exit(0);  // the held queries' clients would wait for their answers
}

}  // namespace
}  // namespace sablelink

int main(int argc, char** argv) {
  CLI::App app{"What a gateway adds, measured on loopback"};
  std::string program;
  double seconds = 5, rate = 1000;
  int width = 128;
  app.add_option("program", program, "The sablelink program")->required();
  app.add_option("--seconds", seconds, "Length of each measurement")->capture_default_str();
  app.add_option("--rate", rate, "Queries a second in the open loop")->capture_default_str();
  app.add_option("--width", width, "Queries out at all times in the closed loop")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  try {
    return sablelink::run(program, seconds, rate, width);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "gateway_bench: %s\n", e.what());
    return 1;
  }
}
