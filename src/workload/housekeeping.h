// The pace of the checks that no event triggers.
#pragma once

#include "workload/types.h"

namespace sablelink {

constexpr TimeUs kHousekeepingIntervalUs = 20 * kMillisecondUs;
/// Without any event for this long the gateway's own process stalled, as housekeeping comes far more often.
constexpr TimeUs kStallThresholdUs = 150 * kMillisecondUs;

}  // namespace sablelink
