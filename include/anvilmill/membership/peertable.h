#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/membership/membershipoptions.h"
#include "anvilmill/membership/view.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmill {

/// \brief The state of another entry host of the same data centre, as reported by its heartbeats.
struct PeerStatus
{
    HostIncarnation host;
    /// Where it accepts connections.
    std::string address;
    MonotonicTime lastReceived;
    /// Epoch of its view; 0 for none.
    std::uint64_t epoch = 0;
    /// Highest sequence received from it; 0 for none.
    std::int64_t sequence = 0;
    bool isLeaving = false;
    /// False if its last calls to the platform failed.
    bool hasPlatform = true;
};

/// \brief The other entry hosts from which heartbeats are received, and the send times of this
/// host's heartbeats.
///
/// Thread safety: one thread at a time.
class PeerTable
{
public:
    explicit PeerTable(const MembershipOptions &options);

    /// \brief Records a heartbeat. One that arrives out of order does not lower the sequence.
    PeerStatus &recordHeartbeat(const HostIncarnation &host, const std::string &address,
                                std::int64_t sequence, MonotonicTime now);

    [[nodiscard]] const PeerStatus *find(const HostIncarnation &host) const;

    /// \brief True if a heartbeat of \p host was received within MembershipOptions::suspectAfter.
    [[nodiscard]] bool isAlive(const HostIncarnation &host, MonotonicTime now) const;

    /// \brief The hosts for which isAlive() is true, in the order of HostIncarnation.
    [[nodiscard]] std::vector<PeerStatus> alive(MonotonicTime now) const;

    /// \brief When the last heartbeat of \p host was received; std::nullopt if there is no record
    /// of it.
    [[nodiscard]] std::optional<MonotonicTime> lastReceived(const HostIncarnation &host) const;

    /// \brief Removes hosts without a heartbeat for longer than
    /// MembershipOptions::removeSilentAfter.
    void removeSilent(MonotonicTime now);

    /// \brief Records that this host sends a heartbeat at \p now; returns its sequence.
    [[nodiscard]] std::int64_t beginHeartbeat(MonotonicTime now);

    /// \brief When this host sent heartbeat \p sequence; std::nullopt if it was never sent or is no
    /// longer recorded.
    [[nodiscard]] std::optional<MonotonicTime> sentAt(std::int64_t sequence) const;

private:
    const MembershipOptions m_options;
    std::map<HostIncarnation, PeerStatus> m_peers;
    std::deque<MonotonicTime> m_sent;
    std::int64_t m_lastSequence = 0;
};

} // namespace anvilmill
