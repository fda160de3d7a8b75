// Counters of an engine client.
#pragma once

#include <cstdint>

namespace sablelink::platform {

/// Totals since the engine client was created.
struct EngineClientCounters {
  uint64_t dials = 0;
  uint64_t dials_refused = 0;
  uint64_t dials_failed = 0;            // failed for a reason other than refusal, mostly a timeout
  uint64_t calls_sent = 0;              // HTTP requests
  uint64_t calls_interrupted = 0;       // the connection was lost before a complete response
  uint64_t calls_timed_out = 0;         // also included in calls_interrupted
  uint64_t trailing_bytes = 0;          // responses with bytes behind their content
  uint64_t results_without_length = 0;  // responses with a page whose end is that of the connection
  uint64_t malformed_responses = 0;     // not valid HTTP, or not valid in the platform's protocol
  uint64_t attempts_delayed = 0;        // delayed until an orphaned attempt of the same request ended
  uint64_t attempts_released = 0;       // those of `attempts_delayed` that were then sent
  uint64_t delay_us = 0;                // total time that the released attempts were delayed
  uint64_t results_delayed = 0;  // results whose further pages were not fetched at once, for want of memory
  uint64_t starts_overdue = 0;   // start calls that timed out, whose connection was kept open
  uint64_t starts_unread = 0;    // responses "unknown attempt" while the start may still be read
};

}  // namespace sablelink::platform
