#include "anvilmill/executor/hostlisting.h"

#include <algorithm>

namespace anvilmill {

HostListing::HostListing(const Clock &clock, Duration settleDelay)
    : m_clock(clock)
    , m_settleDelay(settleDelay)
{
}

void HostListing::listed(HostMembership membership)
{
    m_listed = std::move(membership);
    const MonotonicTime now = m_clock.now();
    if (!isHostMissing())
        m_due = now;
    else if (!m_due)
        m_due = now + m_settleDelay;
}

bool HostListing::isHostMissing() const
{
    return std::any_of(m_adopted.hosts.begin(), m_adopted.hosts.end(), [&](const PeerHost &host) {
        const auto isSame = [&](const PeerHost &other) { return other.name == host.name; };
        return !host.isLeaving
               && std::none_of(m_listed.hosts.begin(), m_listed.hosts.end(), isSame);
    });
}

std::optional<HostMembership> HostListing::takeDue()
{
    if (!m_due || m_clock.now() < *m_due)
        return std::nullopt;
    m_due.reset();
    m_adopted = m_listed;
    return m_adopted;
}

} // namespace anvilmill
