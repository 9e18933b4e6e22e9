#pragma once

#include "anvilmill/executor/feedplan.h"
#include "anvilmill/executor/holderassignment.h"

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace anvilmill {

/// \brief The entry hosts that one host connects and reports to, under the membership that it
/// adopted.
///
/// Load pattern: with hundreds of hosts, a connection and a heartbeat between each pair would use
/// most of the processor of a weak host. Dispatchers are connected to each other and to the hosts
/// of their data centre; a host that is no dispatcher is connected to the dispatchers of its data
/// centre.
///
/// Thread safety: one thread at a time.
class PeerTopology
{
public:
    PeerTopology(std::string self, std::string dataCentre);

    void adopt(const HostMembership &membership);

    /// \brief Sets the connected hosts, of which some may no longer be listed.
    ///
    /// Load pattern: a host that is cut off from the store is soon listed no longer, and others take
    /// over its executors. Its clients still reach it, so it goes on placing tasks, all of them on
    /// executors of other hosts. It is a near peer, and a near dispatcher if it was a dispatcher.
    void setConnected(const std::vector<PeerHost> &hosts);

    [[nodiscard]] const HolderAssignment &assignment() const noexcept { return m_assignment; }

    /// \brief True if this host schedules jobs and holds executors.
    [[nodiscard]] bool isDispatcher() const noexcept { return m_isDispatcher; }

    /// \brief The hosts to connect to.
    [[nodiscard]] const std::vector<PeerHost> &neighbours() const noexcept { return m_neighbours; }

    /// \brief Connected hosts that receive each heartbeat of this host: all in a small fleet, else
    /// those of its data centre.
    [[nodiscard]] const std::vector<std::string> &nearPeers() const noexcept { return m_nearPeers; }

    [[nodiscard]] bool isNearPeer(const std::string &host) const;

    /// \brief Hosts that receive changes of free capacity immediately: those of nearPeers() that
    /// place tasks. None if this host isn't a dispatcher.
    [[nodiscard]] const std::vector<std::string> &nearDispatchers() const noexcept
    {
        return m_nearDispatchers;
    }

    /// \brief How this host receives the executors' entries.
    [[nodiscard]] const FeedPlan &feedPlan() const noexcept { return m_feedPlan; }

    /// \brief True while there are so few dispatchers that all receive changes of free capacity
    /// immediately.
    [[nodiscard]] bool isSmall() const noexcept { return m_isSmall; }

    /// \brief False for listed hosts that place no tasks. True for a host that is no longer listed,
    /// since it may still place tasks.
    [[nodiscard]] bool needsCapacityReports(const std::string &host) const;

private:
    [[nodiscard]] bool isNeighbour(const PeerHost &host) const;
    void addNearPeer(const PeerHost &host);

    std::string m_self;
    std::string m_dataCentre;
    /// All listed hosts, and whether each is leaving.
    std::unordered_map<std::string, bool> m_listed;
    /// Hosts that were dispatchers when they were listed last.
    std::unordered_set<std::string> m_lastDispatchers;
    HolderAssignment m_assignment;
    FeedPlan m_feedPlan;
    std::vector<PeerHost> m_neighbours;
    std::vector<std::string> m_nearPeers;
    std::vector<std::string> m_nearDispatchers;
    bool m_isDispatcher = false;
    bool m_isSmall = true;
};

} // namespace anvilmill
