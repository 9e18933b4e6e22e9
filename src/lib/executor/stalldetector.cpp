#include "anvilmill/executor/stalldetector.h"

namespace anvilmill {

StallDetector::StallDetector(Duration longestTurn, Duration quiet) noexcept
    : m_longestTurn(longestTurn)
    , m_quiet(quiet)
{
}

void StallDetector::turn(Duration sinceBoot) noexcept
{
    if (!m_isFirst && sinceBoot - m_last > m_longestTurn)
        m_quietUntil = sinceBoot + m_quiet;
    m_isFirst = false;
    m_last = sinceBoot;
}

} // namespace anvilmill
