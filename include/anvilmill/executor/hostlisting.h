#pragma once

#include "anvilmill/clock.h"
#include "anvilmill/executor/holderassignment.h"

#include <optional>

namespace anvilmill {

/// \brief Decides when a change of the listed entry hosts takes effect.
///
/// New hosts and hosts that announce that they leave take effect immediately. A host that is merely
/// missing is removed only after a delay: its entry may have expired during an outage of
/// the store and reappear shortly after. Memberships are adopted as a whole, as listed by the store
/// at one revision, so that hosts that adopt the same revision agree.
///
/// Thread safety: one thread at a time.
class HostListing
{
public:
    /// Precondition: \p clock outlives the listing.
    HostListing(const Clock &clock, Duration settleDelay);

    /// \brief Records the membership that the store lists now.
    void setListed(HostMembership membership);

    /// \brief Adopts and returns the newest membership if it is due, otherwise std::nullopt.
    [[nodiscard]] std::optional<HostMembership> takeDue();

    /// \brief The time from which on takeDue() returns a membership; std::nullopt if none is
    /// pending.
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
