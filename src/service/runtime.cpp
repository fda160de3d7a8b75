#include "service/runtime.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "base/json.h"

namespace sablelink::service {

namespace {

class JsonLog : public Log {
 public:
  JsonLog(const std::string& concern, const std::string& level)
      : logger_(concern, std::make_shared<spdlog::sinks::stderr_sink_mt>()) {
    logger_.set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","log":"%n",%v})");
    logger_.set_level(spdlog::level::from_str(level));
    logger_.flush_on(spdlog::level::info);
  }

  bool wants(LogLevel level) const override { return logger_.should_log(level_of(level)); }

  void write(LogLevel level, std::string_view event, LogFields fields) override {
    const auto at = level_of(level);
    if (!logger_.should_log(at)) return;
    std::string line = "\"event\":\"" + json_escaped(event) + "\"";
    for (const auto& [key, value] : fields)
      line += ",\"" + json_escaped(key) + "\":\"" + json_escaped(value) + "\"";
    logger_.log(at, spdlog::string_view_t(line.data(), line.size()));
  }

 private:
  static spdlog::level::level_enum level_of(LogLevel level) {
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

std::unique_ptr<Log> make_json_log(const std::string& concern, const std::string& level) {
  return std::make_unique<JsonLog>(concern, level);
}

}  // namespace sablelink::service
