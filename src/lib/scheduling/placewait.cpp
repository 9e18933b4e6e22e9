#include "anvilmill/scheduling/placewait.h"

#include <algorithm>

namespace anvilmill {

namespace {

constexpr Duration NoWait{};

/// \p wait if the rack is expected to have room within it.
Duration ifExpectedWithin(const PlaceChoice &choice, Duration wait)
{
    return choice.expectedWait && *choice.expectedWait <= wait ? std::max(wait, NoWait) : NoWait;
}

/// For a task that is in time if it starts elsewhere now.
Duration longestWaitInTime(const PlaceChoice &choice, Duration saved)
{
    const Duration spare = choice.untilTarget - choice.remoteRunTime();
    return ifExpectedWithin(choice, std::min(saved, spare));
}

/// For a task that is late wherever it starts.
Duration longestWaitWhenLate(const PlaceChoice &choice, Duration saved)
{
    const Duration spare = choice.untilUseless - choice.remoteRunTime();
    if (spare < NoWait)
        return ifExpectedWithin(choice, choice.untilUseless - choice.nearRunTime);
    return ifExpectedWithin(choice, std::min(saved, spare));
}

} // namespace

Duration PlaceChoice::remoteRunTime() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(nearRunTime)
                                                * slowdown);
}

Duration PlaceWait::longestWait(const PlaceChoice &choice)
{
    const Duration saved = choice.remoteRunTime() - choice.nearRunTime;
    if (saved <= NoWait)
        return NoWait;
    const Duration untilLate = choice.untilTarget - choice.nearRunTime;
    const bool isInTimeNear = choice.expectedWait && *choice.expectedWait <= untilLate;
    if (choice.isInTimeElsewhere() && !isInTimeNear)
        return NoWait;
    if (choice.freeShare < ReservedShare * (choice.slowdown - 1.0))
        return std::max(choice.untilUseless - choice.nearRunTime, NoWait);
    if (choice.isInTimeElsewhere())
        return longestWaitInTime(choice, saved);
    const bool isUnknown = !choice.expectedWait;
    if (untilLate > NoWait && (isInTimeNear || isUnknown))
        return untilLate;
    return longestWaitWhenLate(choice, saved);
}

} // namespace anvilmill
