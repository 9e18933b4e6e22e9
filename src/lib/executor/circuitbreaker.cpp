#include "anvilmill/executor/circuitbreaker.h"

#include <algorithm>

namespace anvilmill {

CircuitBreaker::CircuitBreaker(const CircuitBreakerSettings &settings) noexcept
    : m_settings(settings)
{
}

void CircuitBreaker::succeeded() noexcept
{
    m_failures = 0;
    m_pause = {};
    m_lastFailed.clear();
}

void CircuitBreaker::failed(const std::string &job, MonotonicTime now)
{
    if (job != m_lastFailed)
        ++m_failures;
    m_lastFailed = job;
    if (!isDistrusted())
        return;
    m_pause = std::clamp(m_pause * 2, m_settings.firstPause, m_settings.longestPause);
    m_probeAt = now + m_pause;
}

bool CircuitBreaker::mayStart(std::size_t running, MonotonicTime now) const noexcept
{
    if (m_failures < m_settings.failuresToLimit)
        return true;
    return running == 0 && (!isDistrusted() || now >= m_probeAt);
}

std::optional<MonotonicTime> CircuitBreaker::nextProbe() const noexcept
{
    return isDistrusted() ? std::make_optional(m_probeAt) : std::nullopt;
}

bool CircuitBreaker::isDistrusted() const noexcept
{
    return m_failures >= m_settings.failuresToDistrust;
}

} // namespace anvilmill
