#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <string_view>

#include "cli/commands.h"
#include "config/gateway_config.h"
#include "nodes/node_config.h"
#include "nodes/record_file.h"
#include "service/gateway_service.h"
#include "service/json_log.h"
#include "service/node_service.h"
#include "service/platform_service.h"
#include "workload/error.h"

namespace sablelink::cli {
namespace {

constexpr TimeUs kNodeShutdownGraceUs = 10'000'000;
constexpr const char* kDefaultPlatformLogLevel = "info";

// Calls on_shutdown on SIGTERM and SIGINT, and on_reload on SIGHUP. While a handler exists, these signals
// don't terminate the process.
class SignalHandler {
 public:
  struct Callbacks {
    std::function<void()> on_shutdown;
    std::function<void()> on_reload;
  };

  // The callbacks run on the threads of the io_context.
  SignalHandler(boost::asio::io_context& context, Callbacks callbacks)
      : signals_(context, SIGTERM, SIGINT, SIGHUP), callbacks_(std::move(callbacks)) {
    wait();
  }

 private:
  void wait() {
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
      if (error) return;
      const auto& callback = signal == SIGHUP ? callbacks_.on_reload : callbacks_.on_shutdown;
      callback();
      wait();
    });
  }

  boost::asio::signal_set signals_;
  const Callbacks callbacks_;
};

// Handles signals on the calling thread, for programs whose work runs on other threads.
class ForegroundSignals {
 public:
  void on_reload(std::function<void()> fn) { reload_ = std::move(fn); }
  // Blocks until SIGTERM or SIGINT. Until then, reloads run on the calling thread.
  void wait_for_shutdown() { context_.run(); }

 private:
  std::function<void()> reload_ = [] {};
  boost::asio::io_context context_;
  SignalHandler handler_{context_, {[this] { context_.stop(); }, [this] { reload_(); }}};
};

void print_ready() {
  std::printf("ready\n");
  std::fflush(stdout);
}

// Configuration of the gateway that "up" runs; run_up() adds the engines.
constexpr std::string_view kUpConfig = R"(
[[class]]
name = "query"
aim = "2s"
deadline = "30s"
late_worth = 0.5
[[class]]
name = "update"
aim = "5s"
deadline = "30s"
repeat = "unsafe"
late_worth = 0.5
[[class]]
name = "plan"
aim = "250ms"
deadline = "5s"
late_worth = 0.5
[planning]
class = "plan"
[[kind]]
name = "stand-in"
cores = 8
memory = "16GiB"
[[select]]
kinds = ["insert", "update", "delete", "merge", "load", "definition"]
class = "update"
[[table]]
name = "gallery"
[[table]]
name = "ceremony"
)";

// The platform's configuration has no key for the log's level, so it is set by an environment variable.
std::string platform_log_level() {
  const char* const level = std::getenv("SABLELINK_LOG_LEVEL");
  if (level == nullptr || *level == '\0') return kDefaultPlatformLogLevel;
  for (const char* const known : {"debug", "info", "warn", "error"})
    if (std::string_view(level) == known) return known;
  throw CommandError("the environment variable SABLELINK_LOG_LEVEL isn't debug, info, warn or error");
}

}  // namespace

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw CommandError(path + ": can't be read");
  return std::string(std::istreambuf_iterator<char>(in), {});
}

int run_up(const UpOptions& options, const service::System& system) {
  ForegroundSignals signals;
  config::GatewayConfig config = config::parse_gateway_config(kUpConfig, "embedded");
  config.name = "up";
  config.listen_address = options.listen_address;
  config.log_level = "warn";
  std::vector<std::unique_ptr<service::NodeService>> emulators;
  for (int i = 0; i < options.engines; ++i) {
    nodes::NodeConfig emulator;
    emulator.name = "node-" + std::to_string(i + 1);
    emulator.listen = "127.0.0.1:0";
    emulators.push_back(std::make_unique<service::NodeService>(emulator, system, nullptr));
    config::EngineConfig engine;
    engine.name = emulator.name;
    engine.address = "127.0.0.1:" + std::to_string(emulators.back()->port());
    config.engines.push_back(std::move(engine));
  }
  service::GatewayService gateway(config, system);
  print_ready();
  signals.wait_for_shutdown();
  gateway.shut_down(config.flight_sql.shutdown_grace_us);
  return kSuccess;
}

int run_gateway(const std::string& config_file, const service::System& system) {
  const config::GatewayConfig config = config::parse_gateway_config(read_file(config_file), config_file);
  ForegroundSignals signals;
  service::GatewayService gateway(config, system);
  const std::unique_ptr<Log> log = service::make_json_log("config", config.log_level);
  signals.on_reload([&] {
    try {
      gateway.reload(config::parse_gateway_config(read_file(config_file), config_file));
    } catch (const Error& e) {
      log->error("reload_rejected", {{"error", e.what()}});
    }
  });
  print_ready();
  signals.wait_for_shutdown();
  gateway.shut_down(config.flight_sql.shutdown_grace_us);
  return kSuccess;
}

int run_node(const std::string& config_file, const service::System& system) {
  const nodes::NodeConfig config = nodes::parse_node_config(read_file(config_file), config_file);
  std::unique_ptr<nodes::RecordFile> record;
  if (!config.record_path.empty()) record = std::make_unique<nodes::RecordFile>(config.record_path);
  ForegroundSignals signals;
  service::NodeService node(config, system, record.get());
  print_ready();
  signals.wait_for_shutdown();
  node.shut_down(kNodeShutdownGraceUs);
  return kSuccess;
}

int run_platform(const service::System& system) {
  const char* const config_file = std::getenv("BALANCER_CONFIG");
  if (config_file == nullptr) throw CommandError("the environment variable BALANCER_CONFIG isn't set");
  service::PlatformService gateway(platform::parse_config(read_file(config_file)), system,
                                   platform_log_level());
  const auto reload = [&] {
    try {
      gateway.reload(platform::parse_config(read_file(config_file)));
    } catch (const Error& e) {
      std::fprintf(stderr, "sablelink: reload rejected, the previous configuration stays in use: %s\n",
                   e.what());
    }
  };
  SignalHandler signals(gateway.loop().context(), {[&] { gateway.start_graceful_shutdown(); }, reload});
  print_ready();
  gateway.run();
  return kSuccess;
}

int run_config_check(const std::string& config_file) {
  const std::string text = read_file(config_file);
  // The configuration of an engine emulator has one [node] table, that of a gateway a [[node]] array.
  const bool is_emulator = config::Section::parse(text, config_file).has_table("node");
  if (is_emulator) {
    nodes::parse_node_config(text, config_file);
  } else {
    const config::GatewayConfig config = config::parse_gateway_config(text, config_file);
    std::printf("%s: gateway '%s', %zu classes, %zu selectors, %zu nodes\n", config_file.c_str(),
                config.name.c_str(), config.class_names.size(), config.selectors.selectors.size(),
                config.engines.size());
  }
  std::printf("%s: good\n", config_file.c_str());
  return kSuccess;
}

}  // namespace sablelink::cli
