// Structured logging for modules that perform no I/O themselves. The process that embeds them determines the
// format and destination of the records.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace sablelink {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Names and values of a record's fields.
using LogFields = std::initializer_list<std::pair<std::string_view, std::string>>;

/// Destination of log records. Thread-safe.
class Log {
 public:
  virtual ~Log() = default;
  /// Writes one record. The event is a constant name that operators can search for; variable data belongs in
  /// the fields.
  virtual void write(LogLevel level, std::string_view event, LogFields fields) = 0;
  /// Whether records of this level are written. Lets callers avoid the cost of fields that would be
  /// discarded.
  virtual bool is_enabled(LogLevel level) const = 0;

  void info(std::string_view event, LogFields fields = {}) { write(LogLevel::kInfo, event, fields); }
  void warn(std::string_view event, LogFields fields = {}) { write(LogLevel::kWarn, event, fields); }
  void error(std::string_view event, LogFields fields = {}) { write(LogLevel::kError, event, fields); }
};

/// Discards every record.
class NullLog : public Log {
 public:
  void write(LogLevel, std::string_view, LogFields) override {}
  bool is_enabled(LogLevel) const override { return false; }
};

}  // namespace sablelink
