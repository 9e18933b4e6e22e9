#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/platform/hostlist.h"
#include "anvilmill/platform/keyvaluestore.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill::daemon {

/// \brief Contents of the platform stand-in: keys, leases and the host list, in memory.
///
/// Thread safety: all methods may be called from any thread.
class StandInState
{
public:
    /// \brief \p clock must outlive the state.
    explicit StandInState(const Clock &clock);

    [[nodiscard]] StoreReply get(const std::string &key) const;
    [[nodiscard]] StoreReply put(const StorePut &change);

    /// \brief Waits (in real time, not on the clock) until the version of \p key differs from
    /// \p known.
    [[nodiscard]] StoreReply watch(const std::string &key, StoreVersion known, Duration wait);

    [[nodiscard]] LeaseReply grantLease(const std::string &holder, Duration length);
    [[nodiscard]] LeaseReply renewLeases(const std::vector<LeaseId> &leases);
    [[nodiscard]] LeaseReply queryLeases(const std::vector<LeaseId> &leases) const;
    [[nodiscard]] LeaseReply releaseLease(LeaseId lease);

    [[nodiscard]] HostListReply hosts(const std::string &dataCentre) const;

    /// \brief Replaces the host list.
    void setHosts(std::vector<ListedHost> hosts);

    /// \brief Saves a copy of all keys, leases and hosts for restoreSnapshot().
    void saveSnapshot();

    /// \brief Restores the last snapshot, including the expiry times of its leases.
    void restoreSnapshot();

private:
    struct Lease
    {
        std::string holder;
        Duration length{0};
        MonotonicTime end;
    };

    struct Contents
    {
        std::map<std::string, StoreEntry> entries;
        std::map<LeaseId, Lease> leases;
        std::vector<ListedHost> hosts;
    };

    [[nodiscard]] std::optional<StoreEntry> find(const std::string &key) const;
    void removeLapsedLeases();
    [[nodiscard]] bool isHeld(LeaseId id) const;
    [[nodiscard]] LeaseReply classifyLeases(const std::vector<LeaseId> &leases) const;

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    Contents m_contents;
    Contents m_snapshot;
    /// Keys and values; a put beyond the limit fails.
    std::size_t m_entryBytes = 0;
    // Not part of the snapshot, so that lease ids are never reused.
    LeaseId m_lastLease = 0;
};

} // namespace anvilmill::daemon
