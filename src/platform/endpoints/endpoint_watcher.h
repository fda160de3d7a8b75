// Watches the platform's change log over a connection and reports the endpoint list.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "base/weak_ptr.h"
#include "platform/config.h"
#include "platform/endpoints/change_log_reader.h"
#include "platform/endpoints/endpoint_set.h"
#include "rpc/byte_stream.h"

namespace sablelink::platform {

/// Connects to the change log, asks for the events after the last known one, and reconnects, with backoff,
/// when the connection ends, an event is missing or no complete line has come for longer than the log's
/// heartbeats allow. On the dialer's strand alone. Timers and coroutines may outlive the watcher; they then
/// do nothing.
class EndpointWatcher {
 public:
  /// Called with the complete list after each change.
  using EndpointsChangedCallback = std::function<void(const std::vector<config::EngineConfig>&)>;

  /// Dialer, clock and log must outlive the watcher, the clock also its timers.
  EndpointWatcher(rpc::Dialer& dialer, Clock& clock, Log& log, EndpointsChangedCallback on_endpoints_changed);
  /// Closes the connection. The callback is not called any more.
  ~EndpointWatcher();
  EndpointWatcher(const EndpointWatcher&) = delete;
  EndpointWatcher& operator=(const EndpointWatcher&) = delete;

  /// Applies the events that the configuration includes and connects to its change log. Called once.
  void start(const PlatformConfig& config);
  /// Applies the new events of the configuration and connects to its change log, which continues the same
  /// sequence numbers. Events of the previous connection still count until the new one is established.
  void switch_address(const PlatformConfig& config);

 private:
  rpc::Awaitable<void> watch(uint64_t generation, std::string address);
  rpc::Awaitable<bool> read_events(uint64_t generation, std::string address,
                                   std::shared_ptr<rpc::ByteStream> stream);
  void activate(uint64_t generation, const std::shared_ptr<rpc::ByteStream>& stream);
  void check_silence(const std::weak_ptr<rpc::ByteStream>& watched);
  ChangeLogReader::EventHandler event_handler();
  void notify_if_changed();

  rpc::Dialer& dialer_;
  Clock& clock_;
  Log& log_;
  const EndpointsChangedCallback on_endpoints_changed_;
  std::unique_ptr<ChangeLogReader> reader_;  // from start() on
  EndpointSet endpoints_;
  bool notification_pending_ = false;
  std::shared_ptr<rpc::ByteStream> active_stream_;
  TimeUs last_line_at_ = 0;             // when the last complete line came on the active stream
  uint64_t connection_generation_ = 0;  // of the latest watch(): only it dials
  uint64_t active_generation_ = 0;      // of the watch() that owns the active stream: earlier ones end
  WeakPtrFactory<EndpointWatcher> weak_factory_{this};
};

}  // namespace sablelink::platform
