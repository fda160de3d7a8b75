// Log records as JSON lines on standard error.
#pragma once

#include <memory>
#include <string>

#include "base/log.h"

namespace sablelink::service {

/// Makes a thread-safe log. Each record is one JSON object with time, level, log, event and the event's
/// fields. The component is the value of "log"; the level is "debug", "info", "warn" or "error", and records
/// below it are dropped.
std::unique_ptr<Log> make_json_log(const std::string& component, const std::string& level);

}  // namespace sablelink::service
