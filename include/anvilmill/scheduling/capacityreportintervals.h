#pragma once

#include "anvilmill/clock.h"

#include <cstddef>

namespace anvilmill {

/// \brief The heartbeats in which a lease holder reports the free capacity of its executors to
/// dispatchers.
///
/// Load pattern: the dispatchers of hundreds of hosts. Reporting the capacity of three thousand
/// executors to all of them in each heartbeat took half of a dispatcher's processor time.
/// Dispatchers of the same data centre receive changes in order anyway, so a full report only
/// corrects what they missed. The interval for the others grows with their number, so that none
/// receives the reports of more than about fifty hosts in a second. It is shorter while their jobs
/// wait, since that is when they place tasks in other data centres.
struct CapacityReportIntervals
{
    /// Heartbeats from one report to the next, for hosts without and with waiting jobs.
    std::size_t near = 1;
    std::size_t nearWaiting = 1;
    std::size_t far = 1;
    std::size_t farWaiting = 1;
    /// Capacity from older reports is not used.
    Duration nearStaleAfter{};
    Duration farStaleAfter{};

    [[nodiscard]] bool isDue(std::size_t heartbeat, bool isNear, bool isWaiting) const noexcept;
};

/// \brief Returns the intervals with \p farDispatchers in other data centres; in a small fleet all
/// dispatchers count as near.
[[nodiscard]] CapacityReportIntervals
capacityReportIntervals(std::size_t farDispatchers, bool isSmallFleet, Duration heartbeat) noexcept;

/// \brief Returns the interval at which a holder reports changes of free capacity to \p nearHosts.
///
/// Load pattern: most executors are in use, and what becomes free is used within milliseconds. A host
/// that places a task by an older report has its start refused and loses a round trip. Each report
/// costs one frame per host, so the interval grows with their number.
[[nodiscard]] Duration changeReportInterval(std::size_t nearHosts) noexcept;

} // namespace anvilmill
