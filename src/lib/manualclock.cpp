#include "anvilmill/manualclock.h"

namespace anvilmill {

namespace {
// Long after the epoch, so that subtracting a retention period does not give a negative time.
constexpr Duration WallStart = std::chrono::hours(24 * 365 * 50);
} // namespace

MonotonicTime ManualClock::now() const
{
    return MonotonicTime(Duration(m_monotonic.load()));
}

WallTime ManualClock::wallNow() const
{
    return WallTime(WallStart + Duration(m_monotonic.load() + m_wallOffset.load()));
}

void ManualClock::advance(Duration step)
{
    m_monotonic += step.count();
}

void ManualClock::shiftWall(Duration step)
{
    m_wallOffset += step.count();
}

Duration ManualClock::sinceBoot() const
{
    return Duration(m_monotonic + m_suspended);
}

void ManualClock::suspend(Duration step)
{
    m_suspended += step.count();
    m_wallOffset += step.count();
}

} // namespace anvilmill
