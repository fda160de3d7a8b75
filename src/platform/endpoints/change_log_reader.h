// Parser of the platform's change log, a stream of lines that are JSON events or heartbeats.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/config.h"

namespace sablelink::platform {

/// Parses the bytes of consecutive connections, in pieces of any size, and passes each event to a handler
/// once, in the order of sequence numbers. Pure: no I/O.
class ChangeLogReader {
 public:
  using EventHandler = std::function<void(const WatchEvent&)>;

  /// `last_sequence_number` is the sequence number of the last event that is already known.
  ChangeLogReader(uint64_t last_sequence_number, SettingNames names);

  /// Sequence number of the last event that was passed to a handler or is already known.
  uint64_t last_sequence_number() const { return last_sequence_number_; }
  /// Number of complete lines read on all connections.
  uint64_t complete_line_count() const { return complete_line_count_; }

  /// Must be called for each new connection. Discards the previous connection's incomplete last line.
  void on_connected() { partial_line_.clear(); }
  /// Parses bytes and calls the handler for each new event. Returns false if an event is missing or a line is
  /// malformed or too long; a new connection must then request the events after last_sequence_number().
  bool feed(std::string_view bytes, const EventHandler& handler);
  /// Passes the new events of a configuration to the handler. The configuration covers all events up to
  /// `last_included_sequence_number`.
  void add_known_events(const std::vector<WatchEvent>& events, uint64_t last_included_sequence_number,
                        const EventHandler& handler);

 private:
  bool read_line(std::string_view line, const EventHandler& handler);
  bool read_heartbeat(std::string_view line) const;
  bool read_event(std::string_view line, const EventHandler& handler);

  uint64_t last_sequence_number_;
  uint64_t complete_line_count_ = 0;
  const SettingNames names_;
  std::string partial_line_;
};

}  // namespace sablelink::platform
