#include "anvilmill/dispatch/executorhealth.h"

#include "anvilmill/randomsource.h"

#include <algorithm>

namespace anvilmill {

namespace {
constexpr int MaxStartLimit = 1 << 20;
constexpr double ProbeJitter = 0.2;
} // namespace

ExecutorHealth::ExecutorHealth(const HealthSettings &settings) noexcept
    : m_settings(settings)
{
}

void ExecutorHealth::recordSuccess() noexcept
{
    m_startLimit = std::min(m_startLimit * 2, MaxStartLimit);
    m_consecutiveFailures = 0;
    m_hasSucceeded = true;
    m_isEjected = false;
    m_probeInterval = {};
}

void ExecutorHealth::recordSlowStartStep() noexcept
{
    if (!m_isEjected && m_consecutiveFailures == 0)
        m_startLimit = std::min(m_startLimit * 2, MaxStartLimit);
}

bool ExecutorHealth::recordFailure() noexcept
{
    ++m_consecutiveFailures;
    const int allowed = m_hasSucceeded && !m_isEjected ? m_settings.failuresToEject : 1;
    return m_consecutiveFailures >= allowed;
}

void ExecutorHealth::eject(MonotonicTime now, RandomSource &random)
{
    const Duration doubled = m_probeInterval * 2;
    m_probeInterval =
            std::clamp(doubled, m_settings.initialProbeInterval, m_settings.maxProbeInterval);
    const double factor = 1.0 + ProbeJitter * random.nextUnit();
    m_probeAt = now + std::chrono::duration_cast<Duration>(m_probeInterval * factor);
    m_startLimit = 1;
    m_isEjected = true;
}

int ExecutorHealth::startLimit(MonotonicTime now, int slots) const noexcept
{
    if (m_isEjected && now < m_probeAt)
        return 0;
    return std::min(slots, m_startLimit);
}

} // namespace anvilmill
