// How much work an engine bears at a time, also while it warms up after its start.
#pragma once

#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

struct Engine;

/// Threads of queries per core at which engines have their highest throughput.
constexpr double kThreadsPerCore = 1.85;

bool is_warming_up(const Settings& settings, const Endpoint& endpoint, TimeUs now);

/// Fraction of its capacity that the engine is sure to have, 1 once it is warm. The settings give the start
/// of the curve and its duration alone; half of a straight rise is assumed, which no engine falls short of.
double warmed_capacity_fraction(const Settings& settings, const Endpoint& endpoint, TimeUs now);

/// Threads of queries, of all gateways together, that the engine runs at its highest throughput.
double concurrency_limit_threads(const Settings& settings, const Engine& engine, TimeUs now);

/// Cores of the endpoint's engine type, or a default where the settings don't know the type.
double core_count(const Settings& settings, const Endpoint& endpoint);

}  // namespace sablelink
