#include "platform/endpoints/change_log_reader.h"

#include <algorithm>
#include <utility>

#include "http/message.h"

namespace sablelink::platform {
namespace {

constexpr size_t kMaxLineBytes = 8u << 20;  // enough for a complete list of 20,000 endpoints
constexpr long long kMaxSequenceNumber = 9'000'000'000'000'000;

}  // namespace

ChangeLogReader::ChangeLogReader(uint64_t last_sequence_number, SettingNames names)
    : last_sequence_number_(last_sequence_number), names_(std::move(names)) {}

bool ChangeLogReader::feed(std::string_view bytes, const EventHandler& handler) {
  while (!bytes.empty()) {
    const size_t line_end = bytes.find('\n');
    if (line_end == std::string_view::npos) {
      partial_line_ += bytes;
      return partial_line_.size() <= kMaxLineBytes;
    }
    partial_line_ += bytes.substr(0, line_end);
    bytes.remove_prefix(line_end + 1);
    ++complete_line_count_;
    const std::string line = std::exchange(partial_line_, {});
    if (!read_line(line, handler)) return false;
  }
  return true;
}

bool ChangeLogReader::read_line(std::string_view line, const EventHandler& handler) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) return true;
  if (line.front() != '{') return read_heartbeat(line);
  return read_event(line, handler);
}

// A heartbeat is the sequence number of the log's last event. A number above last_sequence_number_ means that
// events are missing.
bool ChangeLogReader::read_heartbeat(std::string_view line) const {
  const long long sequence_number = http::parse_decimal(line, kMaxSequenceNumber);
  return sequence_number >= 0 && static_cast<uint64_t>(sequence_number) <= last_sequence_number_;
}

bool ChangeLogReader::read_event(std::string_view line, const EventHandler& handler) {
  WatchEvent event;
  try {
    event = parse_watch_event(line, names_);
  } catch (const ConfigError&) {
    return false;
  }
  if (event.sequence_number <= last_sequence_number_) return true;
  if (event.sequence_number > last_sequence_number_ + 1) return false;
  last_sequence_number_ = event.sequence_number;
  handler(event);
  return true;
}

void ChangeLogReader::add_known_events(const std::vector<WatchEvent>& events,
                                       uint64_t last_included_sequence_number, const EventHandler& handler) {
  for (const WatchEvent& event : events) {
    if (event.sequence_number <= last_sequence_number_) continue;
    last_sequence_number_ = event.sequence_number;
    handler(event);
  }
  last_sequence_number_ = std::max(last_sequence_number_, last_included_sequence_number);
}

}  // namespace sablelink::platform
