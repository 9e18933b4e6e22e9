#pragma once

#include "anvilmill/clock.h"

#include <meshframe.h>

#include <map>
#include <optional>
#include <string>

namespace anvilmill::daemon {

/// \brief Finds how long ago the frames of other entry hosts were sent, although the clocks of hosts
/// are not comparable.
///
/// Load pattern: a host is frozen for seconds. When it continues, frames of all ages wait in its
/// sockets, and it can't tell them from new ones by their arrival.
///
/// Each frame carries the sender's time; a frame to a single host also returns the receiver's own time
/// that the sender saw last, advanced by the time since. As that time was seen after it was written,
/// the frame was sent no earlier than it says. The age that follows is exact up to a one-way delay, and
/// never too low.
///
/// All times are of the boot clock, which includes the time for which a machine was suspended.
///
/// Thread safety: one thread at a time.
class PeerClocks
{
public:
    /// \brief Writes the times into a frame to \p host that is queued at \p now.
    void stamp(wire::meshframe::MeshFrame &frame, const std::string &host, Duration now) const;

    /// \brief Writes the sender's time into a frame to several hosts.
    static void stampForAll(wire::meshframe::MeshFrame &frame, Duration now);

    /// \brief Records the times of a frame that was received at \p now.
    void received(const wire::meshframe::MeshFrame &frame, Duration now);

    /// \brief Discards what is known of the clock of \p host. Call when the host connects, since it
    /// may have restarted.
    void reset(const std::string &host) { m_peers.erase(host); }

    /// \brief The longest time for which a received frame can have been under way; std::nullopt if
    /// nothing is known of the sender's clock.
    [[nodiscard]] std::optional<Duration> ageOf(const wire::meshframe::MeshFrame &frame,
                                                Duration now) const;

private:
    struct Peer
    {
        /// The most that the peer's clock is behind this host's, and when that was found.
        Duration behind{};
        Duration behindFound{};
        /// The least that this host's clock is ahead of the peer's, and when that was found.
        std::optional<Duration> ahead;
        Duration aheadFound{};
    };

    std::map<std::string, Peer> m_peers;
};

} // namespace anvilmill::daemon
