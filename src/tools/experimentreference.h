#pragma once

#include "experimentworkload.h"

#include <vector>

namespace anvilmill::tools {

/// \brief Response times under a clairvoyant scheduler, in the order of the workload's jobs.
///
/// The scheduler has exact run times and speeds, controls all slots and has no message latency.
/// Whenever a job arrives or a slot becomes free, it starts tasks of the job with the least work
/// not yet started, the longest task of a job first, each on the fastest free slot. It doesn't
/// preempt, and it doesn't use failing executors.
[[nodiscard]] std::vector<Duration> referenceResponses(const Workload &workload);

/// \brief Lower bound of each job's response time: its longest task on the fastest executor or its
/// total work divided by the capacity of all slots, whichever is larger.
[[nodiscard]] std::vector<Duration> lowerBounds(const Workload &workload);

} // namespace anvilmill::tools
