#include "roomforecast.h"

#include "anvilmill/dispatch/retrydelay.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

constexpr Duration MinWait = std::chrono::seconds(1);

} // namespace

RoomForecast::RoomForecast(std::uint64_t seed)
    : m_random(seed)
{
}

void RoomForecast::roomFound(MonotonicTime now)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_lastRoom = std::max(m_lastRoom, now);
}

Duration RoomForecast::retryAfter(MonotonicTime now, std::optional<MonotonicTime> nextDeadline)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const bool hadRoom = m_lastRoom != MonotonicTime::min();
    Duration wait = hadRoom ? now - m_lastRoom : MinWait;
    if (nextDeadline)
        wait = std::min(wait, *nextDeadline - now);
    return retryDelay(std::max(wait, MinWait), m_random);
}

} // namespace anvilmill::daemon
