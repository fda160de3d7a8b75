// Units and identifiers shared by all parts of the program.
#pragma once

#include <cstdint>

namespace sablelink {

/// Microseconds: a time on the gateway's monotonic clock, or a duration. Names of durations end in _us.
using TimeUs = int64_t;
constexpr TimeUs kMillisecondUs = 1'000;
constexpr TimeUs kSecondUs = 1'000'000;

/// Unique among the requests that the gateway has not completed and forgotten.
using RequestId = uint32_t;
/// Opaque identifier of an analytic engine.
using EngineId = uint64_t;

/// Receiver of gossip messages to all gateways of the group.
constexpr uint32_t kAllGateways = 0xffffffff;

}  // namespace sablelink
