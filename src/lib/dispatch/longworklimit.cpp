#include "anvilmill/dispatch/longworklimit.h"

#include <algorithm>
#include <cmath>

namespace anvilmill {

namespace {

/// Short work gets this much more than its average, for the swings within the window.
constexpr double ShortHeadroom = 1.1;
constexpr double LeastLongShare = 0.1;
constexpr double MostLongShare = 0.8;

double asSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

LongWorkLimit::LongWorkLimit(Duration window) noexcept
    : m_window(window)
{
}

void LongWorkLimit::addShort(Duration work, MonotonicTime now) noexcept
{
    m_workSeconds = shortWorkPerSecond(now) * asSeconds(m_window) + asSeconds(work);
    m_updated = now;
}

int LongWorkLimit::slotsForLong(MonotonicTime now, int totalSlots, double capacity) const
{
    const bool hasSeenShort = m_workSeconds > 0.0;
    if (capacity <= 0.0 || !hasSeenShort)
        return totalSlots;
    const double reserved = ShortHeadroom * shortWorkPerSecond(now) / capacity;
    const double share = std::clamp(1.0 - reserved, LeastLongShare, MostLongShare);
    return std::max(1, static_cast<int>(share * totalSlots));
}

double LongWorkLimit::shortWorkPerSecond(MonotonicTime now) const noexcept
{
    const double faded = std::exp(-asSeconds(now - m_updated) / asSeconds(m_window));
    return m_workSeconds * faded / asSeconds(m_window);
}

} // namespace anvilmill
