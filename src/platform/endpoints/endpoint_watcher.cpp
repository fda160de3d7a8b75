#include "platform/endpoints/endpoint_watcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "base/signal.h"
#include "http/message.h"

namespace sablelink::platform {
namespace {

constexpr size_t kMostLine = 8u << 20;    // a whole list of 20,000 nodes has room
constexpr TimeUs kSilenceUs = 1'700'000;  // heartbeats come each second
constexpr TimeUs kDialUs = 500'000;
constexpr TimeUs kFirstPauseUs = 20'000, kMostPauseUs = 400'000;  // between tries to connect
constexpr size_t kPiece = 16 << 10;

}  // namespace

ChangeLogReader::Line ChangeLogReader::read(std::string_view line, WatchEvent& event) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) return Line::kPassed;
  if (line.front() != '{') {
    const long long last = http::parse_decimal(line, 9'000'000'000'000'000);
    return last < 0 || static_cast<uint64_t>(last) > last_ ? Line::kAskAgain : Line::kPassed;
  }
  try {
    event = parse_watch_event(line, names_);
  } catch (const ConfigError&) {
    return Line::kAskAgain;
  }
  if (event.sequence_number <= last_) return Line::kPassed;
  if (event.sequence_number > last_ + 1) return Line::kAskAgain;
  last_ = event.sequence_number;
  return Line::kApply;
}

bool ChangeLogReader::feed(std::string_view bytes, const std::function<void(const WatchEvent&)>& apply) {
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      partial_ += bytes;
      return partial_.size() <= kMostLine;
    }
    partial_ += bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    ++lines_;
    WatchEvent event;
    const std::string line = std::exchange(partial_, {});
    switch (read(line, event)) {
      case Line::kApply:
        apply(event);
        break;
      case Line::kPassed:
        break;
      case Line::kAskAgain:
        return false;
    }
  }
  return true;
}

void ChangeLogReader::take(const std::vector<WatchEvent>& events, uint64_t up_to,
                           const std::function<void(const WatchEvent&)>& apply) {
  for (const WatchEvent& event : events) {
    if (event.sequence_number <= last_) continue;
    last_ = event.sequence_number;
    apply(event);
  }
  last_ = std::max(last_, up_to);
}

bool EndpointSet::apply(const WatchEvent& event) {
  if (!event.has_endpoints) return false;
  if (event.is_complete) nodes_.clear();
  for (const WatchEvent::EndpointChange& told : event.endpoints) {
    if (told.is_removed)
      nodes_.erase(told.endpoint.name);
    else
      nodes_[told.endpoint.name] = told.endpoint;
  }
  return true;
}

std::vector<config::EngineConfig> EndpointSet::nodes() const {
  std::vector<config::EngineConfig> out;
  for (const auto& [name, node] : nodes_) out.push_back(node);
  return out;
}

EndpointWatcher::EndpointWatcher(rpc::Dialer& net, Clock& clock, Log& log, EndpointsChanged told)
    : net_(net),
      clock_(clock),
      log_(log),
      told_(std::move(told)),
      self_(std::make_shared<EndpointWatcher*>(this)) {}

EndpointWatcher::~EndpointWatcher() {
  *self_ = nullptr;
  if (stream_) stream_->close();
}

void EndpointWatcher::apply(
    const std::function<void(const std::function<void(const WatchEvent&)>&)>& source) {
  bool changed = false;
  source([&](const WatchEvent& event) { changed = list_.apply(event) || changed; });
  if (changed) told_(list_.nodes());
}

void EndpointWatcher::start(const PlatformConfig& config) {
  sequence_ = std::make_unique<ChangeLogReader>(0, config.names);
  switch_address(config);
}

void EndpointWatcher::switch_address(const PlatformConfig& config) {
  apply([&](const auto& each) {
    sequence_->take(config.initial_events, config.initial_sequence_number, each);
  });
  spawn(config.watch_address);
}

void EndpointWatcher::spawn(const std::string& address) {
  boost::asio::co_spawn(net_.executor(), follow(++life_, address), boost::asio::detached);
}

rpc::Awaitable<void> EndpointWatcher::follow(uint64_t life, std::string address) {
  const std::shared_ptr<EndpointWatcher*> self = self_;
  const auto over = [&] { return *self == nullptr || life < stands_; };
  const auto dials = [&] { return *self != nullptr && life == life_; };
  TimeUs rest = 0;
  while (true) {
    if (rest > 0) co_await pause(clock_, rest);
    if (!dials()) co_return;
    rest = std::clamp(rest * 2, kFirstPauseUs, kMostPauseUs);
    const rpc::ConnectResult connected = co_await net_.connect(address, kDialUs);
    const std::shared_ptr<rpc::ByteStream>& stream = connected.stream;
    if (!dials()) co_return;
    if (!stream) continue;
    // From here on this connection is the one: whatever an earlier one still tells is asked for by number.
    if (stream_) stream_->close();
    stream_ = stream;
    stands_ = life;
    sequence_->begin();
    const std::string ask = "since " + std::to_string(sequence_->last()) + "\n";
    const bool asked = co_await rpc::write_all(*stream, ask);
    if (over()) co_return;
    if (!asked) continue;
    log_.info("changelog_asked", {{"address", address}, {"since", std::to_string(sequence_->last())}});
    // Nothing for longer than a heartbeat allows: the log has stopped, though its connection stands.
    const auto heard = std::make_shared<TimeUs>(clock_.now());
    const auto watch = std::make_shared<std::function<void()>>();
    *watch = [self, weak = std::weak_ptr<rpc::ByteStream>(stream), heard,
              again = std::weak_ptr<std::function<void()>>(watch)] {
      const auto s = weak.lock();
      const auto next = again.lock();
      if (!s || !next || *self == nullptr) return;
      Clock& clock = (*self)->clock_;
      const TimeUs left = *heard + kSilenceUs - clock.now();
      if (left <= 0)
        s->close();
      else
        clock.call_after(left, [next] { (*next)(); });
    };
    (*watch)();
    for (;;) {
      const std::optional<std::string> bytes = co_await stream->read(kPiece);
      if (over()) co_return;
      if (!bytes || bytes->empty()) break;
      bool trusted = true;
      const uint64_t lines = sequence_->lines();
      apply([&](const auto& each) { trusted = sequence_->feed(*bytes, each); });
      if (!trusted) break;
      if (sequence_->lines() == lines) continue;  // part of a line is no sign of life
      *heard = clock_.now();
      rest = 0;
    }
    stream->close();
    if (rest == 0) rest = kFirstPauseUs / 2;
    log_.info("changelog_broken", {{"address", address}, {"last", std::to_string(sequence_->last())}});
  }
}

}  // namespace sablelink::platform
