#include "peerliveness.h"

#include <algorithm>

namespace anvilmill::daemon {

namespace {

/// How long a host that is no longer listed stays connected after it was heard last.
constexpr Duration UnlistedKept = std::chrono::seconds(5);
/// How long a listed host that is no neighbour any more stays connected: callers wait less for the
/// jobs that the two had with each other.
constexpr Duration FormerNeighbourKept = std::chrono::seconds(5);
/// As long as a host that tells of itself only each second may be silent.
constexpr Duration RedialPause = std::chrono::milliseconds(2500);

} // namespace

PeerWatch::PeerWatch(const Clock &clock)
    : m_clock(clock)
{
}

void PeerWatch::setListed(const std::vector<PeerHost> &hosts,
                          const std::vector<PeerHost> &neighbours)
{
    for (const PeerHost &host : m_neighbours)
        m_lastNeighbour[host.name] = m_clock.now();
    m_listed = hosts;
    m_neighbours = neighbours;
    for (const PeerHost &host : neighbours) {
        m_known[host.name] = host;
        m_heard.emplace(host.name, m_clock.now());
    }
}

void PeerWatch::assumeHeard(const std::string &host, Duration age)
{
    MonotonicTime &heard = m_heard[host];
    heard = std::max(heard, m_clock.now() - age);
}

MonotonicTime PeerWatch::lastHeard(const std::string &host) const
{
    const auto found = m_heard.find(host);
    return found == m_heard.end() ? MonotonicTime() : found->second;
}

Duration PeerWatch::silence(const std::string &host) const
{
    return m_clock.now() - lastHeard(host);
}

std::vector<PeerHost> PeerWatch::hostsToConnect() const
{
    std::vector<PeerHost> hosts = m_neighbours;
    for (const auto &[name, host] : m_known) {
        const auto isSame = [&known = name](const PeerHost &other) { return other.name == known; };
        if (std::any_of(m_neighbours.begin(), m_neighbours.end(), isSame))
            continue;
        const bool isListed = std::any_of(m_listed.begin(), m_listed.end(), isSame);
        const bool isKept = isListed ? wasNeighbourLately(name) : silence(name) < UnlistedKept;
        if (isKept)
            hosts.push_back(host);
    }
    return hosts;
}

bool PeerWatch::wasNeighbourLately(const std::string &host) const
{
    const auto found = m_lastNeighbour.find(host);
    return found != m_lastNeighbour.end() && m_clock.now() - found->second < FormerNeighbourKept;
}

bool PeerWatch::mayRedial(const std::string &host)
{
    MonotonicTime &next = m_nextRedial[host];
    if (m_clock.now() < next)
        return false;
    next = m_clock.now() + RedialPause;
    return true;
}

} // namespace anvilmill::daemon
