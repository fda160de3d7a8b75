// Where modules without I/O of their own hand their log records. The record's form (JSON lines) and place are
// the embedder's.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace sablelink {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

using LogFields = std::initializer_list<std::pair<std::string_view, std::string>>;

class Log {
 public:
  virtual ~Log() = default;
  // One record: a constant event name and fields that vary. May be called from any thread.
  virtual void write(LogLevel level, std::string_view event, LogFields fields) = 0;
  // False: a record of this level would be dropped, so it needn't be put together.
  virtual bool wants(LogLevel level) const = 0;
  void info(std::string_view event, LogFields fields = {}) { write(LogLevel::kInfo, event, fields); }
  void warn(std::string_view event, LogFields fields = {}) { write(LogLevel::kWarn, event, fields); }
  void error(std::string_view event, LogFields fields = {}) { write(LogLevel::kError, event, fields); }
};

// Drops everything.
class NullLog : public Log {
 public:
  void write(LogLevel, std::string_view, LogFields) override {}
  bool wants(LogLevel) const override { return false; }
};

}  // namespace sablelink
