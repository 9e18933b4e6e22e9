#pragma once

#include "anvilmill/platform/keyvaluestore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilmill {

/// \brief An entry host as listed in the platform's store.
struct PeerHost
{
    std::string name;
    std::string dataCentre;
    /// `host:port` for connections between entry hosts.
    std::string peerAddress;
    /// A leaving host finishes its jobs and holds no executors.
    bool isLeaving = false;
    /// Processor share in thousandths of a core; hosts that don't report it count as equally weak.
    std::int64_t milliCores = 0;
};

/// \brief The entry hosts listed at one revision of the store.
///
/// Hosts that read the same revision have the same membership, regardless of the order in which
/// they read it.
struct HostMembership
{
    StoreVersion revision = NoVersion;
    std::vector<PeerHost> hosts;
};

/// \brief The entry hosts that are dispatchers under one membership, and the executors on which
/// each of them holds the lease.
///
/// Load pattern: clients are spread evenly over hosts whose processors differ by a factor of five,
/// and each executor costs its holder a share of a processor. So in each data centre the strongest
/// hosts that together have half of its processors hold its executors and schedule its jobs; the
/// others transfer jobs to them. Hosts of equal strength are all dispatchers or none of them is.
///
/// Depends on the membership only, so hosts that adopt the same one agree.
///
/// Thread safety: immutable after construction.
class HolderAssignment
{
public:
    HolderAssignment() = default;
    explicit HolderAssignment(const HostMembership &membership);

    /// \brief The revision of the membership.
    [[nodiscard]] StoreVersion revision() const noexcept { return m_revision; }

    /// \brief The dispatchers of \p dataCentre; none if it has no entry host.
    [[nodiscard]] const std::vector<PeerHost> &dispatchersOf(const std::string &dataCentre) const;

    [[nodiscard]] const std::vector<PeerHost> &allDispatchers() const noexcept { return m_all; }

    [[nodiscard]] bool isDispatcher(const std::string &host) const;

    /// \brief The share of all dispatchers' processors that \p host has; 0 if it is no dispatcher.
    [[nodiscard]] double shareOf(const std::string &host) const;

    /// \brief The host that holds \p executor, or std::nullopt if there is no dispatcher.
    ///
    /// Rendezvous hashing over the dispatchers of the executor's data centre, weighted by their
    /// processors, so that a disconnected data centre keeps its executors. If the data centre has
    /// no dispatchers, all dispatchers are candidates. The loss of a host reassigns only its
    /// executors.
    [[nodiscard]] std::optional<std::string> holderOf(const std::string &executor,
                                                      const std::string &dataCentre) const;

    /// \brief True if holderOf() returns \p host. Computes no hashes for a host that is no
    /// candidate.
    [[nodiscard]] bool holds(const std::string &host, const std::string &executor,
                             const std::string &dataCentre) const;

private:
    [[nodiscard]] const std::vector<PeerHost> &candidatesFor(const std::string &dataCentre) const;

    StoreVersion m_revision = NoVersion;
    std::map<std::string, std::vector<PeerHost>> m_byDataCentre;
    std::vector<PeerHost> m_all;
    /// Strength of each dispatcher, in thousandths of a core.
    std::unordered_map<std::string, double> m_strengths;
    double m_totalStrength = 0.0;
};

} // namespace anvilmill
