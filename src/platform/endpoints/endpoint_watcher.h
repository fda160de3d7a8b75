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

/// Connects to the change log and requests the events after the last known one. Reconnects, with backoff, if
/// the connection ends, an event is missing, or no heartbeat or other complete line is received in time.
///
/// Used only on the dialer's strand. Timers and coroutines may outlive the watcher and then have no effect.
class EndpointWatcher {
 public:
  /// Called with the complete list after events that concern endpoints.
  using EndpointsChangedCallback = std::function<void(const std::vector<config::EngineConfig>&)>;

  /// Dialer, clock and log must outlive the watcher; the clock must also outlive the watcher's timers.
  EndpointWatcher(rpc::Dialer& dialer, Clock& clock, Log& log, EndpointsChangedCallback on_endpoints_changed);
  /// Closes the connection. The callback is not called afterwards.
  ~EndpointWatcher();
  EndpointWatcher(const EndpointWatcher&) = delete;
  EndpointWatcher& operator=(const EndpointWatcher&) = delete;

  /// Applies the events in the configuration and connects to its change log. Must be called once.
  void start(const PlatformConfig& config);
  /// Applies the new events in the configuration and connects to its change log, which continues the sequence
  /// numbers. Events of the previous connection are applied until the new connection is established.
  void switch_address(const PlatformConfig& config);

 private:
  rpc::Awaitable<void> watch(uint64_t generation, std::string address);
  rpc::Awaitable<bool> read_events(uint64_t generation, std::string address,
                                   std::shared_ptr<rpc::ByteStream> stream);
  void activate(uint64_t generation, const std::shared_ptr<rpc::ByteStream>& stream);
  void check_heartbeat_timeout(const std::weak_ptr<rpc::ByteStream>& watched_stream);
  ChangeLogReader::EventHandler event_handler();
  void notify_if_changed();

  rpc::Dialer& dialer_;
  Clock& clock_;
  Log& log_;
  const EndpointsChangedCallback on_endpoints_changed_;
  std::unique_ptr<ChangeLogReader> reader_;  // set by start()
  EndpointSet endpoints_;
  bool notification_pending_ = false;
  std::shared_ptr<rpc::ByteStream> active_stream_;
  TimeUs last_line_at_ = 0;             // when the active stream received its last complete line
  uint64_t connection_generation_ = 0;  // of the latest watch(), which alone dials
  uint64_t active_generation_ = 0;      // of the watch() that owns the active stream; earlier ones end
  WeakPtrFactory<EndpointWatcher> weak_factory_{this};
};

}  // namespace sablelink::platform
