// Units and identifiers that every part of the program shares.
#pragma once

#include <cstdint>

namespace sablelink {

/// Microseconds: a moment on the gateway's clock, which only advances, or a span. Names of spans end in _us.
using TimeUs = int64_t;
constexpr TimeUs kMillisecondUs = 1'000;
constexpr TimeUs kSecondUs = 1'000'000;

/// Never repeated among the requests that a gateway still knows.
using RequestId = uint32_t;
/// Opaque identifier of an analytic engine.
using EngineId = uint64_t;

/// Receiver of gossip that goes to every gateway of the group.
constexpr uint32_t kAllGateways = 0xffffffff;

}  // namespace sablelink
