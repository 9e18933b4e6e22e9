#pragma once

#include "anvilmill/clock.h"

#include <cstddef>

namespace anvilmill {

/// \brief In which of its heartbeats a holder tells other dispatchers all the room that it holds.
///
/// Load pattern: dispatchers of hundreds of hosts. Told to all in each heartbeat, the room of three
/// thousand executors took half of a dispatcher's processor time. Dispatchers of the data centre
/// hear of changes anyhow, in order, so all room only mends what they missed. The others hear it the less
/// often the more they are, so that none hears more than some fifty hosts' in a second; sooner while
/// jobs of theirs wait, which is when they place in other data centres.
struct CapacityReportIntervals
{
    /// Heartbeats from one telling to the next.
    std::size_t near = 1;
    std::size_t nearWaiting = 1;
    std::size_t far = 1;
    std::size_t farWaiting = 1;
    /// Room that was told longer ago is not counted on.
    Duration nearStaleAfter{};
    Duration farStaleAfter{};

    [[nodiscard]] bool isDue(std::size_t heartbeat, bool isNear, bool isWaiting) const noexcept;
};

/// \brief The pace beside \p farDispatchers in other data centres; in a small fleet all count as near.
[[nodiscard]] CapacityReportIntervals
capacityReportIntervals(std::size_t farDispatchers, bool isSmallFleet, Duration heartbeat) noexcept;

} // namespace anvilmill
