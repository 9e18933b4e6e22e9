#include "anvilmill/executor/hostlisting.h"

#include <algorithm>
#include <string>
#include <unordered_set>

namespace anvilmill {

HostListing::HostListing(const Clock &clock, Duration settleDelay)
    : m_clock(clock)
    , m_settleDelay(settleDelay)
{
}

void HostListing::setListed(HostMembership membership)
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
    std::unordered_set<std::string> listed;
    for (const PeerHost &host : m_listed.hosts)
        listed.insert(host.name);
    return std::any_of(m_adopted.hosts.begin(), m_adopted.hosts.end(), [&](const PeerHost &host) {
        return !host.isLeaving && listed.count(host.name) == 0;
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
