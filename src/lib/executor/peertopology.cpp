#include "anvilmill/executor/peertopology.h"

#include <algorithm>

namespace anvilmill {

namespace {

/// Largest number of other dispatchers up to which all receive changes of free capacity
/// immediately, regardless of their data centre. Each change costs one frame per receiver.
constexpr std::size_t MaxNearDispatchers = 8;

} // namespace

PeerTopology::PeerTopology(std::string self, std::string dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
}

void PeerTopology::adopt(const HostMembership &membership)
{
    m_listed.clear();
    for (const PeerHost &host : membership.hosts)
        m_listed[host.name] = host.isLeaving;
    m_assignment = HolderAssignment(membership);
    for (const PeerHost &host : membership.hosts) {
        if (m_assignment.isDispatcher(host.name))
            m_lastDispatchers.insert(host.name);
        else if (!host.isLeaving)
            m_lastDispatchers.erase(host.name);
    }
    m_isDispatcher = m_assignment.isDispatcher(m_self);
    m_isSmall = m_assignment.allDispatchers().size() <= MaxNearDispatchers + 1;
    m_feedPlan = feedPlanOf(m_assignment, m_self, m_dataCentre, m_isSmall);
    m_neighbours.clear();
    for (const PeerHost &host : membership.hosts) {
        if (host.name == m_self || !isNeighbour(host))
            continue;
        m_neighbours.push_back(host);
    }
    setConnected({});
}

void PeerTopology::setConnected(const std::vector<PeerHost> &hosts)
{
    m_nearPeers.clear();
    m_nearDispatchers.clear();
    for (const PeerHost &host : m_neighbours)
        addNearPeer(host);
    for (const PeerHost &host : hosts) {
        if (host.name != m_self && m_listed.count(host.name) == 0)
            addNearPeer(host);
    }
}

void PeerTopology::addNearPeer(const PeerHost &host)
{
    if (!m_isSmall && host.dataCentre != m_dataCentre)
        return;
    m_nearPeers.push_back(host.name);
    const bool placesTasks = m_listed.count(host.name) > 0 ? needsCapacityReports(host.name)
                                                           : m_lastDispatchers.count(host.name) > 0;
    if (m_isDispatcher && placesTasks)
        m_nearDispatchers.push_back(host.name);
}

// A leaving host may still have jobs and runs with any dispatcher.
bool PeerTopology::isNeighbour(const PeerHost &host) const
{
    const bool isLocal = host.dataCentre == m_dataCentre;
    if (m_isDispatcher)
        return isLocal || host.isLeaving || m_assignment.isDispatcher(host.name);
    return isLocal && (host.isLeaving || m_assignment.isDispatcher(host.name));
}

bool PeerTopology::isNearPeer(const std::string &host) const
{
    return std::find(m_nearPeers.begin(), m_nearPeers.end(), host) != m_nearPeers.end();
}

bool PeerTopology::needsCapacityReports(const std::string &host) const
{
    const auto listed = m_listed.find(host);
    return listed == m_listed.end() || listed->second || m_assignment.isDispatcher(host);
}

} // namespace anvilmill
