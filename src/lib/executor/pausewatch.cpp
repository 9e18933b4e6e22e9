#include "anvilmill/executor/pausewatch.h"

namespace anvilmill {

PauseWatch::PauseWatch(Duration longestTurn, Duration quiet) noexcept
    : m_longestTurn(longestTurn)
    , m_quiet(quiet)
{
}

void PauseWatch::turn(Duration sinceBoot) noexcept
{
    if (!m_isFirst && sinceBoot - m_last > m_longestTurn)
        m_quietUntil = sinceBoot + m_quiet;
    m_isFirst = false;
    m_last = sinceBoot;
}

} // namespace anvilmill
