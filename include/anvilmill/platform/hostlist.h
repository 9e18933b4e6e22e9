#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/platform/keyvaluestore.h"

#include <string>
#include <string_view>
#include <vector>

namespace anvilmill {

/// \brief One entry of the platform's host list.
struct ListedHost
{
    enum class Role { EntryHost, Executor };
    enum class State { Live, Leaving };

    Role role = Role::Executor;
    State state = State::Live;
    std::string dataCentre;
    /// Stable name; for an executor also its `address:port`.
    std::string name;
    /// `address:port` for connections between hosts.
    std::string address;
    /// Executors only: number of tasks that it can run concurrently.
    int slots = 0;
    /// Executors only: services that it offers; empty means all.
    std::vector<std::string> services;
};

/// \brief Reply of HostList::hosts().
struct HostListReply
{
    CallOutcome outcome = CallOutcome::Unreachable;
    std::vector<ListedHost> hosts;
    std::string reason;

    [[nodiscard]] bool isDone() const noexcept { return outcome == CallOutcome::Done; }
};

/// \brief The platform's list of live and leaving hosts.
///
/// The list is eventually consistent: it may still contain a dead host, or not yet contain a live
/// one. It is a hint for routing and peer discovery, and never proves that a host is down.
///
/// Implementations are safe to call from any thread.
class HostList
{
public:
    virtual ~HostList() = default;

    /// \brief Returns the hosts of \p dataCentre, or of all data centres if it is empty.
    ///
    /// Counts as one call to the platform.
    [[nodiscard]] virtual HostListReply hosts(const std::string &dataCentre, Duration timeout) = 0;
};

} // namespace anvilmill
