#include "anvilmill/configuration/entryhostdrain.h"

#include <algorithm>

namespace anvilmill {

EntryHostDrain::EntryHostDrain(const Clock &clock, const EntryHostDrainOptions &options) noexcept
    : m_clock(clock)
    , m_options(options)
{
}

void EntryHostDrain::begin(Duration grace)
{
    const MonotonicTime now = m_clock.now();
    if (m_phase != Phase::Serving) {
        m_endsAt = std::min(m_endsAt, now + grace);
        return;
    }
    m_phase = Phase::NotReady;
    m_endsAt = now + grace;
    // Reserves at least half of a short grace period for the requests in flight.
    m_closingAt = now + std::min(m_options.readinessDelay, grace / 2);
}

void EntryHostDrain::cancel() noexcept
{
    if (m_phase != Phase::Done)
        m_phase = Phase::Serving;
}

void EntryHostDrain::update(std::size_t requestsInFlight, std::size_t openConnections)
{
    const MonotonicTime now = m_clock.now();
    if (m_phase == Phase::NotReady && now >= m_closingAt)
        m_phase = Phase::Closing;
    if (m_phase != Phase::Closing)
        return;
    const bool isEmpty = requestsInFlight == 0 && openConnections == 0;
    if (!isEmpty && now < m_endsAt)
        return;
    m_requestsAborted = requestsInFlight;
    m_phase = Phase::Done;
}

bool EntryHostDrain::acceptsConnections() const noexcept
{
    return m_phase == Phase::Serving || m_phase == Phase::NotReady;
}

bool EntryHostDrain::mayCloseIdle(MonotonicTime idleSince) const
{
    return m_phase == Phase::Closing && m_clock.now() >= idleSince + m_options.idleTimeout;
}

std::string_view asString(EntryHostDrain::Phase phase) noexcept
{
    switch (phase) {
    case EntryHostDrain::Phase::Serving:
        return "serving";
    case EntryHostDrain::Phase::NotReady:
        return "notReady";
    case EntryHostDrain::Phase::Closing:
        return "closing";
    case EntryHostDrain::Phase::Done:
        return "done";
    }
    return "";
}

} // namespace anvilmill
