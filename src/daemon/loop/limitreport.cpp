#include "limitreport.h"

#include "log.h"

#include <utility>

namespace anvilmill::daemon {

namespace {

constexpr Duration LineInterval = std::chrono::seconds(1);

} // namespace

LimitReport::LimitReport(const Clock &clock, std::string port, Counter counter)
    : m_clock(clock)
    , m_port(std::move(port))
    , m_counter(std::move(counter))
{
}

void LimitReport::reached(const std::string &cause)
{
    if (m_counter)
        m_counter(m_port, cause);
    const MonotonicTime now = m_clock.now();
    const std::lock_guard<std::mutex> guard(m_lock);
    Cause &known = m_causes[cause];
    ++known.count;
    if (now < known.nextLine)
        return;
    known.nextLine = now + LineInterval;
    ++m_lines;
    LogEvent("server.limitReached", LogEvent::Level::Warning)
            .with("port", m_port)
            .with("cause", cause)
            .with("connections", known.count - known.logged)
            .with("total", known.count);
    known.logged = known.count;
}

std::uint64_t LimitReport::countOf(const std::string &cause) const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto found = m_causes.find(cause);
    return found == m_causes.end() ? 0 : found->second.count;
}

std::map<std::string, std::uint64_t> LimitReport::counts() const
{
    std::map<std::string, std::uint64_t> counts;
    const std::lock_guard<std::mutex> guard(m_lock);
    for (const auto &[name, cause] : m_causes)
        counts[name] = cause.count;
    return counts;
}

std::uint64_t LimitReport::lines() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_lines;
}

} // namespace anvilmill::daemon
