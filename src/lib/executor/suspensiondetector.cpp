#include "anvilmill/executor/suspensiondetector.h"

namespace anvilmill {

SuspensionDetector::SuspensionDetector(Duration tolerance) noexcept
    : m_tolerance(tolerance)
{
}

bool SuspensionDetector::wasSuspended(MonotonicTime steady, Duration sinceBoot) noexcept
{
    const Duration offset = sinceBoot - steady.time_since_epoch();
    const bool hasJumped = !m_isFirst && offset - m_offset > m_tolerance;
    if (m_isFirst || hasJumped)
        m_offset = offset;
    m_isFirst = false;
    return hasJumped;
}

} // namespace anvilmill
