#include "anvilmill/dispatch/executorhealth.h"

#include "anvilmill/randomsource.h"

#include <algorithm>

namespace anvilmill {

namespace {
constexpr int LargestLimit = 1 << 20;
constexpr double Jitter = 0.2;
} // namespace

ExecutorHealth::ExecutorHealth(const HealthSettings &settings) noexcept
    : m_settings(settings)
{
}

void ExecutorHealth::succeeded() noexcept
{
    m_limit = std::min(m_limit * 2, LargestLimit);
    m_failuresInARow = 0;
    m_hasSucceeded = true;
    m_isEjected = false;
    m_probeInterval = {};
}

void ExecutorHealth::outlastedTrialStep() noexcept
{
    if (!m_isEjected && m_failuresInARow == 0)
        m_limit = std::min(m_limit * 2, LargestLimit);
}

bool ExecutorHealth::failed() noexcept
{
    ++m_failuresInARow;
    const int allowed = m_hasSucceeded && !m_isEjected ? m_settings.failuresToEject : 1;
    return m_failuresInARow >= allowed;
}

void ExecutorHealth::eject(MonotonicTime now, RandomSource &random)
{
    const Duration doubled = m_probeInterval * 2;
    m_probeInterval =
            std::clamp(doubled, m_settings.firstProbeAfter, m_settings.longestProbeInterval);
    const double factor = 1.0 + Jitter * random.nextUnit();
    m_probeAt = now + std::chrono::duration_cast<Duration>(m_probeInterval * factor);
    m_limit = 1;
    m_isEjected = true;
}

int ExecutorHealth::startLimit(MonotonicTime now, int slots) const noexcept
{
    if (m_isEjected && now < m_probeAt)
        return 0;
    return std::min(slots, m_limit);
}

} // namespace anvilmill
