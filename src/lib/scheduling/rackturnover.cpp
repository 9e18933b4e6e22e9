#include "anvilmill/scheduling/rackturnover.h"

#include <algorithm>
#include <cmath>

namespace anvilmill {

namespace {

double asSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Less than this share of the smallest task counts as nothing freed: it is what is left of old sums.
constexpr double MinFreedMilliCores = 1.0;

} // namespace

RackTurnover::Rack RackTurnover::updated(Rack rack, MonotonicTime now)
{
    const double memory = asSeconds(Memory);
    const double factor = std::exp(-asSeconds(now - rack.updated) / memory);
    rack.freed *= factor;
    rack.held = rack.held * factor + static_cast<double>(rack.used) * memory * (1.0 - factor);
    rack.updated = now;
    return rack;
}

void RackTurnover::useChanged(const std::string &rack, std::int64_t milliCores)
{
    Rack *const entry = rackFor(rack);
    if (!entry)
        return;
    *entry = updated(*entry, m_clock.now());
    entry->used = std::max<std::int64_t>(0, entry->used + milliCores);
    if (milliCores < 0)
        entry->freed -= static_cast<double>(milliCores);
}

void RackTurnover::removed(const std::string &rack, std::int64_t milliCores)
{
    const auto found = m_racks.find(rack);
    if (found == m_racks.end())
        return;
    Rack &entry = found->second;
    entry = updated(entry, m_clock.now());
    entry.used = std::max<std::int64_t>(0, entry.used - milliCores);
}

RackTurnover::Rack *RackTurnover::rackFor(const std::string &name)
{
    const auto found = m_racks.find(name);
    if (found != m_racks.end())
        return &found->second;
    if (m_racks.size() >= MaxRacks)
        removeIdleRacks();
    if (m_racks.size() >= MaxRacks)
        return nullptr;
    return &m_racks.emplace(name, Rack{m_clock.now(), 0, 0.0, 0.0}).first->second;
}

void RackTurnover::removeIdleRacks()
{
    for (auto rack = m_racks.begin(); rack != m_racks.end();) {
        if (rack->second.used == 0)
            rack = m_racks.erase(rack);
        else
            ++rack;
    }
}

std::optional<Duration> RackTurnover::expectedWait(const std::string &rack,
                                                   std::int64_t milliCores) const
{
    const auto found = m_racks.find(rack);
    if (found == m_racks.end() || found->second.used <= 0)
        return std::nullopt;
    const Rack now = updated(found->second, m_clock.now());
    if (now.freed < MinFreedMilliCores)
        return std::nullopt;
    const double secondsHeld = now.held / now.freed;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            secondsHeld * static_cast<double>(milliCores) / static_cast<double>(now.used)));
}

} // namespace anvilmill
