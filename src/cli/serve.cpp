#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

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

// SIGTERM and SIGINT ask for the end, SIGHUP for a reload. Made before whatever should not be ended by them.
class Signals {
 public:
  Signals() : set_(context_, SIGTERM, SIGINT, SIGHUP) { wait(); }
  void on_reload(std::function<void()> fn) { reload_ = std::move(fn); }
  // Waits in the calling thread, which reloads are called on too.
  void wait_for_stop() { context_.run(); }

 private:
  void wait() {
    set_.async_wait([this](const boost::system::error_code& error, int signal) {
      if (error || signal != SIGHUP) return;
      if (reload_) reload_();
      wait();
    });
  }

  boost::asio::io_context context_;
  boost::asio::signal_set set_;
  std::function<void()> reload_;
};

void say_ready() {
  std::printf("ready\n");
  std::fflush(stdout);
}

// The embedded default: one class, safe to repeat, on whatever the stand-ins are.
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

}  // namespace

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw config::ConfigError(path + ": can't be read");
  return std::string(std::istreambuf_iterator<char>(in), {});
}

int run_up(const UpOptions& options, const service::System& system) {
  Signals signals;
  config::GatewayConfig config = config::parse_gateway_config(kUpConfig, "embedded");
  config.name = "up";
  config.listen = options.listen;
  config.log_level = "warn";
  std::vector<std::unique_ptr<service::NodeService>> nodes;
  for (int i = 0; i < options.nodes; ++i) {
    nodes::NodeConfig node;
    node.name = "node-" + std::to_string(i + 1);
    node.listen = "127.0.0.1:0";
    nodes.push_back(std::make_unique<service::NodeService>(node, system, nullptr));
    config::EngineConfig entry;
    entry.name = node.name;
    entry.address = "127.0.0.1:" + std::to_string(nodes.back()->port());
    config.engines.push_back(std::move(entry));
  }
  service::GatewayService gateway(config, system);
  say_ready();
  signals.wait_for_stop();
  gateway.shut_down(config.flight_sql.stop_grace_us);
  return 0;
}

int run_gateway(const std::string& file, const service::System& system) {
  const config::GatewayConfig config = config::parse_gateway_config(read_file(file), file);
  Signals signals;
  service::GatewayService gateway(config, system);
  const std::unique_ptr<Log> log = service::make_json_log("config", config.log_level);
  signals.on_reload([&] {
    try {
      gateway.reload(config::parse_gateway_config(read_file(file), file));
    } catch (const Error& e) {
      log->error("reload_rejected", {{"error", e.what()}});
    }
  });
  say_ready();
  signals.wait_for_stop();
  gateway.shut_down(config.flight_sql.stop_grace_us);
  return 0;
}

int run_node(const std::string& file, const service::System& system) {
  const nodes::NodeConfig config = nodes::parse_node_config(read_file(file), file);
  std::unique_ptr<nodes::RecordFile> record;
  if (!config.record.empty()) record = std::make_unique<nodes::RecordFile>(config.record);
  Signals signals;
  service::NodeService node(config, system, record.get());
  say_ready();
  signals.wait_for_stop();
  constexpr TimeUs kNodeGraceUs = 10'000'000;
  node.shut_down(kNodeGraceUs);
  return 0;
}

int run_platform(const service::System& system) {
  const char* const file = std::getenv("BALANCER_CONFIG");
  if (file == nullptr) throw platform::ConfigError("BALANCER_CONFIG names no file");
  service::PlatformService gateway(platform::parse_config(read_file(file)), system);
  boost::asio::signal_set signals(gateway.loop().context(), SIGTERM, SIGINT, SIGHUP);
  std::function<void()> wait = [&] {
    signals.async_wait([&](const boost::system::error_code& error, int signal) {
      if (error) return;
      if (signal == SIGHUP) {
        try {
          gateway.reload(platform::parse_config(read_file(file)));
        } catch (const Error& e) {
          std::fprintf(stderr, "sablelink: reload rejected, the configuration stays: %s\n", e.what());
        }
      } else {
        gateway.start_graceful_shutdown();
      }
      wait();
    });
  };
  wait();
  say_ready();
  gateway.run();
  return 0;
}

int run_config_check(const std::string& file) {
  const std::string text = read_file(file);
  // A node's configuration has a [node], a gateway's has [[node]]s.
  const bool is_node = config::Section::parse(text, file).has_table("node");
  if (is_node) {
    nodes::parse_node_config(text, file);
  } else {
    const config::GatewayConfig c = config::parse_gateway_config(text, file);
    std::printf("%s: gateway '%s', %zu classes, %zu selectors, %zu nodes\n", file.c_str(), c.name.c_str(),
                c.class_names.size(), c.selectors.selectors.size(), c.engines.size());
  }
  std::printf("%s: good\n", file.c_str());
  return 0;
}

}  // namespace sablelink::cli
