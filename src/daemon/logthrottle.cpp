#include "logthrottle.h"

#include <utility>

namespace anvilmill::daemon {

std::optional<std::uint64_t> LogThrottle::admit(const std::string &event, MonotonicTime now,
                                                std::size_t linesPerSecond)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const auto [entry, isNew] = m_events.try_emplace(event);
    Event &known = entry->second;
    if (isNew || now - known.second >= std::chrono::seconds(1)) {
        known.second = now;
        known.lines = 0;
    }
    if (known.lines >= linesPerSecond) {
        ++known.omitted;
        ++m_omitted;
        return std::nullopt;
    }
    ++known.lines;
    return std::exchange(known.omitted, 0);
}

std::uint64_t LogThrottle::omitted() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_omitted;
}

} // namespace anvilmill::daemon
