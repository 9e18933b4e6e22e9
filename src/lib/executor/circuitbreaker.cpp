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
    m_backoff = {};
    m_lastFailed.clear();
}

void CircuitBreaker::failed(const std::string &job, MonotonicTime now)
{
    if (job != m_lastFailed)
        ++m_failures;
    m_lastFailed = job;
    if (!isOpen())
        return;
    m_backoff = std::clamp(m_backoff * 2, m_settings.firstBackoff, m_settings.longestBackoff);
    m_probeAt = now + m_backoff;
}

bool CircuitBreaker::mayStart(std::size_t running, MonotonicTime now) const noexcept
{
    if (m_failures < m_settings.failuresToLimit)
        return true;
    return running == 0 && (!isOpen() || now >= m_probeAt);
}

std::optional<MonotonicTime> CircuitBreaker::nextProbe() const noexcept
{
    return isOpen() ? std::make_optional(m_probeAt) : std::nullopt;
}

bool CircuitBreaker::isOpen() const noexcept
{
    return m_failures >= m_settings.failuresToOpen;
}

} // namespace anvilmill
