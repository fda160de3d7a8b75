#include "platform/endpoints/endpoint_watcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>
#include <utility>

#include "base/async_event.h"
#include "base/backoff.h"

namespace sablelink::platform {
namespace {

constexpr TimeUs kHeartbeatTimeoutUs = 1'700'000;  // the change log sends a heartbeat every second
constexpr TimeUs kDialTimeoutUs = 500'000;
constexpr TimeUs kMinBackoffUs = 20'000;
constexpr TimeUs kMaxBackoffUs = 400'000;
constexpr TimeUs kReconnectDelayUs = 10'000;  // after a connection that received complete lines
constexpr size_t kReadBytes = 16 << 10;

}  // namespace

EndpointWatcher::EndpointWatcher(rpc::Dialer& dialer, Clock& clock, Log& log,
                                 EndpointsChangedCallback on_endpoints_changed)
    : dialer_(dialer), clock_(clock), log_(log), on_endpoints_changed_(std::move(on_endpoints_changed)) {}

EndpointWatcher::~EndpointWatcher() {
  weak_factory_.invalidate();
  if (active_stream_) active_stream_->close();
}

void EndpointWatcher::start(const PlatformConfig& config) {
  reader_ = std::make_unique<ChangeLogReader>(0, config.names);
  switch_address(config);
}

void EndpointWatcher::switch_address(const PlatformConfig& config) {
  reader_->add_known_events(config.initial_events, config.initial_sequence_number, event_handler());
  notify_if_changed();
  ++connection_generation_;
  boost::asio::co_spawn(dialer_.executor(), watch(connection_generation_, config.change_log_address),
                        boost::asio::detached);
}

ChangeLogReader::EventHandler EndpointWatcher::event_handler() {
  return [this](const WatchEvent& event) {
    if (endpoints_.apply(event)) notification_pending_ = true;
  };
}

void EndpointWatcher::notify_if_changed() {
  if (std::exchange(notification_pending_, false)) on_endpoints_changed_(endpoints_.endpoints());
}

rpc::Awaitable<void> EndpointWatcher::watch(uint64_t generation, std::string address) {
  const WeakPtr<EndpointWatcher> self = weak_factory_.get_weak_ptr();
  Backoff backoff(kMinBackoffUs, kMaxBackoffUs);
  while (true) {
    if (backoff.delay_us() > 0) co_await sleep_for(clock_, backoff.delay_us());
    if (!self || generation != connection_generation_) co_return;
    backoff.next_us();
    const rpc::ConnectResult connected = co_await dialer_.connect(address, kDialTimeoutUs);
    const std::shared_ptr<rpc::ByteStream>& stream = connected.stream;
    if (!self || generation != connection_generation_) co_return;
    if (!stream) continue;
    activate(generation, stream);
    const bool received_lines = co_await read_events(generation, address, stream);
    if (!self || generation < active_generation_) co_return;
    if (received_lines) backoff.reset(kReconnectDelayUs);
  }
}

void EndpointWatcher::activate(uint64_t generation, const std::shared_ptr<rpc::ByteStream>& stream) {
  // Events that the previous connection has not delivered are requested again, by sequence number.
  if (active_stream_) active_stream_->close();
  active_stream_ = stream;
  active_generation_ = generation;
  reader_->on_connected();
}

// Reads events until the connection ends, is replaced or an event is missing. Returns true if the connection
// received valid complete lines.
rpc::Awaitable<bool> EndpointWatcher::read_events(uint64_t generation, std::string address,
                                                  std::shared_ptr<rpc::ByteStream> stream) {
  const WeakPtr<EndpointWatcher> self = weak_factory_.get_weak_ptr();
  const std::string request = "since " + std::to_string(reader_->last_sequence_number()) + "\n";
  const bool requested = co_await rpc::write_all(*stream, request);
  if (!self || generation < active_generation_ || !requested) co_return false;
  log_.info("endpoint_watch_started",
            {{"address", address}, {"since", std::to_string(reader_->last_sequence_number())}});
  last_line_at_ = clock_.now();
  check_heartbeat_timeout(stream);
  bool received_lines = false;
  while (true) {
    const std::optional<std::string> bytes = co_await stream->read(kReadBytes);
    if (!self || generation < active_generation_) co_return false;
    if (!bytes || bytes->empty()) break;
    const uint64_t previous_line_count = reader_->complete_line_count();
    const bool in_sequence = reader_->feed(*bytes, event_handler());
    notify_if_changed();
    if (!in_sequence) break;
    if (reader_->complete_line_count() == previous_line_count)
      continue;  // an incomplete line is no heartbeat
    last_line_at_ = clock_.now();
    received_lines = true;
  }
  stream->close();
  log_.info("endpoint_watch_lost",
            {{"address", address}, {"last", std::to_string(reader_->last_sequence_number())}});
  co_return received_lines;
}

// Closes the stream if no complete line was received within the timeout; otherwise schedules the next check.
void EndpointWatcher::check_heartbeat_timeout(const std::weak_ptr<rpc::ByteStream>& watched_stream) {
  const std::shared_ptr<rpc::ByteStream> stream = watched_stream.lock();
  if (!stream || stream != active_stream_) return;
  const TimeUs remaining_us = last_line_at_ + kHeartbeatTimeoutUs - clock_.now();
  if (remaining_us <= 0) {
    stream->close();
    return;
  }
  clock_.call_after(remaining_us, [self = weak_factory_.get_weak_ptr(), watched_stream] {
    if (self) self->check_heartbeat_timeout(watched_stream);
  });
}

}  // namespace sablelink::platform
