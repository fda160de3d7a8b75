// Measures the overhead of a gateway: one client queries a stand-in node directly and through a gateway in
// the same run. Node and gateway are separate processes on loopback. Prints figures and ratios; see
// docs/benchmarks.md.
//
//   gateway_bench PROGRAM [--seconds S] [--rate R] [--width W] [--columns] [--large]
//
// --columns: the time to issue a ticket if its columns are cached, obtained by a planning call, or left
// empty.
// --large: a result of 200 MB to a client that reads 1 MB/s, with concurrent lookups; takes about four
// minutes.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <random>
#include <sstream>
#include <thread>

#include "badday/process.h"
#include "flightsql/client.h"
#include "rpc/grpc_client.h"
#include "service/system.h"

namespace sablelink {
namespace {

namespace asio = boost::asio;
using badday::Process;
using flightsql::Client;

constexpr const char* kStatement = "SELECT * FROM gallery /*+ work=1us rows=5 */";

struct Stats {
  double per_second = 0, p50_us = 0, p99_us = 0;
  uint64_t served = 0, not_served = 0;
};

Stats summarize(std::vector<TimeUs> latencies, uint64_t not_served, TimeUs duration) {
  Stats f;
  f.served = latencies.size();
  f.not_served = not_served;
  if (latencies.empty()) return f;
  std::sort(latencies.begin(), latencies.end());
  f.per_second = static_cast<double>(latencies.size()) * 1e6 / static_cast<double>(duration);
  f.p50_us = static_cast<double>(latencies[latencies.size() / 2]);
  f.p99_us = static_cast<double>(latencies[latencies.size() * 99 / 100]);
  return f;
}

class LoadGenerator {
 public:
  LoadGenerator(const service::System& system, const std::string& endpoint, int connections)
      : loop_(system.wall, system.steady), channels_({}, loop_) {
    for (int i = 0; i < connections; ++i)
      clients_.push_back(std::make_unique<Client>(channels_.open(endpoint), loop_));
  }
  ~LoadGenerator() { clients_.clear(); }

  // Opens the connections and warms up the server; the results are discarded.
  LoadGenerator& warmed_up() {
    closed_loop(16, 300'000);
    latencies_.clear();
    not_served_ = 0;
    return *this;
  }

  // Sends queries with exponentially distributed gaps, independently of responses. The latency of a query
  // starts when this thread posts it, not at its planned time: sleep_for() overshoots by about 60 us, which
  // isn't the server's latency.
  Stats open_loop(double rate, TimeUs duration) {
    std::mt19937_64 random(3);
    std::exponential_distribution<double> gap(rate / 1e6);
    double at = 0;
    const TimeUs begin = loop_.now();
    while (at < static_cast<double>(duration)) {
      at += gap(random);
      const TimeUs wait_us = begin + static_cast<TimeUs>(at) - loop_.now();
      if (wait_us > 0) std::this_thread::sleep_for(std::chrono::microseconds(wait_us));
      ++in_flight_;
      loop_.post([this, sent_at = loop_.now()] {
        asio::co_spawn(loop_.executor(), run_one(sent_at), asio::detached);
      });
    }
    while (in_flight_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return summarize(std::exchange(latencies_, {}), not_served_, loop_.now() - begin);
  }

  // Keeps `width` queries in flight at all times.
  Stats closed_loop(int width, TimeUs duration) {
    const TimeUs begin = loop_.now();
    deadline_ = begin + duration;
    in_flight_ = width;
    loop_.post([this, width] {
      for (int i = 0; i < width; ++i) asio::co_spawn(loop_.executor(), run_closed_loop(), asio::detached);
    });
    while (in_flight_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return summarize(std::exchange(latencies_, {}), not_served_, loop_.now() - begin);
  }

  // Requests tickets one after the other, the i-th for statement(i), without fetching results.
  Stats measure_tickets(int count, std::function<std::string(int)> statement) {
    const TimeUs begin = loop_.now();
    in_flight_ = 1;
    loop_.post([this, count, statement = std::move(statement)] {
      asio::co_spawn(loop_.executor(), request_tickets(count, statement), asio::detached);
    });
    while (in_flight_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return summarize(std::exchange(latencies_, {}), not_served_, loop_.now() - begin);
  }

  // Progress of a result that is read at a limited rate.
  struct ReadProgress {
    std::atomic<int64_t> rows{0};
    std::atomic<bool> finished{false}, served{false};
  };
  void start_read(std::string statement, TimeUs interval, std::shared_ptr<ReadProgress> out) {
    loop_.post([this, statement = std::move(statement), interval, out = std::move(out)] {
      asio::co_spawn(loop_.executor(), read_slowly(statement, interval, out), asio::detached);
    });
  }

  // Sends queries that stay in flight.
  void send_hanging(int count, const std::string& statement) {
    loop_.post([this, count, statement] {
      for (int i = 0; i < count; ++i)
        asio::co_spawn(loop_.executor(), run_hanging(statement), asio::detached);
    });
  }

 private:
  rpc::Awaitable<void> run_one(TimeUs sent_at) {
    co_await query(sent_at);
    --in_flight_;
  }
  rpc::Awaitable<void> run_closed_loop() {
    while (loop_.now() < deadline_) co_await query(loop_.now());
    --in_flight_;
  }
  rpc::Awaitable<void> query(TimeUs sent_at) {
    flightsql::ClientOptions options;
    options.timeout_us = 20'000'000;
    std::string sql = kStatement;
    Client& client = *clients_[next_++ % clients_.size()];
    const flightsql::QueryResult r = co_await client.query(std::move(sql), std::move(options));
    if (r.verdict == dispatch::RequestStatus::kServed)
      latencies_.push_back(loop_.now() - sent_at);
    else
      ++not_served_;
  }
  rpc::Awaitable<void> request_tickets(int count, std::function<std::string(int)> statement) {
    for (int i = 0; i < count; ++i) {
      flightsql::ClientOptions options;
      options.timeout_us = 20'000'000;
      std::string sql = statement(i);
      const TimeUs sent_at = loop_.now();
      const Client::Ticket ticket = co_await clients_[0]->get_ticket(std::move(sql), std::move(options));
      if (ticket.status.ok())
        latencies_.push_back(loop_.now() - sent_at);
      else
        ++not_served_;
    }
    --in_flight_;
  }
  rpc::Awaitable<void> read_slowly(std::string sql, TimeUs interval, std::shared_ptr<ReadProgress> out) {
    flightsql::ClientOptions options;
    options.timeout_us = 1'000'000'000;
    options.read_delay_us = interval;
    const flightsql::QueryResult r =
        co_await clients_[0]->query(std::move(sql), std::move(options),
                                    [out](const auto&, const auto& batch) { out->rows += batch.rows; });
    out->served = r.verdict == dispatch::RequestStatus::kServed;
    out->finished = true;
  }
  rpc::Awaitable<void> run_hanging(std::string sql) {
    flightsql::ClientOptions options;
    options.timeout_us = 120'000'000;
    const flightsql::QueryResult r =
        co_await clients_[next_++ % clients_.size()]->query(std::move(sql), std::move(options));
    (void)r;
  }

  rpc::GrpcLoop loop_;
  rpc::GrpcChannelFactory channels_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::vector<TimeUs> latencies_;
  std::atomic<int> in_flight_{0};
  uint64_t not_served_ = 0;
  size_t next_ = 0;
  TimeUs deadline_ = 0;
};

// Returns a process's resident memory in KiB.
long resident_kib(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string text; std::getline(status, text);)
    if (text.rfind("VmRSS:", 0) == 0) return std::atol(text.c_str() + 6);
  return 0;
}

// Returns the CPU time that a process has used, in microseconds.
double cpu_us(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) * 1e6 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

void print(const char* name, const Stats& f) {
  std::printf("%-28s %9.0f /s   p50 %8.0f us   p99 %8.0f us   served %llu, other %llu\n", name, f.per_second,
              f.p50_us, f.p99_us, static_cast<unsigned long long>(f.served),
              static_cast<unsigned long long>(f.not_served));
  std::fflush(stdout);
}

void measure_columns(const service::System& system, const std::string& planning,
                     const std::string& without_planning) {
  constexpr int kTickets = 2'000;
  const auto same_shape = [](int i) { return "SELECT id FROM gallery WHERE id = " + std::to_string(i); };
  const auto new_shape = [](int i) {
    return "SELECT id, " + std::to_string(i) + " FROM gallery /*+ plan=1us */";
  };
  std::printf("tickets, one after the other:\n");
  // Warms up. No statement of this shape has run, so its result columns aren't cached.
  LoadGenerator(system, without_planning, 1).warmed_up().measure_tickets(kTickets, same_shape);
  print("  nothing known, no planning",
        LoadGenerator(system, without_planning, 1).warmed_up().measure_tickets(kTickets, same_shape));
  LoadGenerator(system, planning, 1).warmed_up().measure_tickets(10, same_shape);
  print("  columns known",
        LoadGenerator(system, planning, 1).warmed_up().measure_tickets(kTickets, same_shape));
  print("  each planned",
        LoadGenerator(system, planning, 1).warmed_up().measure_tickets(kTickets, new_shape));
}

// Reads 200 MB at 1 MB/s, in messages of 64 KiB.
void measure_large(const service::System& system, const Process& gateway, const std::string& endpoint) {
  const Stats alone = LoadGenerator(system, endpoint, 2).warmed_up().open_loop(50, 20'000'000);
  const long before = resident_kib(gateway.pid());
  LoadGenerator reader(system, endpoint, 1);
  const auto progress = std::make_shared<LoadGenerator::ReadProgress>();
  constexpr int kRows = 3'200;
  reader.start_read(
      "SELECT label FROM gallery /*+ rows=" + std::to_string(kRows) + " row_bytes=65536 work=1ms */", 65'536,
      progress);
  const Stats concurrent = LoadGenerator(system, endpoint, 2).warmed_up().open_loop(50, 20'000'000);
  long max_kib = 0;
  while (!progress->finished) {
    max_kib = std::max(max_kib, resident_kib(gateway.pid()));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  print("lookups alone, 50/s", alone);
  print("lookups beside it, 50/s", concurrent);
  std::printf("200 MB at 1 MB/s: %lld of %d rows, %s; gateway %ld KiB before, %ld KiB at most\n",
              static_cast<long long>(progress->rows), kRows, progress->served ? "served" : "NOT SERVED",
              before, max_kib);
}

int run(const std::string& program, double seconds, double rate, int width, bool columns, bool large) {
  service::System system;
  system.wall = [] { return std::chrono::system_clock::now(); };
  system.steady = [] { return std::chrono::steady_clock::now(); };
  system.random = [] { return std::random_device()(); };
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("sablelink-bench-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  const std::string node = badday::free_address();
  const std::string gateway = badday::free_address();
  const std::string narrow = badday::free_address();
  const std::string node_file = folder / "node.toml";
  std::ofstream(node_file) << "[node]\nname = \"n\"\nlisten = \"" << node
                           << "\"\n[engine]\ncores = 1000\nsessions_per_core = 100\nmemory = \"1000GiB\"\n";
  // Writes the configuration of a gateway that assumes the given number of cores for the node.
  const auto gateway_file = [&](const std::string& name, const std::string& listen, int cores,
                                const std::string& extra = "") {
    std::string file = folder / (name + ".toml");
    std::ofstream(file) << "[gateway]\nname = \"" << name << "\"\nlisten = \"" << listen
                        << "\"\nlog_level = \"error\"\n[limits]\nopen_per_connection = 100000\n"
                        << "[[kind]]\nname = \"k\"\ncores = " << cores
                        << "\n[[class]]\nname = \"q\"\naim = \"2s\"\ndeadline = \"1000s\"\nlate_worth = 0.5\n"
                        << extra << "[[node]]\nname = \"n\"\naddress = \"" << node << "\"\n";
    return file;
  };
  const auto start = [&](const std::string& kind, const std::string& file) {
    auto process =
        std::make_unique<Process>(program, std::vector<std::string>{kind, "--config", file}, file + ".log");
    if (!process->wait_ready(5'000'000)) throw std::runtime_error("the " + kind + " didn't start");
    return process;
  };
  const auto node_process = start("node", node_file);
  const auto gateway_process = start("gateway", gateway_file("wide", gateway, 1000));
  if (columns || large) {
    const std::string planning = badday::free_address();
    const auto planning_process =
        start("gateway", gateway_file("planning", planning, 1000,
                                      "[[class]]\nname = \"p\"\naim = \"250ms\"\ndeadline = \"5s\"\n"
                                      "[planning]\nclass = \"p\"\nfree = 100000\n"));
    if (columns) measure_columns(system, planning, gateway);
    if (large) measure_large(system, *planning_process, planning);
    std::fflush(stdout);
    std::filesystem::remove_all(folder);
    return 0;
  }
  const auto narrow_process = start("gateway", gateway_file("small", narrow, 4));

  const auto duration = static_cast<TimeUs>(seconds * 1e6);
  const auto run_open = [&](const std::string& endpoint) {
    return LoadGenerator(system, endpoint, 4).warmed_up().open_loop(rate, duration);
  };
  const auto run_closed = [&](const std::string& endpoint) {
    return LoadGenerator(system, endpoint, 4).warmed_up().closed_loop(width, duration);
  };
  const auto profile = [&](const char* name, const Process& process, const auto& load) {
    const double before = cpu_us(process.pid());
    const Stats f = load();
    print(name, f);
    std::printf("  %26s %9.0f us of a core a query\n", "",
                (cpu_us(process.pid()) - before) / static_cast<double>(f.served));
    return f;
  };
  std::printf("%u cores; %.0f s each; statement: %s\n", std::thread::hardware_concurrency(), seconds,
              kStatement);
  run_closed(gateway);  // warms up the gateway and the node
  std::printf("open loop, %.0f queries/s:\n", rate);
  const Stats direct = profile("  direct", *node_process, [&] { return run_open(node); });
  const Stats through = profile("  through the gateway", *gateway_process, [&] { return run_open(gateway); });
  std::printf("  added p50 %.0f us, p99 %.0f us; ratios %.2f, %.2f\n", through.p50_us - direct.p50_us,
              through.p99_us - direct.p99_us, through.p50_us / direct.p50_us, through.p99_us / direct.p99_us);
  std::printf("closed loop, %d out at all times:\n", width);
  const Stats direct_closed = profile("  direct", *node_process, [&] { return run_closed(node); });
  const Stats through_closed =
      profile("  through the gateway", *gateway_process, [&] { return run_closed(gateway); });
  std::printf("  throughput ratio %.2f\n", through_closed.per_second / direct_closed.per_second);

  constexpr int kInFlight = 5'000;
  // The gateway with 1000 cores sends all of these to the node; the one with 4 cores queues nearly all.
  std::vector<std::unique_ptr<LoadGenerator>> generators;
  const auto measure_memory = [&](const char* name, const Process& process, const std::string& endpoint) {
    LoadGenerator(system, endpoint, 4).warmed_up();
    const long before = resident_kib(process.pid());
    generators.push_back(std::make_unique<LoadGenerator>(system, endpoint, 4));
    generators.back()->send_hanging(kInFlight, "SELECT 1 /*+ mishap=hang */");
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const long after = resident_kib(process.pid());
    std::printf("memory, %d requests open, %s: %ld KiB before, %ld KiB then, %.1f KiB each\n", kInFlight,
                name, before, after, static_cast<double>(after - before) / kInFlight);
  };
  measure_memory("all at the node", *gateway_process, gateway);
  measure_memory("waiting in the gateway", *narrow_process, narrow);
  std::fflush(stdout);
  std::filesystem::remove_all(folder);
  std::_Exit(0);  // destructors would wait for the responses of the queries in flight
}

}  // namespace
}  // namespace sablelink

int main(int argc, char** argv) {
  CLI::App app{"Measures the overhead of a gateway on loopback"};
  std::string program;
  double seconds = 5;
  double rate = 1000;
  int width = 128;
  app.add_option("program", program, "The sablelink program")->required();
  app.add_option("--seconds", seconds, "Length of each measurement")->capture_default_str();
  bool columns = false;
  bool large = false;
  app.add_flag("--columns", columns, "Measure the time to issue tickets instead");
  app.add_flag("--large", large, "Measure a large result to a slow reader instead");
  app.add_option("--rate", rate, "Queries per second in the open loop")->capture_default_str();
  app.add_option("--width", width, "Queries in flight in the closed loop")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  try {
    return sablelink::run(program, seconds, rate, width, columns, large);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "gateway_bench: %s\n", e.what());
    return 1;
  }
}
