#pragma once

#include "anvilmill/platform/keyvaluestore.h"

#include <optional>
#include <string>
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
};

/// \brief The entry hosts that are listed at one revision of the store.
///
/// Hosts that read the same revision have the same membership, whatever order they read it in.
struct HostMembership
{
    StoreVersion revision = NoVersion;
    std::vector<PeerHost> hosts;
};

/// \brief The host that holds \p executor, or nothing if no host may.
///
/// Rendezvous hashing over the hosts of the executor's data centre, so that a data centre that is
/// cut off keeps its executors; over all hosts if it has none. The loss of a host moves its
/// executors alone.
[[nodiscard]] std::optional<std::string> holderOf(const std::string &executor,
                                                  const std::string &dataCentre,
                                                  const HostMembership &membership);

} // namespace anvilmill
