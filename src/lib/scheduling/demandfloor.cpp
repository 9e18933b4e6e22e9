#include "anvilmill/scheduling/demandfloor.h"

#include <algorithm>

namespace anvilmill {

void DemandFloor::record(std::int64_t milliCores)
{
    const MonotonicTime now = m_clock.now();
    if (now - m_started >= Period)
        startPeriod(now);
    m_current = std::min(m_current.value_or(milliCores), milliCores);
}

void DemandFloor::startPeriod(MonotonicTime now)
{
    const bool isPreviousRecent = now - m_started < 2 * Period;
    m_previous = isPreviousRecent ? m_current : std::nullopt;
    m_current.reset();
    m_started = now;
}

bool DemandFloor::isUsable(std::int64_t milliCores) const
{
    if (milliCores <= 0)
        return false;
    const Duration age = m_clock.now() - m_started;
    if (age >= 2 * Period || (!m_current && !m_previous))
        return true;
    const std::int64_t floor = std::min(m_current.value_or(m_previous.value_or(0)),
                                        m_previous.value_or(m_current.value_or(0)));
    return milliCores >= floor;
}

} // namespace anvilmill
