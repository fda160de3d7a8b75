// What a gateway adds: the same client against a stand-in node directly and through the gateway, in one run,
// each in a process of its own on loopback. Prints figures and ratios; see docs/benchmarks.md.
//
//   gateway_bench PROGRAM [--seconds S] [--rate R] [--width W] [--columns] [--large]
//
// --columns: tickets whose columns are known, planned, or left empty. --large: 200 MB to a reader of 1 MB a
// second while lookups pass beside it; takes some four minutes.
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
      clients_.push_back(std::make_unique<Client>(channels_.open(endpoint), loop_));
  }
  ~Load() { clients_.clear(); }

  // Connects and makes the other side ready; nothing of it is counted.
  Load& warmed() {
    closed_loop(16, 300'000);
    times_.clear();
    other_ = 0;
    return *this;
  }

  // Queries come at their times, whatever became of the others. Each is timed from when this thread sent it:
  // it sleeps some 60 us too long, which is no server's doing, and never waits for one.
  Figures open_loop(double rate, TimeUs span) {
    std::mt19937_64 random(3);
    std::exponential_distribution<double> gap(rate / 1e6);
    double at = 0;
    const TimeUs begin = loop_.now();
    while (at < static_cast<double>(span)) {
      at += gap(random);
      const TimeUs left = begin + static_cast<TimeUs>(at) - loop_.now();
      if (left > 0) std::this_thread::sleep_for(std::chrono::microseconds(left));
      ++out_;
      loop_.post([this, from = loop_.now()] { asio::co_spawn(loop_.executor(), one(from), asio::detached); });
    }
    while (out_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return figures(std::exchange(times_, {}), other_, loop_.now() - begin);
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
    return figures(std::exchange(times_, {}), other_, loop_.now() - begin);
  }

  // Tickets alone, one after the other; statement(i) tells which.
  Figures tickets(int count, std::function<std::string(int)> statement) {
    const TimeUs begin = loop_.now();
    out_ = 1;
    loop_.post([this, count, statement = std::move(statement)] {
      asio::co_spawn(loop_.executor(), asking(count, statement), asio::detached);
    });
    while (out_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return figures(std::exchange(times_, {}), other_, loop_.now() - begin);
  }

  // One answer, read at a pace; bytes of rows that have come so far, and whether it is over.
  struct Reading {
    std::atomic<int64_t> rows{0};
    std::atomic<bool> over{false}, served{false};
  };
  void read(std::string statement, TimeUs every, std::shared_ptr<Reading> out) {
    loop_.post([this, statement = std::move(statement), every, out = std::move(out)] {
      asio::co_spawn(loop_.executor(), reading(statement, every, out), asio::detached);
    });
  }

  // Sends queries that stay open.
  void hold(int count, const std::string& statement) {
    loop_.post([this, count, statement] {
      for (int i = 0; i < count; ++i) asio::co_spawn(loop_.executor(), held(statement), asio::detached);
    });
  }

 private:
  rpc::Awaitable<void> one(TimeUs from) {
    co_await query(from);
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
    if (r.verdict == dispatch::RequestStatus::kServed)
      times_.push_back(loop_.now() - from);
    else
      ++other_;
  }
  rpc::Awaitable<void> asking(int count, std::function<std::string(int)> statement) {
    for (int i = 0; i < count; ++i) {
      flightsql::ClientOptions options;
      options.timeout_us = 20'000'000;
      std::string sql = statement(i);
      const TimeUs from = loop_.now();
      const Client::Ticket ticket = co_await clients_[0]->get_ticket(std::move(sql), std::move(options));
      if (ticket.status.ok())
        times_.push_back(loop_.now() - from);
      else
        ++other_;
    }
    --out_;
  }
  rpc::Awaitable<void> reading(std::string sql, TimeUs every, std::shared_ptr<Reading> out) {
    flightsql::ClientOptions options;
    options.timeout_us = 1'000'000'000;
    options.read_delay_us = every;
    const flightsql::QueryResult r =
        co_await clients_[0]->query(std::move(sql), std::move(options),
                                    [out](const auto&, const auto& batch) { out->rows += batch.rows; });
    out->served = r.verdict == dispatch::RequestStatus::kServed;
    out->over = true;
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

// A process's resident memory in KiB.
long resident_kib(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string text; std::getline(status, text);)
    if (text.rfind("VmRSS:", 0) == 0) return std::atol(text.c_str() + 6);
  return 0;
}

// What a process has used of its cores, in microseconds.
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

void print(const char* name, const Figures& f) {
  std::printf("%-28s %9.0f /s   p50 %8.0f us   p99 %8.0f us   served %llu, other %llu\n", name, f.per_second,
              f.p50_us, f.p99_us, static_cast<unsigned long long>(f.served),
              static_cast<unsigned long long>(f.other));
  std::fflush(stdout);
}

void measure_columns(const service::System& system, const std::string& planning, const std::string& plain) {
  constexpr int kTickets = 2'000;
  const auto known = [](int i) { return "SELECT id FROM gallery WHERE id = " + std::to_string(i); };
  const auto fresh = [](int i) {
    return "SELECT id, " + std::to_string(i) + " FROM gallery /*+ plan=1us */";
  };
  std::printf("tickets, one after the other:\n");
  Load(system, plain, 1).warmed().tickets(kTickets, known);  // no schema is known, as nothing has run
  print("  nothing known, no planning", Load(system, plain, 1).warmed().tickets(kTickets, known));
  Load(system, planning, 1).warmed().tickets(10, known);
  print("  columns known", Load(system, planning, 1).warmed().tickets(kTickets, known));
  print("  each planned", Load(system, planning, 1).warmed().tickets(kTickets, fresh));
}

// Reads 200 MB at 1 MB a second, in messages of 64 KiB.
void measure_large(const service::System& system, const Process& gateway, const std::string& to) {
  const Figures alone = Load(system, to, 2).warmed().open_loop(50, 20'000'000);
  const long before = resident_kib(gateway.pid());
  Load reader(system, to, 1);
  const auto reading = std::make_shared<Load::Reading>();
  constexpr int kRows = 3'200;
  reader.read("SELECT label FROM gallery /*+ rows=" + std::to_string(kRows) + " row_bytes=65536 work=1ms */",
              65'536, reading);
  const Figures beside = Load(system, to, 2).warmed().open_loop(50, 20'000'000);
  long most = 0;
  while (!reading->over) {
    most = std::max(most, resident_kib(gateway.pid()));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  print("lookups alone, 50/s", alone);
  print("lookups beside it, 50/s", beside);
  std::printf("200 MB at 1 MB/s: %lld of %d rows, %s; gateway %ld KiB before, %ld KiB at most\n",
              static_cast<long long>(reading->rows), kRows, reading->served ? "served" : "NOT SERVED", before,
              most);
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
  const std::string small = badday::free_address();
  const std::string node_file = folder / "node.toml";
  std::ofstream(node_file) << "[node]\nname = \"n\"\nlisten = \"" << node
                           << "\"\n[engine]\ncores = 1000\nsessions_per_core = 100\nmemory = \"1000GiB\"\n";
  // A gateway to the node, which takes it to have so many cores.
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
  const auto small_process = start("gateway", gateway_file("small", small, 4));

  const auto span = static_cast<TimeUs>(seconds * 1e6);
  const auto at_rate = [&](const std::string& to) {
    return Load(system, to, 4).warmed().open_loop(rate, span);
  };
  const auto full = [&](const std::string& to) {
    return Load(system, to, 4).warmed().closed_loop(width, span);
  };
  const auto spent = [&](const char* name, const Process& process, const auto& load) {
    const double before = cpu_us(process.pid());
    const Figures f = load();
    print(name, f);
    std::printf("  %26s %9.0f us of a core a query\n", "",
                (cpu_us(process.pid()) - before) / static_cast<double>(f.served));
    return f;
  };
  std::printf("%u cores; %.0f s each; statement: %s\n", std::thread::hardware_concurrency(), seconds,
              kStatement);
  full(gateway);  // warms up both
  std::printf("open loop, %.0f queries/s:\n", rate);
  const Figures direct = spent("  direct", *node_process, [&] { return at_rate(node); });
  const Figures through = spent("  through the gateway", *gateway_process, [&] { return at_rate(gateway); });
  std::printf("  added p50 %.0f us, p99 %.0f us; ratios %.2f, %.2f\n", through.p50_us - direct.p50_us,
              through.p99_us - direct.p99_us, through.p50_us / direct.p50_us, through.p99_us / direct.p99_us);
  std::printf("closed loop, %d out at all times:\n", width);
  const Figures most_direct = spent("  direct", *node_process, [&] { return full(node); });
  const Figures most_through =
      spent("  through the gateway", *gateway_process, [&] { return full(gateway); });
  std::printf("  throughput ratio %.2f\n", most_through.per_second / most_direct.per_second);

  constexpr int kHeld = 5'000;
  // A gateway that takes the node for a wide one has sent all of them; the other holds nearly all back.
  std::vector<std::unique_ptr<Load>> holders;
  const auto held = [&](const char* name, const Process& process, const std::string& to) {
    Load(system, to, 4).warmed();
    const long before = resident_kib(process.pid());
    holders.push_back(std::make_unique<Load>(system, to, 4));
    holders.back()->hold(kHeld, "SELECT 1 /*+ mishap=hang */");
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const long after = resident_kib(process.pid());
    std::printf("memory, %d requests open, %s: %ld KiB before, %ld KiB then, %.1f KiB each\n", kHeld, name,
                before, after, static_cast<double>(after - before) / kHeld);
  };
  held("all at the node", *gateway_process, gateway);
  held("waiting in the gateway", *small_process, small);
  std::fflush(stdout);
  std::filesystem::remove_all(folder);
  std::_Exit(0);  // the held queries' clients would wait for their answers
}

}  // namespace
}  // namespace sablelink

int main(int argc, char** argv) {
  CLI::App app{"What a gateway adds, measured on loopback"};
  std::string program;
  double seconds = 5;
  double rate = 1000;
  int width = 128;
  app.add_option("program", program, "The sablelink program")->required();
  app.add_option("--seconds", seconds, "Length of each measurement")->capture_default_str();
  bool columns = false;
  bool large = false;
  app.add_flag("--columns", columns, "Measures tickets and their columns instead");
  app.add_flag("--large", large, "Measures a large answer to a slow reader instead");
  app.add_option("--rate", rate, "Queries a second in the open loop")->capture_default_str();
  app.add_option("--width", width, "Queries out at all times in the closed loop")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  try {
    return sablelink::run(program, seconds, rate, width, columns, large);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "gateway_bench: %s\n", e.what());
    return 1;
  }
}
