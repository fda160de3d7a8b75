// How much work an engine can run concurrently, also during its slow start.
#pragma once

#include "workload/events.h"
#include "workload/settings.h"
#include "workload/types.h"

namespace sablelink {

struct Engine;

/// Number of query threads per core at which engines reach their highest throughput.
constexpr double kThreadsPerCore = 1.85;

bool is_warming_up(const Settings& settings, const Endpoint& endpoint, TimeUs now);

/// Lower bound of the fraction of its capacity that the engine has; 1 after its slow start. The settings give
/// only the start of the curve and its duration. This assumes half the slope of a straight line, which no
/// engine falls short of.
double warmed_capacity_fraction(const Settings& settings, const Endpoint& endpoint, TimeUs now);

/// Number of query threads, of all gateways together, at which the engine reaches its highest throughput.
double concurrency_limit_threads(const Settings& settings, const Engine& engine, TimeUs now);

/// Number of cores of the endpoint's engine type, or a default for a type that the settings don't list.
double core_count(const Settings& settings, const Endpoint& endpoint);

}  // namespace sablelink
