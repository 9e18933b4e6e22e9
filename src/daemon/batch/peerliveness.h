#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/holderassignment.h"

#include <map>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Which entry hosts were heard when, and which of them to stay connected to.
///
/// Thread safety: one thread at a time.
class PeerWatch
{
public:
    /// Precondition: \p clock outlives the watch.
    explicit PeerWatch(const Clock &clock);

    /// \brief Takes the listed hosts, and those of them to stay connected to.
    ///
    /// A new neighbour counts as heard now.
    void setListed(const std::vector<PeerHost> &hosts, const std::vector<PeerHost> &neighbours);

    [[nodiscard]] const std::vector<PeerHost> &neighbours() const noexcept { return m_neighbours; }

    void heard(const std::string &host) { m_heard[host] = m_clock.now(); }

    /// \brief Counts \p host as heard no longer ago than \p age.
    void assumeHeard(const std::string &host, Duration age);

    /// \brief Time since \p host was heard last; very long for one that never was.
    [[nodiscard]] Duration silence(const std::string &host) const;
    [[nodiscard]] MonotonicTime lastHeard(const std::string &host) const;

    /// \brief The neighbours, those that were until lately, and hosts that are no longer listed but
    /// heard: they may be cut off from the store alone, and have clients.
    [[nodiscard]] std::vector<PeerHost> hostsToConnect() const;

    /// \brief True at most once in a while for each host: one that takes connections and says
    /// nothing would be dialled at each check.
    [[nodiscard]] bool mayRedial(const std::string &host);

private:
    [[nodiscard]] bool wasNeighbourLately(const std::string &host) const;

    const Clock &m_clock;
    std::vector<PeerHost> m_listed;
    std::vector<PeerHost> m_neighbours;
    /// All hosts that were ever neighbours.
    std::map<std::string, PeerHost> m_known;
    std::map<std::string, MonotonicTime> m_lastNeighbour;
    std::map<std::string, MonotonicTime> m_heard;
    std::map<std::string, MonotonicTime> m_nextRedial;
};

} // namespace anvilmill::daemon
