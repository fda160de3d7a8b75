// Intervals of the periodic checks that no event triggers.
#pragma once

#include "workload/types.h"

namespace sablelink {

constexpr TimeUs kHousekeepingIntervalUs = 20 * kMillisecondUs;
/// A longer time without any event means that the gateway's process stalled: housekeeping alone causes events
/// far more often.
constexpr TimeUs kStallThresholdUs = 150 * kMillisecondUs;

}  // namespace sablelink
