#pragma once

#include "anvilmill/platform/keyvaluestore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilmill {

/// \brief An entry host as it is listed in the platform's store.
struct PeerHost
{
    std::string name;
    std::string dataCentre;
    /// `host:port` for connections between entry hosts.
    std::string peerAddress;
    /// Leaving hosts finish their jobs and hold no executors.
    bool isLeaving = false;
    /// Processor share in thousandths of a core; hosts that don't say count as equally weak.
    std::int64_t milliCores = 0;
};

/// \brief The entry hosts that are listed at one revision of the store.
///
/// Hosts that read the same revision have the same membership, whatever order they read it in.
struct HostMembership
{
    StoreVersion revision = NoVersion;
    std::vector<PeerHost> hosts;
};

/// \brief Which entry hosts dispatch under one membership, and which executors each of them holds.
///
/// Load pattern: clients are spread evenly over hosts whose processors differ by five times, and
/// each executor costs its holder a share of a processor. So in each data centre the strongest
/// hosts, as many as have half of its processors together, hold its executors and schedule its
/// jobs; the others hand jobs to them. Hosts of equal strength all dispatch.
///
/// Depends on the membership alone: hosts that adopt the same one agree.
///
/// Thread safety: constant once made.
class HolderAssignment
{
public:
    HolderAssignment() = default;
    explicit HolderAssignment(const HostMembership &membership);

    /// \brief The revision of the membership.
    [[nodiscard]] StoreVersion revision() const noexcept { return m_revision; }

    /// \brief The hosts of \p dataCentre that dispatch; none if it has no entry host.
    [[nodiscard]] const std::vector<PeerHost> &dispatchersOf(const std::string &dataCentre) const;

    [[nodiscard]] const std::vector<PeerHost> &allDispatchers() const noexcept { return m_all; }

    [[nodiscard]] bool isDispatcher(const std::string &host) const;

    /// \brief The share of all dispatchers' processors that \p host has; 0 if it doesn't dispatch.
    [[nodiscard]] double shareOf(const std::string &host) const;

    /// \brief The host that holds \p executor, or nothing if no host may.
    ///
    /// Rendezvous hashing over the dispatchers of the executor's data centre, weighted by their
    /// processors, so that a data centre that is cut off keeps its executors; over all if it has
    /// none. The loss of a host moves its executors alone.
    [[nodiscard]] std::optional<std::string> holderOf(const std::string &executor,
                                                      const std::string &dataCentre) const;

    /// \brief As holderOf() names \p host; a host of another data centre costs one look-up.
    [[nodiscard]] bool holds(const std::string &host, const std::string &executor,
                             const std::string &dataCentre) const;

private:
    [[nodiscard]] const std::vector<PeerHost> &candidatesFor(const std::string &dataCentre) const;

    StoreVersion m_revision = NoVersion;
    std::map<std::string, std::vector<PeerHost>> m_byDataCentre;
    std::vector<PeerHost> m_all;
    /// Strength of each dispatcher.
    std::unordered_map<std::string, double> m_strengths;
    double m_totalStrength = 0.0;
};

} // namespace anvilmill
