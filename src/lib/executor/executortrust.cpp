#include "anvilmill/executor/executortrust.h"

#include <algorithm>

namespace anvilmill {

ExecutorTrust::ExecutorTrust(const TrustSettings &settings) noexcept
    : m_settings(settings)
{
}

void ExecutorTrust::succeeded() noexcept
{
    m_failures = 0;
    m_pause = {};
    m_lastFailed.clear();
}

void ExecutorTrust::failed(const std::string &job, MonotonicTime now)
{
    if (job != m_lastFailed)
        ++m_failures;
    m_lastFailed = job;
    if (!isDistrusted())
        return;
    m_pause = std::clamp(m_pause * 2, m_settings.firstPause, m_settings.longestPause);
    m_probeAt = now + m_pause;
}

bool ExecutorTrust::mayStart(std::size_t running, MonotonicTime now) const noexcept
{
    if (m_failures < m_settings.failuresToLimit)
        return true;
    return running == 0 && (!isDistrusted() || now >= m_probeAt);
}

std::optional<MonotonicTime> ExecutorTrust::nextProbe() const noexcept
{
    return isDistrusted() ? std::make_optional(m_probeAt) : std::nullopt;
}

bool ExecutorTrust::isDistrusted() const noexcept
{
    return m_failures >= m_settings.failuresToDistrust;
}

} // namespace anvilmill
