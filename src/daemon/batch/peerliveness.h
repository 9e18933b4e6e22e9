#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/holderassignment.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Times at which each entry host sent its last message, and the hosts to stay connected to.
///
/// All times are of the boot clock: a host may have been lost while this machine was suspended.
///
/// Thread safety: one thread at a time.
class PeerLiveness
{
public:
    /// Precondition: \p clock outlives the object.
    explicit PeerLiveness(const Clock &clock);

    /// \brief Sets the listed hosts, and those of them to stay connected to.
    ///
    /// A message from each new neighbour counts as received now.
    void setListed(const std::vector<PeerHost> &hosts, const std::vector<PeerHost> &neighbours);

    [[nodiscard]] const std::vector<PeerHost> &neighbours() const noexcept { return m_neighbours; }

    /// \brief Records that a message from \p host was received that was sent \p age ago.
    void messageReceived(const std::string &host, Duration age);

    /// \brief Sets the hosts that send frequent heartbeats to this one from now on, since they share
    /// runs or jobs with it.
    void setSharing(const std::set<std::string> &hosts);

    /// \brief Time since the last message from \p host; very long if there was none.
    [[nodiscard]] Duration silence(const std::string &host) const;

    /// \brief The hosts whose silence has reached \p limit since the last call.
    [[nodiscard]] std::vector<std::string> takeNewlySilent(Duration limit);

    /// \brief Time since the last message from \p host, or since it became one of the sharing hosts if
    /// that was later: before, its heartbeats were rare.
    [[nodiscard]] Duration overdue(const std::string &host) const;

    /// \brief The neighbours, recent former neighbours, and hosts that are no longer listed but
    /// still send messages: these may be disconnected only from the store, and still have clients.
    [[nodiscard]] std::vector<PeerHost> hostsToConnect() const;

    /// \brief True at most once per redial interval for each host. A host that accepts connections
    /// but sends no messages would otherwise be dialled again at each check.
    [[nodiscard]] bool mayRedial(const std::string &host);

private:
    [[nodiscard]] bool wasRecentNeighbour(const std::string &host) const;

    const Clock &m_clock;
    std::vector<PeerHost> m_listed;
    std::vector<PeerHost> m_neighbours;
    /// All hosts that were ever neighbours.
    std::map<std::string, PeerHost> m_everNeighbours;
    std::map<std::string, Duration> m_lastNeighbour;
    std::map<std::string, Duration> m_lastReceived;
    /// When each of the sharing hosts became one.
    std::map<std::string, Duration> m_sharingSince;
    /// Hosts that were reported as silent and have sent no message since.
    std::set<std::string> m_silent;
    std::map<std::string, Duration> m_nextRedial;
};

} // namespace anvilmill::daemon
