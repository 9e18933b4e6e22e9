#pragma once

#include "anvilmill/clock.h"

namespace anvilmill {

/// \brief Intervals and bounds of the membership of one data centre; the same on all its hosts.
struct MembershipOptions
{
    Duration heartbeatInterval = std::chrono::seconds(1);
    /// Time without heartbeats after which requests are no longer routed to a host.
    Duration suspectAfter = std::chrono::milliseconds(2'500);
    /// Time without heartbeats after which the record of a host is removed.
    Duration removeSilentAfter = std::chrono::seconds(30);
    /// Length of a member's lease in the platform.
    Duration leaseLength = std::chrono::seconds(5);
    /// Bound on the difference in rate of two clocks, with a margin.
    double clockDrift = 0.05;
    /// Time between two rounds of calls to the platform.
    Duration roundInterval = std::chrono::seconds(1);
    /// Minimum time between two rounds when a change makes an early round necessary.
    Duration minRoundInterval = std::chrono::milliseconds(100);
    /// Length of a promise not to write or act under a later view.
    /// Must be shorter than the lease.
    Duration promiseLength = std::chrono::milliseconds(3'500);
    /// Time without heartbeats of all members of a view before a host outside it may replace it.
    Duration replacementDelay = std::chrono::seconds(30);
    /// Time between two messages to another data centre.
    Duration summaryInterval = std::chrono::seconds(2);

    /// \brief How long a host may act after a confirmed heartbeat, on its own clock.
    [[nodiscard]] Duration authorityLength() const;

    /// \brief How long to wait until every authority granted before now has expired.
    [[nodiscard]] Duration authorityWait() const;

    /// \brief How long a promise of \p length counts at its receiver, from the heartbeat that it
    /// answers.
    [[nodiscard]] Duration promiseValidity(Duration length) const;

    /// \brief Remaining validity of the confirmation below which a host requests another one and
    /// makes promises.
    [[nodiscard]] Duration confirmationWarning() const;
};

} // namespace anvilmill
