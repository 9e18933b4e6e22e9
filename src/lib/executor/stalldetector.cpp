#include "anvilmill/executor/stalldetector.h"

namespace anvilmill {

StallDetector::StallDetector(Duration longestIteration, Duration quietPeriod) noexcept
    : m_longestIteration(longestIteration)
    , m_quietPeriod(quietPeriod)
{
}

void StallDetector::update(Duration sinceBoot) noexcept
{
    if (!m_isFirst && sinceBoot - m_last > m_longestIteration)
        m_quietPeriodEnd = sinceBoot + m_quietPeriod;
    m_isFirst = false;
    m_last = sinceBoot;
}

} // namespace anvilmill
