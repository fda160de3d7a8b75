// What an engine client has done since it was made.
#pragma once

#include <cstdint>

namespace sablelink::platform {

struct EngineClientCounters {
  uint64_t dials = 0;
  uint64_t dials_refused = 0;
  uint64_t dials_failed = 0;         // for any other reason, mostly timeouts
  uint64_t calls_sent = 0;           // HTTP requests
  uint64_t calls_interrupted = 0;    // the connection ended before a complete response
  uint64_t calls_timed_out = 0;      // also counted as interrupted
  uint64_t malformed_responses = 0;  // not of the protocol, or not HTTP
  uint64_t attempts_delayed = 0;     // until an orphaned attempt of the same request had ended
};

}  // namespace sablelink::platform
