#include "anvilmill/scheduling/capacityreportintervals.h"

#include <algorithm>

namespace anvilmill {

namespace {

/// Heartbeats between tellings to calm hosts; each telling is also a sign of life to far ones.
constexpr std::size_t CalmHeartbeats = 4;
/// Far hosts whose room is heard in one heartbeat at most: while calm and while jobs wait. At 27
/// executors each, 3,600 reports in 250 ms take 1% of a core.
constexpr std::size_t FarEachHeartbeat = 12;
constexpr std::size_t FarEachHeartbeatWaiting = 48;
/// Two tellings and a half were missed, or three where there is one in each heartbeat.
constexpr double MissedTellings = 2.5;
constexpr double MissedHeartbeats = 3.6;

std::size_t heartbeatsFor(std::size_t hosts, std::size_t eachHeartbeat)
{
    return (hosts + eachHeartbeat - 1) / eachHeartbeat;
}

Duration times(Duration duration, double factor)
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

CapacityReportIntervals capacityReportIntervals(std::size_t farDispatchers, bool isSmallFleet,
                                                Duration heartbeat) noexcept
{
    CapacityReportIntervals pace;
    if (isSmallFleet) {
        pace.nearStaleAfter = pace.farStaleAfter = times(heartbeat, MissedHeartbeats);
        return pace;
    }
    pace.near = CalmHeartbeats;
    pace.farWaiting =
            std::max<std::size_t>(1, heartbeatsFor(farDispatchers, FarEachHeartbeatWaiting));
    // Whole rounds of the calm heartbeats, in which far hosts hear of this one anyway.
    pace.far = CalmHeartbeats
               * std::max<std::size_t>(
                       1, heartbeatsFor(farDispatchers, FarEachHeartbeat * CalmHeartbeats));
    pace.nearStaleAfter = times(heartbeat * CalmHeartbeats, MissedTellings);
    pace.farStaleAfter = times(heartbeat * pace.far, MissedTellings);
    return pace;
}

} // namespace anvilmill
