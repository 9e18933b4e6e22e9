#include "anvilmill/scheduling/capacityreportintervals.h"

#include <algorithm>

namespace anvilmill {

namespace {

/// Heartbeats between reports to hosts without waiting jobs; for far hosts a report is also a
/// heartbeat.
constexpr std::size_t NormalReportHeartbeats = 4;
/// Maximum number of far hosts whose reports arrive in one heartbeat, without and with waiting
/// jobs. At 27 executors each, 3,600 reports in 250 ms take 1% of a core.
constexpr std::size_t FarReportsPerHeartbeat = 12;
constexpr std::size_t FarReportsPerHeartbeatWaiting = 48;
/// Reports are stale after two and a half intervals, or after three missed reports where one is
/// sent in each heartbeat.
constexpr double StaleReportIntervals = 2.5;
constexpr double StaleHeartbeats = 3.6;

/// A frame per millisecond takes a twentieth of a core.
constexpr Duration ChangeReportIntervalPerHost = std::chrono::milliseconds(1);
/// Several changes of one burst of starts share a frame.
constexpr Duration MinChangeReportInterval = std::chrono::milliseconds(5);
constexpr Duration MaxChangeReportInterval = std::chrono::milliseconds(25);

std::size_t heartbeatsFor(std::size_t hosts, std::size_t hostsPerHeartbeat)
{
    return (hosts + hostsPerHeartbeat - 1) / hostsPerHeartbeat;
}

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

bool CapacityReportIntervals::isDue(std::size_t heartbeat, bool isNear,
                                    bool isWaiting) const noexcept
{
    if (isNear)
        return heartbeat % (isWaiting ? nearWaiting : near) == 0;
    return heartbeat % (isWaiting ? farWaiting : far) == 0;
}

Duration changeReportInterval(std::size_t nearHosts) noexcept
{
    const auto hosts = static_cast<Duration::rep>(nearHosts);
    return std::clamp<Duration>(ChangeReportIntervalPerHost * hosts, MinChangeReportInterval,
                                MaxChangeReportInterval);
}

CapacityReportIntervals capacityReportIntervals(std::size_t farDispatchers, bool isSmallFleet,
                                                Duration heartbeat) noexcept
{
    CapacityReportIntervals intervals;
    if (isSmallFleet) {
        intervals.nearStaleAfter = intervals.farStaleAfter = scaled(heartbeat, StaleHeartbeats);
        return intervals;
    }
    intervals.near = NormalReportHeartbeats;
    intervals.farWaiting =
            std::max<std::size_t>(1, heartbeatsFor(farDispatchers, FarReportsPerHeartbeatWaiting));
    // A multiple of the normal interval, at which far hosts receive a heartbeat anyway.
    intervals.far = NormalReportHeartbeats
                    * std::max<std::size_t>(
                            1, heartbeatsFor(farDispatchers,
                                             FarReportsPerHeartbeat * NormalReportHeartbeats));
    intervals.nearStaleAfter = scaled(heartbeat * NormalReportHeartbeats, StaleReportIntervals);
    intervals.farStaleAfter = scaled(heartbeat * intervals.far, StaleReportIntervals);
    return intervals;
}

} // namespace anvilmill
