#include "anvilmill/executor/pausewatch.h"

namespace anvilmill {

PauseWatch::PauseWatch(Duration longestIteration, Duration quietPeriod) noexcept
    : m_longestIteration(longestIteration)
    , m_quietPeriod(quietPeriod)
{
}

void PauseWatch::turn(Duration sinceBoot) noexcept
{
    if (!m_isFirst && sinceBoot - m_last > m_longestIteration)
        m_quietPeriodEnd = sinceBoot + m_quietPeriod;
    m_isFirst = false;
    m_last = sinceBoot;
}

} // namespace anvilmill
