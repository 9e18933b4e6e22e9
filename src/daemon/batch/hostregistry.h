#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/hostlisting.h"
#include "anvilmill/platform/asyncstore.h"
#include "loop/prefixfollower.h"
#include "loop/timerscope.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace anvilmill {
class RandomSource;
} // namespace anvilmill

namespace anvilmill::daemon {

/// \brief Settings of a host's entry in the store.
struct RegistrySettings
{
    /// Prefix of the entries of all hosts.
    std::string prefix = "anvilmill/hosts/";
    /// The entry of a failed host expires after this time. Three renewals may fail in a row.
    Duration lease = std::chrono::seconds(3);
    Duration renewal = std::chrono::milliseconds(800);
    Duration retry = std::chrono::milliseconds(400);
    /// Delay before missing hosts are removed. Entries that expired in an outage of the store are
    /// written again within a second of its end.
    Duration settleDelay = std::chrono::milliseconds(1500);
};

/// \brief Maintains this host's entry in the platform's store and follows the entries of all hosts.
///
/// Thread safety: used by the loop's thread alone.
class HostRegistry
{
public:
    using MembershipHandler = std::function<void(const HostMembership &)>;

    /// Precondition: the references outlive the registry.
    HostRegistry(AsyncStore &store, TimerQueue &timers, const Clock &clock, RandomSource &random,
                 const RegistrySettings &settings, PeerHost self, std::uint64_t incarnation,
                 MembershipHandler handler);

    void start();

    /// \brief Announces that this host leaves, so that others acquire its executors.
    void announceLeave();

    /// \brief Removes this host's entry; \p done is called once the store has answered.
    void leave(std::function<void()> done);

    /// \brief The follower of the hosts' entries.
    [[nodiscard]] const PrefixFollower &follower() const noexcept { return m_follower; }

    [[nodiscard]] const HostMembership &membership() const noexcept { return m_listing.adopted(); }

private:
    void acquireLease();
    void writeEntry();
    void renew();
    void renewed(const StoreCommit &answer);
    void retry(void (HostRegistry::*step)());
    void later(void (HostRegistry::*step)(), Duration delay);
    void entriesChanged(const std::vector<StoreItem> &changes);
    void adoptDue();

    AsyncStore &m_store;
    RandomSource &m_random;
    RegistrySettings m_settings;
    PeerHost m_self;
    std::uint64_t m_incarnation;
    MembershipHandler m_handler;
    HostListing m_listing;
    /// The entries that could be decoded, by key.
    std::map<std::string, PeerHost> m_hosts;
    PrefixFollower m_follower;
    LeaseId m_lease = 0;
    bool m_hasLeft = false;
    TimerScope m_timers;
};

} // namespace anvilmill::daemon
