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

    /// \brief Records that a request was sent to \p host, which answers it immediately.
    ///
    /// Only a message from the host shows that it is alive: further requests don't extend the time
    /// that it has for the first one.
    void requestSent(const std::string &host);

    /// \brief Time since the last message from \p host; very long if there was none.
    [[nodiscard]] Duration silence(const std::string &host) const;
    [[nodiscard]] MonotonicTime lastReceived(const std::string &host) const;

    /// \brief The hosts whose silence has reached \p limit since the last call.
    [[nodiscard]] std::vector<std::string> takeNewlySilent(Duration limit);

    /// \brief Time since the last message from \p host or the first request that was sent to it after
    /// that message, whichever is later.
    ///
    /// The silence of a host that sends heartbeats rarely doesn't count against it before it has been
    /// sent a request.
    [[nodiscard]] Duration unresponsiveness(const std::string &host) const;

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
    std::map<std::string, MonotonicTime> m_lastNeighbour;
    std::map<std::string, MonotonicTime> m_lastReceived;
    /// The first request to each host since its last message.
    std::map<std::string, MonotonicTime> m_firstRequest;
    /// Hosts that were reported as silent and have sent no message since.
    std::set<std::string> m_silent;
    std::map<std::string, MonotonicTime> m_nextRedial;
};

} // namespace anvilmill::daemon
