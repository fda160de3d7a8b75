#include "service/platform_service.h"

#include <string>
#include <utility>

#include "platform/descriptor_budget.h"
#include "platform/shutdown_schedule.h"
#include "service/json_log.h"

namespace sablelink::service {
namespace {

constexpr TimeUs kIdlePollIntervalUs = 10'000;
// Requests, results of engines until they are complete, and responses may each use one part in so many of the
// memory limit.
constexpr size_t kMemoryShareDivisor = 8;
constexpr TimeUs kMemoryCheckIntervalUs = 100'000;
constexpr size_t kLoggedMemoryStepBytes = 1 << 20;
constexpr size_t kBytesPerKb = 1024;

size_t memory_share_bytes(const platform::PlatformConfig& config) {
  return (config.memory_mb << 20) / kMemoryShareDivisor;
}

platform::EngineClientOptions engine_client_options(const platform::PlatformConfig& config,
                                                    const platform::DescriptorBudget& budget,
                                                    std::shared_ptr<platform::MemoryBudget> memory,
                                                    std::shared_ptr<platform::MemoryBudget> result_memory) {
  platform::EngineClientOptions options;
  options.budget = budget;
  options.memory = std::move(memory);
  options.result_memory = std::move(result_memory);
  options.dial_timeout_us = config.dial_timeout_us;
  options.engine_idle_timeout_us = config.engine_idle_timeout_us;
  options.hedging_allowed = config.settings.hedging_allowed;
  options.class_names = config.names.classes;
  return options;
}

dispatch::DispatcherLimits dispatcher_limits(const platform::PlatformConfig& config) {
  dispatch::DispatcherLimits limits;
  limits.total_buffer_bytes = memory_share_bytes(config);
  return limits;
}

platform::HttpServerOptions http_server_options(const platform::PlatformConfig& config,
                                                const platform::DescriptorBudget& budget) {
  platform::HttpServerOptions options;
  options.class_names = config.names.classes;
  options.tenant_names = config.names.tenants;
  for (const ClassSettings& class_settings : config.settings.classes)
    options.max_timeout_us.push_back(class_settings.request_timeout_us);
  options.max_connections = budget.clients;
  return options;
}

}  // namespace

// ---- Start

PlatformService::PlatformService(platform::PlatformConfig config, const System& system,
                                 const std::string& log_level)
    : config_(std::move(config)),
      log_(make_json_log("gateway", log_level)),
      loop_(system.wall, system.steady),
      request_memory_(std::make_shared<platform::MemoryBudget>(memory_share_bytes(config_))),
      result_memory_(std::make_shared<platform::MemoryBudget>(memory_share_bytes(config_))),
      network_(std::make_unique<rpc::TcpTransport>(loop_)) {
  const platform::DescriptorBudget budget = platform::DescriptorBudget::from_limit(config_.max_descriptors);
  endpoint_source_ = std::make_unique<RegistryEndpointSource>(
      endpoint_registry_,
      [this](std::function<void()> callback) { loop_.call_after(0, std::move(callback)); });
  engine_client_ = std::make_unique<platform::EngineClient>(
      engine_client_options(config_, budget, request_memory_, result_memory_), *network_, loop_,
      endpoint_registry_, *log_);
  dispatcher_ = std::make_unique<dispatch::RequestDispatcher>(config_.settings, config_.seed,
                                                              dispatcher_limits(config_), loop_,
                                                              *engine_client_, *endpoint_source_, *log_);
  endpoint_source_->set_dispatcher(dispatcher_.get());
  engine_client_->set_dispatcher(dispatcher_.get());
  http_server_ = std::make_unique<platform::HttpServer>(http_server_options(config_, budget), request_memory_,
                                                        *dispatcher_, *network_, loop_);
  endpoint_watcher_ = std::make_unique<platform::EndpointWatcher>(
      *network_, loop_, *log_,
      [this](const std::vector<config::EngineConfig>& engines) { on_endpoints_changed(engines); });
  loop_.post([this] {
    dispatcher_->start();
    endpoint_watcher_->start(config_);
    log_memory_peak();
  });
  port_ = network_->listen(config_.listen_address, [this](std::shared_ptr<rpc::ByteStream> stream) {
    return http_server_->serve(std::move(stream));
  });
  log_->info("started", {{"name", config_.name},
                         {"listen", config_.listen_address},
                         {"port", std::to_string(port_)},
                         {"sockets", std::to_string(config_.max_descriptors)},
                         {"memory_mb", std::to_string(config_.memory_mb)},
                         {"cores", std::to_string(config_.cpu_cores)}});
}

// Destroying the network ends the coroutines that wait for it. poll() lets them return before the loop is
// destroyed.
PlatformService::~PlatformService() {
  endpoint_watcher_.reset();
  http_server_.reset();
  engine_client_.reset();
  dispatcher_.reset();
  endpoint_source_.reset();
  network_.reset();
  loop_.poll();
}

// ---- Reload and endpoints

void PlatformService::reload(const platform::PlatformConfig& config) {
  log_->info("configuration_reloaded", {{"changelog", config.change_log_address}});
  endpoint_watcher_->switch_address(config);
}

// The first list is built from the events in the configuration, so it may be out of date.
void PlatformService::on_endpoints_changed(const std::vector<config::EngineConfig>& engines) {
  endpoint_registry_.replace(engines);
  engine_client_->on_endpoints_changed();
  const EndpointUpdateKind kind = has_endpoints_ ? EndpointUpdateKind::kFull : EndpointUpdateKind::kCached;
  has_endpoints_ = true;
  dispatcher_->on_endpoints_changed(kind, endpoint_registry_.endpoints());
}

// ---- Graceful shutdown

void PlatformService::start_graceful_shutdown() {
  if (std::exchange(is_shutting_down_, true)) return;
  log_->info("shutdown_started", {{"open_requests", std::to_string(dispatcher_->open_requests())}});
  http_server_->start_draining();
  const auto schedule = platform::ShutdownSchedule::from_settings(config_.settings);
  exit_at_ = loop_.now() + schedule.exit;
  loop_.call_after(schedule.stop_accepting, [this] { stop_accepting(); });
  loop_.call_after(schedule.cancel_in_flight, [this] { dispatcher_->cancel_in_flight(); });
}

void PlatformService::stop_accepting() {
  network_->stop_listening();
  http_server_->close_idle_connections();
  exit_when_idle();
}

void PlatformService::exit_when_idle() {
  if (!is_idle() && loop_.now() < exit_at_) {
    loop_.call_after(kIdlePollIntervalUs, [this] { exit_when_idle(); });
    return;
  }
  log_totals();
  loop_.stop();
}

bool PlatformService::is_idle() const { return dispatcher_->open_requests() == 0 && http_server_->is_idle(); }

void PlatformService::log_memory_peak() {
  if (!http_server_) return;
  loop_.call_after(kMemoryCheckIntervalUs, [this] { log_memory_peak(); });
  if (request_memory_->peak_bytes() < logged_memory_peak_bytes_ + kLoggedMemoryStepBytes) return;
  logged_memory_peak_bytes_ = request_memory_->peak_bytes();
  const auto used_kb = [this](platform::MemoryUse use) {
    return std::to_string(request_memory_->used_bytes(use) / kBytesPerKb);
  };
  log_->info("request_memory", {{"peak_kb", std::to_string(request_memory_->peak_bytes() / kBytesPerKb)},
                                {"limit_kb", std::to_string(request_memory_->limit_bytes() / kBytesPerKb)},
                                {"buffers_kb", used_kb(platform::MemoryUse::kRequestBuffers)},
                                {"statements_kb", used_kb(platform::MemoryUse::kStatements)},
                                {"engine_calls_kb", used_kb(platform::MemoryUse::kEngineCalls)},
                                {"responses_kb", used_kb(platform::MemoryUse::kResponses)},
                                {"connections", std::to_string(http_server_->connection_count())},
                                {"open_requests", std::to_string(dispatcher_->open_requests())}});
}

void PlatformService::log_totals() {
  const dispatch::DispatcherCounters& requests = dispatcher_->counters();
  const platform::HttpServerCounters& clients = http_server_->counters();
  const platform::EngineClientCounters& engines = engine_client_->counters();
  log_->info("shutdown_completed",
             {{"accepted", std::to_string(requests.accepted)},
              {"served", std::to_string(requests.served)},
              {"rejected", std::to_string(requests.rejected)},
              {"failed", std::to_string(requests.failed)},
              {"attempts", std::to_string(requests.attempts)},
              {"client_connections", std::to_string(clients.accepted_connections)},
              {"malformed_requests", std::to_string(clients.invalid_requests + clients.malformed_requests)},
              {"client_connections_rejected", std::to_string(clients.rejected_at_capacity)},
              {"client_requests_rejected_for_memory", std::to_string(clients.rejected_for_memory)},
              {"request_memory_peak_kb", std::to_string(request_memory_->peak_bytes() / kBytesPerKb)},
              {"result_memory_peak_kb", std::to_string(result_memory_->peak_bytes() / kBytesPerKb)},
              {"results_delayed", std::to_string(engines.results_delayed)},
              {"engine_connections", std::to_string(engines.dials)},
              {"engine_dials_refused", std::to_string(engines.dials_refused)},
              {"engine_dials_failed", std::to_string(engines.dials_failed)},
              {"engine_calls", std::to_string(engines.calls_sent)},
              {"engine_calls_interrupted", std::to_string(engines.calls_interrupted)},
              {"engine_responses_malformed", std::to_string(engines.malformed_responses)},
              {"engine_responses_with_trailing_bytes", std::to_string(engines.trailing_bytes)},
              {"engine_results_without_length", std::to_string(engines.results_without_length)},
              {"engine_calls_timed_out", std::to_string(engines.calls_timed_out)},
              {"engine_starts_overdue", std::to_string(engines.starts_overdue)},
              {"engine_starts_unread", std::to_string(engines.starts_unread)},
              {"attempts_delayed", std::to_string(engines.attempts_delayed)},
              {"attempts_released", std::to_string(engines.attempts_released)},
              {"attempts_delay_ms", std::to_string(engines.delay_us / kMillisecondUs)}});
}

}  // namespace sablelink::service
