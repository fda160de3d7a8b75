#include "service/json_log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "base/json.h"

namespace sablelink::service {
namespace {

std::string json_member(std::string_view key, std::string_view value) {
  return '"' + json_escaped(key) + R"(":")" + json_escaped(value) + '"';
}

// spdlog's pattern adds the members common to all records; its message contains the members of the event.
class JsonLog : public Log {
 public:
  JsonLog(const std::string& component, const std::string& level)
      : logger_(component, std::make_shared<spdlog::sinks::stderr_sink_mt>()) {
    logger_.set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","log":"%n",%v})");
    logger_.set_level(spdlog::level::from_str(level));
    logger_.flush_on(spdlog::level::info);
  }

  bool is_enabled(LogLevel level) const override { return logger_.should_log(spdlog_level(level)); }

  void write(LogLevel level, std::string_view event, LogFields fields) override {
    const spdlog::level::level_enum spd_level = spdlog_level(level);
    if (!logger_.should_log(spd_level)) return;
    std::string members = json_member("event", event);
    for (const auto& [key, value] : fields) members += "," + json_member(key, value);
    logger_.log(spd_level, spdlog::string_view_t(members.data(), members.size()));
  }

 private:
  static spdlog::level::level_enum spdlog_level(LogLevel level) {
    switch (level) {
      case LogLevel::kDebug:
        return spdlog::level::debug;
      case LogLevel::kInfo:
        return spdlog::level::info;
      case LogLevel::kWarn:
        return spdlog::level::warn;
      case LogLevel::kError:
        return spdlog::level::err;
    }
    return spdlog::level::info;
  }

  spdlog::logger logger_;
};

}  // namespace

std::unique_ptr<Log> make_json_log(const std::string& component, const std::string& level) {
  return std::make_unique<JsonLog>(component, level);
}

}  // namespace sablelink::service
