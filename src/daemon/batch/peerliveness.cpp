#include "peerliveness.h"

#include "anvilmill/executor/livenesstimeouts.h"

#include <algorithm>
#include <utility>

namespace anvilmill::daemon {

namespace {

/// How long a host that is no longer listed stays connected after its last message.
constexpr Duration UnlistedRetention = std::chrono::seconds(5);
/// How long a listed host that is no longer a neighbour stays connected. Callers wait less than
/// that for jobs and runs that the two hosts share.
constexpr Duration FormerNeighbourRetention = std::chrono::seconds(5);
constexpr Duration RedialInterval = LivenessTimeouts::RareSilentAfter;

} // namespace

PeerLiveness::PeerLiveness(const Clock &clock)
    : m_clock(clock)
{
}

void PeerLiveness::setListed(const std::vector<PeerHost> &hosts,
                             const std::vector<PeerHost> &neighbours)
{
    for (const PeerHost &host : m_neighbours)
        m_lastNeighbour[host.name] = m_clock.sinceBoot();
    m_listed = hosts;
    m_neighbours = neighbours;
    for (const PeerHost &host : neighbours) {
        m_everNeighbours[host.name] = host;
        m_lastReceived.emplace(host.name, m_clock.sinceBoot());
    }
}

void PeerLiveness::messageReceived(const std::string &host, Duration age)
{
    Duration &last = m_lastReceived[host];
    last = std::max(last, m_clock.sinceBoot() - age);
    m_silent.erase(host);
}

void PeerLiveness::setSharing(const std::set<std::string> &hosts)
{
    std::map<std::string, Duration> since;
    for (const std::string &host : hosts) {
        const auto known = m_sharingSince.find(host);
        since.emplace(host, known == m_sharingSince.end() ? m_clock.sinceBoot() : known->second);
    }
    m_sharingSince = std::move(since);
}

Duration PeerLiveness::silence(const std::string &host) const
{
    const auto found = m_lastReceived.find(host);
    return found == m_lastReceived.end() ? Duration::max() : m_clock.sinceBoot() - found->second;
}

Duration PeerLiveness::overdue(const std::string &host) const
{
    const auto sharing = m_sharingSince.find(host);
    const Duration silent = silence(host);
    return sharing == m_sharingSince.end()
                   ? silent
                   : std::min(silent, m_clock.sinceBoot() - sharing->second);
}

std::vector<std::string> PeerLiveness::takeNewlySilent(Duration limit)
{
    const Duration now = m_clock.sinceBoot();
    std::vector<std::string> hosts;
    for (const auto &[host, received] : m_lastReceived) {
        if (now - received >= limit && m_silent.insert(host).second)
            hosts.push_back(host);
    }
    return hosts;
}

std::vector<PeerHost> PeerLiveness::hostsToConnect() const
{
    std::vector<PeerHost> hosts = m_neighbours;
    for (const auto &[name, host] : m_everNeighbours) {
        const auto isSame = [&own = name](const PeerHost &other) { return other.name == own; };
        if (std::any_of(m_neighbours.begin(), m_neighbours.end(), isSame))
            continue;
        const bool isListed = std::any_of(m_listed.begin(), m_listed.end(), isSame);
        const bool isKept = isListed ? wasRecentNeighbour(name) : silence(name) < UnlistedRetention;
        if (isKept)
            hosts.push_back(host);
    }
    return hosts;
}

bool PeerLiveness::wasRecentNeighbour(const std::string &host) const
{
    const auto found = m_lastNeighbour.find(host);
    return found != m_lastNeighbour.end()
           && m_clock.sinceBoot() - found->second < FormerNeighbourRetention;
}

bool PeerLiveness::mayRedial(const std::string &host)
{
    Duration &next = m_nextRedial[host];
    if (m_clock.sinceBoot() < next)
        return false;
    next = m_clock.sinceBoot() + RedialInterval;
    return true;
}

} // namespace anvilmill::daemon
