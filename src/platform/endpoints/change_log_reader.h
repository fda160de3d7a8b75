// Reads the platform's change log: a stream of lines, each an event in JSON or a heartbeat.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/config.h"

namespace sablelink::platform {

/// Passes each event on once and in the order of their sequence numbers, from bytes in any pieces and across
/// connections. Pure: no I/O.
class ChangeLogReader {
 public:
  using EventHandler = std::function<void(const WatchEvent&)>;

  /// `last_sequence_number` is that of the last event that is known already.
  ChangeLogReader(uint64_t last_sequence_number, SettingNames names);

  /// Sequence number of the last event that was passed on or is known otherwise.
  uint64_t last_sequence_number() const { return last_sequence_number_; }
  /// Complete lines read so far, on all connections.
  uint64_t complete_lines() const { return complete_lines_; }

  /// A new connection begins; the part of a line that came on the previous one is dropped.
  void on_connected() { partial_line_.clear(); }
  /// Reads bytes and calls the handler for each new event. False: an event is missing, or a line is malformed
  /// or too long; a new connection must ask for what follows last_sequence_number().
  bool feed(std::string_view bytes, const EventHandler& handler);
  /// Passes on the new ones of a configuration's events. The configuration includes all events up to
  /// `last_included`.
  void add_known_events(const std::vector<WatchEvent>& events, uint64_t last_included,
                        const EventHandler& handler);

 private:
  bool read_line(std::string_view line, const EventHandler& handler);
  bool read_heartbeat(std::string_view line) const;
  bool read_event(std::string_view line, const EventHandler& handler);

  uint64_t last_sequence_number_;
  uint64_t complete_lines_ = 0;
  const SettingNames names_;
  std::string partial_line_;
};

}  // namespace sablelink::platform
