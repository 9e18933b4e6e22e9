#include "anvilmill/dispatch/longworklimit.h"

#include <algorithm>
#include <cmath>

namespace anvilmill {

namespace {

/// Reserves more than the average of short work, for fluctuations within the window.
constexpr double ShortWorkHeadroom = 1.1;
constexpr double MinLongShare = 0.1;
constexpr double MaxLongShare = 0.8;

double asSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

LongWorkLimit::LongWorkLimit(Duration window) noexcept
    : m_window(window)
{
}

void LongWorkLimit::recordShortWork(Duration work, MonotonicTime now) noexcept
{
    m_workSeconds = shortWorkPerSecond(now) * asSeconds(m_window) + asSeconds(work);
    m_updated = now;
}

int LongWorkLimit::maxLongSlots(MonotonicTime now, int totalSlots, double capacity) const
{
    const bool hasShortWork = m_workSeconds > 0.0;
    if (capacity <= 0.0 || !hasShortWork)
        return totalSlots;
    const double reserved = ShortWorkHeadroom * shortWorkPerSecond(now) / capacity;
    const double share = std::clamp(1.0 - reserved, MinLongShare, MaxLongShare);
    return std::max(1, static_cast<int>(share * totalSlots));
}

double LongWorkLimit::shortWorkPerSecond(MonotonicTime now) const noexcept
{
    const double decay = std::exp(-asSeconds(now - m_updated) / asSeconds(m_window));
    return m_workSeconds * decay / asSeconds(m_window);
}

} // namespace anvilmill
