#pragma once

#include "anvilmill/executor/feedplan.h"
#include "anvilmill/executor/holderassignment.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace anvilmill {

/// \brief Which other entry hosts one host has to do with, under the membership that it adopted.
///
/// Load pattern: with hundreds of hosts, a connection and a heartbeat between each two would take
/// most of a weak host's processor. Dispatchers are connected to each other and to the hosts of
/// their data centre; a host that dispatches nothing is connected to its data centre's dispatchers.
///
/// Thread safety: one thread at a time.
class PeerTopology
{
public:
    PeerTopology(std::string self, std::string dataCentre);

    void adopt(const HostMembership &membership);

    [[nodiscard]] const HolderAssignment &assignment() const noexcept { return m_assignment; }

    /// \brief True if this host schedules jobs and holds executors.
    [[nodiscard]] bool isDispatcher() const noexcept { return m_isDispatcher; }

    /// \brief The hosts to be connected to.
    [[nodiscard]] const std::vector<PeerHost> &neighbours() const noexcept { return m_neighbours; }

    /// \brief Neighbours that hear of this host each heartbeat: those of its data centre.
    [[nodiscard]] const std::vector<std::string> &dataCentrePeers() const noexcept
    {
        return m_dataCentrePeers;
    }

    [[nodiscard]] bool isDataCentrePeer(const std::string &host) const;

    /// \brief Dispatchers that hear of room as it changes: all while they are few, else those of the
    /// own data centre. None if this host holds no executors.
    [[nodiscard]] const std::vector<std::string> &nearDispatchers() const noexcept
    {
        return m_nearDispatchers;
    }

    /// \brief How this host gets to know the executors' entries.
    [[nodiscard]] const FeedPlan &feedPlan() const noexcept { return m_feedPlan; }

    /// \brief True while all dispatchers hear of room as it changes.
    [[nodiscard]] bool isSmall() const noexcept { return m_isSmall; }

    /// \brief False for listed hosts that place no tasks. A host that is no longer listed may.
    [[nodiscard]] bool needsCapacityReports(const std::string &host) const;

private:
    [[nodiscard]] bool isNeighbour(const PeerHost &host) const;

    std::string m_self;
    std::string m_dataCentre;
    /// All hosts that are listed, and whether they are leaving.
    std::unordered_map<std::string, bool> m_listed;
    HolderAssignment m_assignment;
    FeedPlan m_feedPlan;
    std::vector<PeerHost> m_neighbours;
    std::vector<std::string> m_dataCentrePeers;
    std::vector<std::string> m_nearDispatchers;
    bool m_isDispatcher = false;
    bool m_isSmall = true;
};

} // namespace anvilmill
