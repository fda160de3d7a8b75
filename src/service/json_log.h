// Log records as JSON lines on standard error.
#pragma once

#include <memory>
#include <string>

#include "base/log.h"

namespace sablelink::service {

/// Creates a thread-safe log. Each record is one JSON object with time, level, log, event and the event's
/// fields. The component is the value of "log". The level is "debug", "info", "warn" or "error"; records
/// below it are discarded.
std::unique_ptr<Log> make_json_log(const std::string& component, const std::string& level);

}  // namespace sablelink::service
