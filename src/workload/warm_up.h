// How much of its capacity an engine has while it warms up after its start.
#pragma once

#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

bool is_warming_up(const Settings& settings, const Endpoint& endpoint, TimeUs now);

/// Fraction of its capacity that the engine is sure to have, 1 once it is warm. The settings give the start
/// of the curve and its duration alone; half of a straight rise is assumed, which no engine falls short of.
double warmed_capacity_fraction(const Settings& settings, const Endpoint& endpoint, TimeUs now);

}  // namespace sablelink
