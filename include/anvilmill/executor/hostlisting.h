#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/holderassignment.h"

#include <optional>

namespace anvilmill {

/// \brief Decides when a change of the listed entry hosts counts.
///
/// New hosts and hosts that announce their leave count at once. A host that is merely missing
/// counts as gone only after a delay: its entry may have lapsed with an outage of the store and
/// come back right after. Memberships are adopted whole, as the store listed them at one
/// revision, so that hosts which adopt the same revision agree.
///
/// Thread safety: one thread at a time.
class HostListing
{
public:
    /// Precondition: \p clock outlives the listing.
    HostListing(const Clock &clock, Duration settleDelay);

    /// \brief What the store lists now.
    void listed(HostMembership membership);

    /// \brief The membership to adopt, if a newer one is due.
    [[nodiscard]] std::optional<HostMembership> takeDue();

    /// \brief When takeDue() may return something, if ever.
    [[nodiscard]] std::optional<MonotonicTime> nextDue() const noexcept { return m_due; }

    [[nodiscard]] const HostMembership &adopted() const noexcept { return m_adopted; }

private:
    [[nodiscard]] bool isHostMissing() const;

    const Clock &m_clock;
    Duration m_settleDelay;
    HostMembership m_listed;
    HostMembership m_adopted;
    std::optional<MonotonicTime> m_due;
};

} // namespace anvilmill
