// The list of nodes as the platform's change log tells it: events by number, each applied once and in order.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "platform/config.h"
#include "rpc/byte_stream.h"

namespace sablelink::platform {

// Lines out of bytes, and what each asks for. Pure.
class ChangeLogReader {
 public:
  ChangeLogReader(uint64_t last, const SettingNames& names) : last_(last), names_(names) {}

  enum class Line {
    kApply,    // event() is the next one
    kPassed,   // a heartbeat, or an event known already
    kAskAgain  // what can't be read, or a gap: the connection's text is no longer trusted
  };
  uint64_t last() const { return last_; }
  uint64_t lines() const { return lines_; }  // whole ones, so far
  // A new connection begins: what came of a line before counts no more.
  void begin() { partial_.clear(); }
  // Takes bytes and calls apply for each event that is next. False: ask again on a new connection.
  bool feed(std::string_view bytes, const std::function<void(const WatchEvent&)>& apply);
  // Events of a configuration, which knows all up to the number.
  void take(const std::vector<WatchEvent>& events, uint64_t up_to,
            const std::function<void(const WatchEvent&)>& apply);

 private:
  Line read(std::string_view line, WatchEvent& event);

  uint64_t last_, lines_ = 0;
  const SettingNames names_;
  std::string partial_;
};

// The list itself: the nodes that are known, by name. Pure.
class EndpointSet {
 public:
  // True where the list has changed.
  bool apply(const WatchEvent& event);
  std::vector<config::EngineConfig> nodes() const;

 private:
  std::map<std::string, config::EngineConfig> nodes_;
};

// The connection: asks for what is missing, again after each break and wherever no whole line has come for
// longer than the log's heartbeat allows. On the net's strand alone.
class EndpointWatcher {
 public:
  using EndpointsChanged = std::function<void(const std::vector<config::EngineConfig>&)>;

  // told is called with the whole list after each change.
  EndpointWatcher(rpc::Dialer& net, Clock& clock, Log& log, EndpointsChanged told);
  ~EndpointWatcher();

  // Begins with the events that the configuration holds.
  void start(const PlatformConfig& config);
  // Goes on at another address; the numbers continue. The old connection counts until the new one stands.
  void switch_address(const PlatformConfig& config);

 private:
  rpc::Awaitable<void> follow(uint64_t life, std::string address);
  void apply(const std::function<void(const std::function<void(const WatchEvent&)>&)>& source);
  void spawn(const std::string& address);

  rpc::Dialer& net_;
  Clock& clock_;
  Log& log_;
  const EndpointsChanged told_;
  std::unique_ptr<ChangeLogReader> sequence_;
  EndpointSet list_;
  std::shared_ptr<rpc::ByteStream> stream_;  // the connection that is followed now
  uint64_t life_ = 0;                        // of the latest follower: an earlier one dials no more
  uint64_t stands_ = 0;                      // of the latest with a connection: earlier ones are over
  std::shared_ptr<EndpointWatcher*> self_;   // coroutines that outlive the log find it empty
};

}  // namespace sablelink::platform
